// Package engine is a stand-in for a model engine. It serves OpenAI-compatible chat completions with continuous
// batching and a prefix cache, publishes load reports and cache events, and can inject faults.
package engine

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"hickorypath/internal/standin/httpjson"
	"hickorypath/internal/standin/upstream"
)

// Options configures an Engine. Zero values of Slots, TokenInterval and CacheBlocks get defaults.
type Options struct {
	Model           string        // name of the served model
	Slots           int           // number of requests executed concurrently
	TokenInterval   time.Duration // time between tokens of a request that is executed alone
	BatchSlowdown   float64       // fraction by which each further running request lengthens the token interval
	PrefillPerToken time.Duration // time to the first token, for each prompt token that is not cached
	CacheBlocks     int           // capacity of the prefix cache in blocks
	RestartDelay    time.Duration // time from a crash on a marked request until the engine answers again; 0 = until Restore
}

const (
	defaultSlots = 16
	defaultGap   = 5 * time.Millisecond
	defaultCache = 4096
)

// Engine is one stand-in engine.
type Engine struct {
	*upstream.Base
	options Options

	mu           sync.Mutex
	batch        *batch
	cache        *cache
	previousCall *upstream.Call                // source of the PreviousAnswer fault
	running      map[string]context.CancelFunc // cancel functions by attempt id
}

// New returns an Engine.
func New(o Options) *Engine {
	o.TokenInterval = cmp.Or(o.TokenInterval, defaultGap)
	e := &Engine{
		options: o,
		batch:   &batch{slots: cmp.Or(o.Slots, defaultSlots)},
		cache:   &cache{size: cmp.Or(o.CacheBlocks, defaultCache)},
		running: map[string]context.CancelFunc{},
	}
	e.Base = upstream.New(e.clear, upstream.Crash, upstream.Restore, upstream.Stall, upstream.Freeze, upstream.Silence, upstream.Slow,
		upstream.CrashOnMark, upstream.Reject, upstream.WrongID, upstream.PreviousAnswer, upstream.Splice, upstream.LoseCacheEvents)
	return e
}

// Handler returns the engine's HTTP API.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.WithConnectionFaults(e.chat))
	mux.HandleFunc("GET /load", e.WithConnectionFaults(e.load))
	mux.HandleFunc("GET /events", e.WithConnectionFaults(e.events))
	mux.HandleFunc("POST /cancel", e.WithConnectionFaults(e.cancel))
	mux.HandleFunc("POST /fault", httpjson.HandleBody(e.ApplyFault))
	return mux
}

// Load returns the current load, without the age of a published report.
func (e *Engine) Load() upstream.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return upstream.Load{Running: e.batch.running, Waiting: len(e.batch.waiting), CacheUsage: e.cache.fillRatio()}
}

func (e *Engine) load(w http.ResponseWriter, r *http.Request) {
	out := e.Load()
	if id := r.URL.Query().Get("id"); id != "" {
		out.Offset = e.tokenOffset(id)
	}
	httpjson.WriteJSON(w, out)
}

// tokenOffset returns the number of output tokens that the request with the given attempt id has reached, counted from
// the start of its response, or -1 if no such request arrived.
func (e *Engine) tokenOffset(id string) *int {
	at := -1
	for _, c := range e.Calls() {
		if c.ID() == id {
			at = headerInt(c, headerOffset) + c.Tokens()
			break
		}
	}
	return &at
}

// eventsResponse is the JSON response to `GET /events`.
type eventsResponse struct {
	Next    int      `json:"next"`
	Gap     bool     `json:"gap"`
	Added   []uint64 `json:"added"`
	Removed []uint64 `json:"removed"`
}

// events reports the blocks whose state changed since the given sequence number. A block that changed several times is
// reported once, with its last state.
func (e *Engine) events(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	forget := e.ConsumeFault(upstream.LoseCacheEvents)
	e.mu.Lock()
	defer e.mu.Unlock()
	if forget {
		e.cache.discardJournal()
	}
	changes, next, gap := e.cache.changesSince(after)
	last := map[uint64]bool{}
	for _, c := range changes {
		last[c.block] = c.added
	}
	out := eventsResponse{Next: next, Gap: gap, Added: []uint64{}, Removed: []uint64{}}
	for block, added := range last {
		if added {
			out.Added = append(out.Added, block)
		} else {
			out.Removed = append(out.Removed, block)
		}
	}
	slices.Sort(out.Added)
	slices.Sort(out.Removed)
	httpjson.WriteJSON(w, out)
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if cancel := e.running[r.URL.Query().Get("id")]; cancel != nil {
		cancel()
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) clear() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.clear()
}

// headerInt returns a request header as an integer, or 0 if the header is absent or not an integer.
func headerInt(c *upstream.Call, header string) int {
	n, _ := strconv.Atoi(c.Header().Get(header))
	return n
}

// TakeLongestQueue returns the most requests that have waited for a slot at a time since the last call.
func (e *Engine) TakeLongestQueue() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	longest := e.batch.longest
	e.batch.longest = 0
	return longest
}
