package provision

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/state/lease"
)

// NewHTTP returns a Backend that calls the platform at a base URL with the requests `GET /upstreams`,
// `POST /orders` and `GET /orders/ID`.
func NewHTTP(url string, client *http.Client) Backend {
	h := &httpBackend{url: url, client: client}
	return Backend{List: h.list, Order: h.order, Find: h.find}
}

type httpBackend struct {
	url    string
	client *http.Client
}

func (h *httpBackend) list(ctx context.Context) ([]Upstream, error) {
	resp, err := h.get(ctx, "/upstreams")
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var out []Upstream
	if err := json.NewDecoder(resp.Body).Decode(&out); err != nil {
		return nil, kind.Wrap(err, kind.Unavailable, "cannot decode the list of upstreams")
	}
	return out, nil
}

func (h *httpBackend) find(ctx context.Context, id string) (bool, error) {
	resp, err := h.get(ctx, "/orders/"+id)
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
		return true, nil
	case http.StatusNotFound:
		return false, nil
	default:
		return false, kind.New(kind.Unavailable, "lookup of order %s: unexpected status %d", id, resp.StatusCode)
	}
}

func (h *httpBackend) get(ctx context.Context, path string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, h.url+path, http.NoBody)
	if err != nil {
		return nil, kind.Wrap(err, kind.Internal, "cannot create the request")
	}
	resp, err := h.client.Do(req)
	if err != nil {
		return nil, kind.Wrap(err, kind.Unavailable, "request to the provisioning platform")
	}
	return resp, nil
}

func (h *httpBackend) order(ctx context.Context, c OrderRequest, check func() error) error {
	data, err := json.Marshal(c)
	if err != nil {
		return kind.Wrap(err, kind.Internal, "cannot encode the order")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, h.url+"/orders", bytes.NewReader(data))
	if err != nil {
		return kind.Wrap(err, kind.Internal, "cannot create the request of the order")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := lease.Send(req, timeLeft(ctx), check)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return responseError(resp)
}

// timeLeft returns the time until the deadline of ctx, or defaultTimeout if ctx has none.
func timeLeft(ctx context.Context) time.Duration {
	if until, ok := ctx.Deadline(); ok {
		return time.Until(until)
	}
	return defaultTimeout
}

// responseError returns the error that a response to an order stands for, or nil if the platform accepted the order.
func responseError(resp *http.Response) error {
	if resp.StatusCode < http.StatusMultipleChoices {
		return nil
	}
	text, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<10))
	seconds, _ := strconv.Atoi(resp.Header.Get("Retry-After"))
	after := time.Duration(seconds) * time.Second
	switch resp.StatusCode {
	case http.StatusPreconditionFailed:
		return kind.New(kind.Fenced, "order refused: %s", text)
	case http.StatusTooManyRequests:
		return kind.New(kind.RateLimit, "order refused: %s", text).WithRetry(after)
	case http.StatusConflict:
		return kind.New(kind.Unavailable, "order refused: %s", text).WithRetry(after)
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusGatewayTimeout:
		return kind.New(kind.Lost, "outcome of the order not known: status %d: %s", resp.StatusCode, text)
	default:
		return kind.New(kind.Refused, "order refused with status %d: %s", resp.StatusCode, text).WithRetry(after)
	}
}
