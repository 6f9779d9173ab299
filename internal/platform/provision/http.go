package provision

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/platform/lease"
)

// maxAnswer bounds an answer of the platform, in bytes.
const maxAnswer = 16 << 20

// NewHTTP returns the Backend at a base URL: `GET /upstreams`, `POST /orders`, `GET /orders/ID`.
func NewHTTP(base string, client *http.Client, timeout time.Duration) Backend {
	h := &caller{base: base, client: client, timeout: timeout}
	return Backend{List: h.list, Order: h.order, Known: h.known}
}

type caller struct {
	base    string
	client  *http.Client
	timeout time.Duration
}

func (h *caller) list(ctx context.Context, version uint64, wait time.Duration) (Listing, error) {
	var l Listing
	query := url.Values{"after": {fmt.Sprint(version)}, "wait": {wait.String()}}
	status, err := h.get(ctx, "/upstreams?"+query.Encode(), wait+h.timeout, &l)
	if err == nil && status != http.StatusOK {
		err = kind.New(kind.Unavailable, "list of upstreams: status %d", status)
	}
	return l, err
}

func (h *caller) known(ctx context.Context, id string) (bool, error) {
	status, err := h.get(ctx, "/orders/"+url.PathEscape(id), h.timeout, nil)
	switch {
	case err != nil:
		return false, err
	case status == http.StatusOK:
		return true, nil
	case status == http.StatusNotFound:
		return false, nil
	}
	return false, kind.New(kind.Unavailable, "state of order %s: status %d", id, status)
}

func (h *caller) get(ctx context.Context, path string, timeout time.Duration, into any) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, h.base+path, nil)
	if err != nil {
		return 0, kind.Wrap(err, kind.Internal, "provisioning call")
	}
	res, err := h.client.Do(req)
	if err != nil {
		return 0, kind.Wrap(err, kind.Unavailable, "provisioning cannot be reached")
	}
	defer res.Body.Close()
	if into == nil || res.StatusCode != http.StatusOK {
		return res.StatusCode, nil
	}
	if err := json.NewDecoder(io.LimitReader(res.Body, maxAnswer)).Decode(into); err != nil {
		return 0, kind.Wrap(err, kind.Unavailable, "provisioning answer cannot be read")
	}
	return res.StatusCode, nil
}

func (h *caller) order(ctx context.Context, o Order, check func() error) error {
	data, err := json.Marshal(o)
	if err != nil {
		return kind.Wrap(err, kind.Internal, "order cannot be encoded")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, h.base+"/orders", bytes.NewReader(data))
	if err != nil {
		return kind.Wrap(err, kind.Internal, "order cannot be sent")
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := lease.Send(req, h.timeout, check)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(res.Body, 1<<10))
	switch {
	case res.StatusCode < http.StatusMultipleChoices:
		return nil
	case res.StatusCode == http.StatusPreconditionFailed:
		return kind.New(kind.Fenced, "order %s: %s", o.ID, text)
	case res.StatusCode == http.StatusTooManyRequests, res.StatusCode == http.StatusServiceUnavailable, res.StatusCode == http.StatusConflict:
		return kind.New(kind.Refused, "order %s: %s", o.ID, text)
	}
	return kind.New(kind.Lost, "order %s: status %d: %s", o.ID, res.StatusCode, text)
}
