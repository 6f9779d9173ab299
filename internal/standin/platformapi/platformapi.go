// Package platformapi is a stand-in for the users' platform: its key-value service, usage reports and scaling orders,
// served over the platform's own HTTP protocol, so that tests can run the gateway as a real process without the platform.
package platformapi

import (
	"context"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"hickorypath/internal/core/clock"
	"hickorypath/internal/core/kind"
	"hickorypath/internal/state/store"
)

// Platform is the stand-in platform; it implements http.Handler.
type Platform struct {
	memory  *store.Memory
	backend store.Backend

	mu         sync.Mutex
	failStatus int               // HTTP status of all responses; zero while the service works
	usage      map[int64]string  // counts by window
	violations []string          // windows reported again with different figures, and calls with an old fencing token
	fences     map[string]uint64 // highest fencing token by duty
	orders     int
}

// New returns a Platform without keys and reports.
func New(c clock.Clock) *Platform {
	m := store.NewMemory(c)
	return &Platform{memory: m, backend: m.Backend(), usage: map[int64]string{}, fences: map[string]uint64{}}
}

// Memory returns the in-memory key-value store, whose methods set its faults.
func (p *Platform) Memory() *store.Memory { return p.memory }

// Put writes a key, as the operator or an upstream does.
func (p *Platform) Put(ctx context.Context, key string, value []byte) error {
	_, err := p.backend.Put(ctx, store.Write{Key: key, Value: value, Cond: store.Any()})
	return err
}

// Remove deletes a key, as the writer of the key does.
func (p *Platform) Remove(ctx context.Context, key string) error {
	return p.backend.Delete(ctx, key, store.Any())
}

// FailWith makes all calls from now on fail with an HTTP status; zero ends the fault.
func (p *Platform) FailWith(status int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failStatus = status
}

// Usage returns the reported counts by window.
func (p *Platform) Usage() map[int64]string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.usage)
}

// Violations returns what a host must never do: report a window again with different figures, or make a call with an
// old fencing token.
func (p *Platform) Violations() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.violations...)
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	failing := p.failStatus
	p.mu.Unlock()
	if failing != 0 {
		w.WriteHeader(failing)
		return
	}
	if strings.HasPrefix(r.URL.Path, "/kv-") {
		w, r = p.withEra(w, r)
	}
	switch path := r.URL.Path; {
	case path == "/kv-key":
		p.key(w, r)
	case path == "/kv-range":
		p.scan(w, r)
	case path == "/kv-watch":
		p.watch(w, r)
	case path == "/kv-txn":
		p.txn(w, r)
	case path == "/kv-lease":
		p.grant(w, r)
	case strings.HasPrefix(path, "/kv-keep/"):
		p.lease(w, r, strings.TrimPrefix(path, "/kv-keep/"), p.backend.Renew)
	case strings.HasPrefix(path, "/kv-lease-end/"):
		p.lease(w, r, strings.TrimPrefix(path, "/kv-lease-end/"), p.backend.Revoke)
	case path == "/usage":
		p.report(w, r)
	case path == "/scale":
		p.order(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// View returns a handler that serves the platform to one host, with the values of its keys as rewrite changes them.
func (p *Platform) View(rewrite func(key string, value []byte) []byte) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), viewKey{}, rewrite)))
	})
}

// viewKey is the context key of the function that changes the values of a view.
type viewKey struct{}

// newItem returns the item of an entry as the client of the request sees it.
func newItem(r *http.Request, e store.Entry) item {
	value := e.Value()
	if rewrite, ok := r.Context().Value(viewKey{}).(func(string, []byte) []byte); ok {
		value = rewrite(e.Key(), value)
	}
	return item{Key: e.Key(), Value: value, Revision: e.Revision()}
}

