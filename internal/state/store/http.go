package store

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/core/progress"
)

// watchReplyMargin is how long before the caller's deadline the service is to end a watch call, so that its
// response arrives in time.
const watchReplyMargin = 500 * time.Millisecond

// NewHTTP returns a Backend that calls the HTTP interface of a service at a base URL.
func NewHTTP(url string, client *http.Client) Backend {
	h := &httpBackend{url: url, client: client}
	return Backend{
		Get:    h.get,
		Put:    h.put,
		Delete: h.remove,
		List:   h.list,
		Watch:  h.watch,
		Grant:  h.grant,
		Renew: func(ctx context.Context, lease uint64) error {
			_, err := h.call(ctx, "renew", Request{Lease: lease})
			return err
		},
		Revoke: func(ctx context.Context, lease uint64) error {
			_, err := h.call(ctx, "revoke", Request{Lease: lease})
			return err
		},
	}
}

type httpBackend struct {
	url    string
	client *http.Client
}

func (h *httpBackend) get(ctx context.Context, key string) (Entry, error) {
	r, err := h.call(ctx, "get", Request{Key: key})
	if err != nil {
		return Entry{}, err
	}
	if len(r.Items) != 1 {
		return Entry{}, kind.New(kind.OutcomeUnknown, "get: %d items in the answer", len(r.Items))
	}
	return r.Items[0].entry(), nil
}

func (h *httpBackend) put(ctx context.Context, w Write) (uint64, error) {
	r, err := h.call(ctx, "put", Request{
		Key: w.Key, Value: w.Value, Mode: w.Cond.mode, At: w.Cond.revision, Lease: w.Lease,
	})
	return r.Revision, requireField(err, "revision", r.Revision)
}

func (h *httpBackend) remove(ctx context.Context, key string, cond Condition) error {
	_, err := h.call(ctx, "delete", Request{Key: key, Mode: cond.mode, At: cond.revision})
	return err
}

func (h *httpBackend) list(ctx context.Context, prefix string) ([]Entry, uint64, error) {
	r, err := h.call(ctx, "list", Request{Prefix: prefix})
	return lo.Map(r.Items, func(i Item, _ int) Entry { return i.entry() }), r.Revision, err
}

func (h *httpBackend) watch(ctx context.Context, prefix string, after uint64) ([]Event, uint64, error) {
	wait := defaultWatchTimeout
	if until, ok := progress.Deadline(ctx); ok {
		wait = max(time.Until(until)-watchReplyMargin, 0)
	}
	r, err := h.call(ctx, "watch", Request{Prefix: prefix, After: after, Wait: wait})
	events := lo.Map(r.Items, func(i Item, _ int) Event { return NewEvent(i.entry(), i.Deleted) })
	return events, r.Revision, err
}

func (h *httpBackend) grant(ctx context.Context, ttl time.Duration) (uint64, error) {
	r, err := h.call(ctx, "grant", Request{TTL: ttl})
	return r.Lease, requireField(err, "lease", r.Lease)
}

// requireField returns err, or an error if a successful answer lacks the named field, which is never 0.
func requireField(err error, name string, value uint64) error {
	if err == nil && value == 0 {
		return kind.New(kind.OutcomeUnknown, "answer has no %s", name)
	}
	return err
}

// call makes one call. The error has kind OutcomeUnknown if the request may have been sent.
func (h *httpBackend) call(ctx context.Context, op string, body Request) (Reply, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return Reply{}, kind.Wrap(err, kind.Internal, "%s: request cannot be encoded", op)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, h.url+"/v1/"+op, bytes.NewReader(data))
	if err != nil {
		return Reply{}, kind.Wrap(err, kind.Internal, "%s: request cannot be made", op)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := h.client.Do(req)
	if err != nil {
		return Reply{}, kind.Wrap(err, sendErrorKind(err), "%s: no answer", op)
	}
	defer resp.Body.Close()
	return decodeReply(ctx, op, resp)
}

func decodeReply(ctx context.Context, op string, resp *http.Response) (Reply, error) {
	var r Reply
	if err := json.NewDecoder(progress.NewReader(ctx, resp.Body)).Decode(&r); err != nil {
		return Reply{}, kind.Wrap(err, kind.OutcomeUnknown, "%s: answer of status %d cannot be read", op, resp.StatusCode)
	}
	if r.Era != nil {
		RecordEra(ctx, *r.Era)
	}
	if r.Kind != "" {
		return Reply{}, kind.New(r.Kind, "%s: %s", op, r.Text)
	}
	if resp.StatusCode != http.StatusOK {
		return Reply{}, kind.New(kind.OutcomeUnknown, "%s: answer of status %d without an error", op, resp.StatusCode)
	}
	return r, nil
}

// sendErrorKind returns the kind of an error of http.Client.Do: Store if the connection could not be opened, so that
// the request was not sent, and OutcomeUnknown otherwise.
func sendErrorKind(err error) kind.Kind {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return kind.Store
	}
	return kind.OutcomeUnknown
}
