// Package engine stands in for a model engine: OpenAI-compatible chat completions with continuous
// batching, a prefix cache, load reports, cache events and faults.
package engine

import (
	"net/http"
	"sync"
	"time"

	"hickorypath/internal/policy/route"
)

// Options are the properties of an Engine; zero values get defaults.
type Options struct {
	Model   string        // name of the served model
	Slots   int           // requests that run at once
	Gap     time.Duration // between tokens of a request that runs alone
	Batch   float64       // growth of the gap by each further running request, as a fraction
	Prefill time.Duration // to first token, for each prompt token that is not cached
	Cache   int           // prefix blocks that fit into the cache
	Restart time.Duration // from a crash on a marked request until the engine answers again; 0 = until Restore
}

const (
	defaultSlots = 16
	defaultGap   = 5 * time.Millisecond
	defaultCache = 4096
)

func (o Options) withDefaults() Options {
	if o.Model == "" {
		o.Model = "standin"
	}
	if o.Slots == 0 {
		o.Slots = defaultSlots
	}
	if o.Gap == 0 {
		o.Gap = defaultGap
	}
	if o.Cache == 0 {
		o.Cache = defaultCache
	}
	return o
}

// Engine is one stand-in.
type Engine struct {
	options Options

	mu      sync.Mutex
	batch   *batch
	cache   *cache
	faults  faults
	seen    []*Request
	running map[string]*Request
	conns   map[string]bool // remote address of each connection seen; true when silent
}

// Request is a request that the engine has read, whether or not it ran.
type Request struct {
	id       string
	header   http.Header
	query    string
	body     []byte
	priority int
	offset   int
	tokens   int
	ran      bool
	done     bool
	cancel   chan struct{}
}

// ID returns the attempt id of the request.
func (r Request) ID() string { return r.id }

// Header returns the request's header.
func (r Request) Header() http.Header { return r.header }

// Query returns the request's raw query.
func (r Request) Query() string { return r.query }

// Body returns the request's body.
func (r Request) Body() []byte { return r.body }

// Priority returns the request's priority, 0 being the highest.
func (r Request) Priority() int { return r.priority }

// Offset returns the offset in tokens from which the request resumed.
func (r Request) Offset() int { return r.offset }

// Tokens returns the number of output tokens produced, the offset not counted.
func (r Request) Tokens() int { return r.tokens }

// Ran reports whether the engine began to run the request.
func (r Request) Ran() bool { return r.ran }

// Done reports whether the engine produced the whole answer.
func (r Request) Done() bool { return r.done }

// New returns an Engine.
func New(o Options) *Engine {
	o = o.withDefaults()
	return &Engine{
		options: o,
		batch:   newBatch(o.Slots),
		cache:   newCache(o.Cache),
		faults:  newFaults(),
		running: map[string]*Request{},
		conns:   map[string]bool{},
	}
}

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.guard(e.chat))
	mux.HandleFunc("GET /load", e.guard(e.load))
	mux.HandleFunc("GET /events", e.guard(e.events))
	mux.HandleFunc("POST /cancel", e.guard(e.stop))
	mux.HandleFunc("POST /fault", e.fault)
	return mux
}

// Seen returns copies of all chat requests that the engine has read.
func (e *Engine) Seen() []Request {
	e.mu.Lock()
	defer e.mu.Unlock()
	all := make([]Request, 0, len(e.seen))
	for _, r := range e.seen {
		all = append(all, *r)
	}
	return all
}

// Load returns the present load, without the lag of a report.
func (e *Engine) Load() route.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return route.Load{
		Running: e.batch.running,
		Waiting: len(e.batch.waiting),
		KV:      e.cache.fill(),
		At:      time.Now(),
	}
}