// item is one key or watch event in a JSON response.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// writeAnswer writes body as JSON, or the HTTP status for the kind of err. For a kind without a status it drops the
// connection, so that the caller doesn't learn the outcome.
func writeAnswer(w http.ResponseWriter, err error, body any) {
	statuses := map[kind.Kind]int{
		kind.Missing: http.StatusNotFound, kind.Conflict: http.StatusPreconditionFailed, kind.Store: http.StatusServiceUnavailable,
	}
	if err != nil {
		status, ok := statuses[kind.Of(err)]
		if !ok {
			panic(http.ErrAbortHandler) // the response is lost
		}
		w.WriteHeader(status)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // the client may have disconnected
}

func (p *Platform) key(w http.ResponseWriter, r *http.Request) {
	e, err := p.backend.Get(r.Context(), r.URL.Query().Get("key"))
	writeAnswer(w, err, newItem(r, e))
}

func (p *Platform) scan(w http.ResponseWriter, r *http.Request) {
	list, rev, err := p.backend.List(r.Context(), r.URL.Query().Get("prefix"))
	items := make([]item, 0, len(list))
	for _, e := range list {
		items = append(items, newItem(r, e))
	}
	writeAnswer(w, err, map[string]any{"items": items, "morePages": false, "storeRevision": rev})
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	list, rev, err := p.backend.Watch(ctx, r.URL.Query().Get("prefix"), after)
	if kind.Of(err) == kind.Missing {
		w.WriteHeader(http.StatusGone)
		return
	}
	events := []item{}
	for _, e := range list {
		i := newItem(r, e.Entry())
		i.Deleted = e.Deleted()
		events = append(events, i)
	}
	writeAnswer(w, err, map[string]any{"events": events, "storeRevision": max(rev, after)})
}

func (p *Platform) txn(w http.ResponseWriter, r *http.Request) {
	var t struct {
		ExpectedRev []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expectedRev"`
		Writes []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"writes"`
		Remove []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	cond := store.Any()
	if len(t.ExpectedRev) > 0 {
		if cond = store.Absent(); t.ExpectedRev[0].Revision > 0 {
			cond = store.At(t.ExpectedRev[0].Revision)
		}
	}
	var rev uint64
	var err error
	for _, x := range t.Writes {
		rev, err = p.backend.Put(r.Context(), store.Write{Key: x.Key, Value: x.Value, Cond: cond, Lease: x.Lease})
	}
	for _, key := range t.Remove {
		err = p.backend.Delete(r.Context(), key, cond)
	}
	writeAnswer(w, err, map[string]any{"revision": rev})
}

func (p *Platform) grant(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	id, err := p.backend.Grant(r.Context(), time.Duration(in.TTLMs)*time.Millisecond)
	writeAnswer(w, err, map[string]any{"lease": id, "ttlMs": in.TTLMs})
}

func (p *Platform) lease(w http.ResponseWriter, r *http.Request, id string, do func(context.Context, uint64) error) {
	n, err := strconv.ParseUint(id, 10, 64)
	if err == nil {
		err = do(r.Context(), n)
	}
	writeAnswer(w, err, map[string]any{})
}

// checkFence records the fencing token of a call, and a violation if a call of the same duty has had a higher token.
// The caller holds mu.
func (p *Platform) checkFence(r *http.Request, duty string) {
	f, _ := strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
	if f < p.fences[duty] {
		p.violations = append(p.violations, duty+": fence "+strconv.FormatUint(f, 10)+" after "+strconv.FormatUint(p.fences[duty], 10))
	}
	p.fences[duty] = max(f, p.fences[duty])
}

func (p *Platform) report(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Window int64           `json:"window"`
		Counts json.RawMessage `json:"counts"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.checkFence(r, "usage")
	if old, ok := p.usage[in.Window]; ok && old != string(in.Counts) {
		p.violations = append(p.violations, "window "+strconv.FormatInt(in.Window, 10)+": "+old+" and "+string(in.Counts))
	}
	p.usage[in.Window] = string(in.Counts)
}

func (p *Platform) order(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // every order is accepted
	p.mu.Lock()
	defer p.mu.Unlock()
	p.checkFence(r, "order")
	p.orders++
}
