package engine

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"
)

type faults struct {
	down   chan struct{} // closed while the engine is crashed
	crash  bool
	stall  chan struct{} // not nil while the engine is stalled; closed at its end
	slow   float64
	reject int // answers to reject, -1 = all
	cross  int // answers to give under another id
	late   int // answers to replace by the one before
	splice int // streams that change over to another answer
	mark   []byte
}

func newFaults() faults {
	return faults{down: make(chan struct{}), slow: 1}
}

// Crash drops all connections and answers none until Restore.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashLocked()
}

func (e *Engine) crashLocked() {
	if e.faults.crash {
		return
	}
	e.faults.crash = true
	close(e.faults.down)
	e.cache.clear()
}

// Restore ends all faults.
func (e *Engine) Restore() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.restoreLocked()
}

func (e *Engine) restoreLocked() {
	if e.faults.stall != nil {
		close(e.faults.stall)
	}
	mark, down := e.faults.mark, e.faults.down
	crashed := e.faults.crash
	e.faults = newFaults()
	e.faults.mark = mark
	if !crashed {
		e.faults.down = down
	}
}

// Stall stops the output of all requests until Restore; load reports go on.
func (e *Engine) Stall() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.stall == nil {
		e.faults.stall = make(chan struct{})
	}
}

// Silence makes all open connections silent for good; new ones work.
func (e *Engine) Silence() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for c := range e.conns {
		e.conns[c] = true
	}
}

// Slow multiplies all times of the engine by factor.
func (e *Engine) Slow(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.slow = factor
}

// Reject makes the engine reject the next n requests without running them; -1 rejects all.
func (e *Engine) Reject(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.reject = n
}

// Cross gives the next n answers under the id of another request.
func (e *Engine) Cross(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.cross = n
}

// Late answers the next n requests with the answer to the request before.
func (e *Engine) Late(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.late = n
}

// Splice makes the next n streams change over to another request's answer after their first token.
func (e *Engine) Splice(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.splice = n
}

// Mark makes each request whose body contains mark crash the engine; an empty mark ends that.
func (e *Engine) Mark(mark string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.mark = []byte(mark)
}

// Forget loses the cache events that were not yet read.
func (e *Engine) Forget() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.drop()
}

// crashOn crashes the engine if body is marked.
func (e *Engine) crashOn(body []byte) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.faults.mark) == 0 || !bytes.Contains(body, e.faults.mark) {
		return
	}
	e.crashLocked()
	if e.options.Restart > 0 {
		time.AfterFunc(e.options.Restart, e.Restore)
	}
}

// take uses up one of n faults.
func take(n *int) bool {
	if *n == 0 {
		return false
	}
	if *n > 0 {
		*n--
	}
	return true
}

// order is the body of POST /fault.
type order struct {
	Fault string  `json:"fault"`
	Count int     `json:"count"`
	Value float64 `json:"value"`
	Mark  string  `json:"mark"`
}

func (e *Engine) fault(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if o.Count == 0 {
		o.Count = 1
	}
	switch o.Fault {
	case "crash":
		e.Crash()
	case "restore":
		e.Restore()
	case "stall":
		e.Stall()
	case "silence":
		e.Silence()
	case "slow":
		e.Slow(o.Value)
	case "reject":
		e.Reject(o.Count)
	case "cross":
		e.Cross(o.Count)
	case "late":
		e.Late(o.Count)
	case "splice":
		e.Splice(o.Count)
	case "mark":
		e.Mark(o.Mark)
	case "forget":
		e.Forget()
	default:
		http.Error(w, "unknown fault "+o.Fault, http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
