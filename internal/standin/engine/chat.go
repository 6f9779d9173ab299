package engine

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"hickorypath/internal/policy/route"
)

// Header names of the engine protocol.
const (
	headerID       = "X-Request-Id"
	headerPriority = "X-Priority"
	headerOffset   = "Last-Event-ID"
	headerSalt     = "X-Cache-Salt"
	headerRan      = "X-Ran"
)

// maxSeen bounds the requests that are remembered.
const maxSeen = 20_000

// maxBody bounds the body of a request.
const maxBody = 16 << 20

type completion struct {
	Model    string          `json:"model"`
	Messages json.RawMessage `json:"messages"`
	Stream   bool            `json:"stream"`
	Options  struct {
		Usage bool `json:"include_usage"`
	} `json:"stream_options"`
	Max    int `json:"max_tokens"`
	Tokens int `json:"max_completion_tokens"`
}

// answer is the deterministic output for one request.
type answer struct {
	id     string
	model  string
	seed   uint64
	prompt int
	length int
	finish string
}

// guard drops the requests that a crashed engine or a silent connection would not answer.
func (e *Engine) guard(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if e.isDown() {
			panic(http.ErrAbortHandler)
		}
		if e.isSilent(r.RemoteAddr) {
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		next(w, r)
	}
}

func (e *Engine) isDown() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.crash
}

// isSilent notes the connection and reports whether it has gone silent.
func (e *Engine) isSilent(remote string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	silent := e.conns[remote]
	e.conns[remote] = silent
	return silent
}

func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	req, before := e.record(r, body)
	w.Header().Set(headerID, req.id)
	if e.isRejecting() {
		w.Header().Set(headerRan, "no")
		http.Error(w, `{"error":{"message":"engine is full"}}`, http.StatusServiceUnavailable)
		return
	}
	var c completion
	if err := json.Unmarshal(body, &c); err != nil || len(c.Messages) == 0 {
		w.Header().Set(headerRan, "no")
		http.Error(w, `{"error":{"message":"body cannot be read"}}`, http.StatusBadRequest)
		return
	}
	a := e.answer(req, c)
	if other, ok := e.swap(req, before); ok {
		w.Header().Set(headerID, other.id)
		a.id, a.seed = other.id, xxhash.Sum64(other.body)
	}
	run := &run{engine: e, req: req, answer: a, completion: c, w: w, r: r}
	run.serve()
	if e.isSilent(r.RemoteAddr) {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
}

// record notes the request and returns it with the one before.
func (e *Engine) record(r *http.Request, body []byte) (req, before *Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if n := len(e.seen); n > 0 {
		before = e.seen[n-1]
	}
	req = &Request{
		id:     r.Header.Get(headerID),
		header: r.Header.Clone(),
		query:  r.URL.RawQuery,
		body:   body,
		cancel: make(chan struct{}),
	}
	req.priority, _ = strconv.Atoi(r.Header.Get(headerPriority))
	req.offset, _ = strconv.Atoi(r.Header.Get(headerOffset))
	e.seen = append(e.seen, req)
	if len(e.seen) > maxSeen {
		e.seen = append([]*Request(nil), e.seen[maxSeen/2:]...)
	}
	return req, before
}

func (e *Engine) isRejecting() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return take(&e.faults.reject)
}

// swap returns the request whose answer is to be given in place of the one to req.
func (e *Engine) swap(req, before *Request) (*Request, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if take(&e.faults.cross) {
		return &Request{id: "other-" + req.id, body: []byte("other")}, true
	}
	if before != nil && take(&e.faults.late) {
		return before, true
	}
	return nil, false
}

const (
	bytesPerToken = 4
	minLength     = 8
	spreadLength  = 57
)

func (e *Engine) answer(req *Request, c completion) answer {
	seed := xxhash.Sum64(c.Messages)
	a := answer{
		id:     req.id,
		model:  c.Model,
		seed:   seed,
		prompt: len(c.Messages)/bytesPerToken + 1,
		length: minLength + int(seed%spreadLength),
		finish: "stop",
	}
	if limit := max(c.Max, c.Tokens); limit > 0 && limit <= a.length {
		a.length, a.finish = limit, "length"
	}
	return a
}

// prefill returns the time to the first token and caches the prompt.
func (e *Engine) prefill(req *Request, c completion, prompt int) time.Duration {
	blocks := route.Blocks(req.header.Get(headerSalt), c.Messages)
	e.mu.Lock()
	defer e.mu.Unlock()
	hits := e.cache.use(blocks)
	missing := prompt
	if len(blocks) > 0 {
		missing = prompt * (len(blocks) - hits) / len(blocks)
	}
	d := e.options.Gap + time.Duration(missing)*e.options.Prefill
	return time.Duration(float64(d) * e.faults.slow)
}

// gap returns the time to the next token at the present batch size.
func (e *Engine) gap() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	others := float64(max(0, e.batch.running-1))
	return time.Duration(float64(e.options.Gap) * (1 + e.options.Batch*others) * e.faults.slow)
}

var words = [...]string{
	"the", "ledger", "shows", "an", "entry", "of", "dues", "paid", "in", "March", "and", "one",
	"letter", "from", "agency", "with", "a", "notice", "for", "each", "member", "that", "was", "sent",
}

func (a answer) token(i int) string {
	x := (a.seed + uint64(i)) * 0x9e3779b97f4a7c15
	word := words[(x>>33)%uint64(len(words))]
	if i == 0 {
		return word
	}
	return " " + word
}
