package upstream

import (
	"io"
	"net/http"
	"slices"
	"sync/atomic"

	"hickorypath/internal/standin/limitcheck"
)

// HTTP header names of the protocol between the router and its upstreams.
const (
	HeaderID  = "X-Request-Id"
	headerRan = "X-Ran"

	headerLimit   = "X-Limit"
	headerVersion = "X-Version"
	headerBrittle = "X-Brittle"
)

const (
	maxCalls     = 20_000   // recorded calls; the older half is discarded when the limit is exceeded
	maxBodyBytes = 16 << 20 // bytes
)

// Call is a request that the upstream has read completely, whether or not it was executed.
type Call struct {
	id, path, query string
	header          http.Header
	body            []byte
	ran, done       atomic.Bool
	tokens          atomic.Int64
}

// ID returns the attempt id, which the router sends in HeaderID.
func (c *Call) ID() string { return c.id }

// Path returns the URL path of the request.
func (c *Call) Path() string { return c.path }

// Query returns the raw URL query of the request.
func (c *Call) Query() string { return c.query }

// Header returns the HTTP header of the request.
func (c *Call) Header() http.Header { return c.header }

// Body returns the request body.
func (c *Call) Body() []byte { return c.body }

// Ran reports whether the upstream began to execute the request.
func (c *Call) Ran() bool { return c.ran.Load() }

// Done reports whether the upstream produced the complete response.
func (c *Call) Done() bool { return c.done.Load() }

// Tokens returns the number of output tokens produced so far.
func (c *Call) Tokens() int { return int(c.tokens.Load()) }

// MarkStarted records that execution of the request has begun.
func (c *Call) MarkStarted() { c.ran.Store(true) }

// AddToken adds one to the number of output tokens produced.
func (c *Call) AddToken() { c.tokens.Add(1) }

// MarkFinished records that the complete response was produced.
func (c *Call) MarkFinished() { c.done.Store(true) }

// ReadCall reads a request and records it as a Call. It returns nil when the Reject fault applied and the
// error response has already been written.
func (b *Base) ReadCall(w http.ResponseWriter, r *http.Request) *Call {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	call := &Call{id: r.Header.Get(HeaderID), path: r.URL.Path, query: r.URL.RawQuery, header: r.Header.Clone(), body: body}
	b.mu.Lock()
	b.calls = append(b.calls, call)
	if len(b.calls) > maxCalls {
		b.calls = slices.Clone(b.calls[maxCalls/2:])
	}
	b.mu.Unlock()
	w.Header().Set(HeaderID, call.id)
	if v := b.Version(); v != "" {
		w.Header().Set(headerVersion, v)
	}
	if v := b.brittleStatement(); v != "" {
		w.Header().Set(headerBrittle, v)
	}
	if values := b.limit.RecordCall(call.id); len(values) > 0 {
		w.Header()[headerLimit] = values
	}
	if b.ConsumeFault(Reject) {
		Refuse(w, http.StatusServiceUnavailable, "upstream is full")
		return nil
	}
	return call
}

// Refuse writes an error response whose X-Ran header tells the router that the request was not executed.
func Refuse(w http.ResponseWriter, status int, text string) {
	w.Header().Set(headerRan, "no")
	http.Error(w, `{"error":{"message":"`+text+`"}}`, status)
}

// Limit returns the request limit that the upstream names.
func (b *Base) Limit() *limitcheck.Limit { return &b.limit }

// SetBrittle sets how many rejections a second the upstream states to bear, empty for no statement.
func (b *Base) SetBrittle(rejections string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.brittle = rejections
}

func (b *Base) brittleStatement() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.brittle
}

// SetVersion sets the software version that the upstream states in its responses.
func (b *Base) SetVersion(v string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.version = v
}

// Version returns the software version that the upstream states, empty if none.
func (b *Base) Version() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.version
}

// Calls returns the recorded calls, oldest first.
func (b *Base) Calls() []*Call {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.calls)
}
