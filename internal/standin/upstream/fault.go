// Package upstream holds what the stand-ins of engines and plain services share: calls and faults.
package upstream

import (
	"bytes"
	"cmp"
	"context"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"hickorypath/internal/core/kind"
)

// Fault names a fault of an upstream.
type Fault string

// The faults. The last group strikes a number of coming calls.
const (
	Crash   Fault = "crash"   // connections are dropped until restore
	Restore Fault = "restore" // ends all faults but silence and mark
	Stall   Fault = "stall"   // calls make no progress until restore; load reports go on
	Silence Fault = "silence" // open connections go silent for good; new ones work
	Slow    Fault = "slow"    // all times are multiplied
	Mark    Fault = "mark"    // calls whose body contains the mark crash the upstream

	Reject Fault = "reject" // refused without running
	Cross  Fault = "cross"  // answered under the id of another call
	Late   Fault = "late"   // answered with the answer to the call before
	Splice Fault = "splice" // stream that changes over to another answer
	Forget Fault = "forget" // cache events that are lost
	Cut    Fault = "cut"    // run, and the connection is dropped before the answer
	Hang   Fault = "hang"   // run and never answered
)

// Order is the body of `POST /fault`.
type Order struct {
	Fault Fault   `json:"fault"`
	Count int     `json:"count"` // coming calls that the fault strikes, -1 = all; default 1
	Value float64 `json:"value"` // factor of slow
	Mark  string  `json:"mark"`
}

// Base is the part of a stand-in that keeps calls and faults.
type Base struct {
	known   []Fault
	crashed func() // called after a crash

	mu      sync.Mutex
	calls   []*Call
	conns   map[string]bool // remote address of each connection seen; true when silent
	counts  map[Fault]int
	down    chan struct{} // closed while crashed
	resumed chan struct{} // open while stalled
	factor  float64
	mark    []byte
}

// New returns a Base that takes orders for the known faults.
func New(crashed func(), known ...Fault) *Base {
	b := &Base{known: known, crashed: crashed, conns: map[string]bool{}, down: make(chan struct{}), resumed: make(chan struct{})}
	close(b.resumed)
	b.Restore()
	return b
}

// Set carries out an order.
func (b *Base) Set(o Order) error {
	if !slices.Contains(b.known, o.Fault) {
		return kind.New(kind.Invalid, "unknown fault %q; known are %q", o.Fault, b.known)
	}
	switch o.Fault {
	case Crash:
		b.Crash()
	case Restore:
		b.Restore()
	case Stall:
		b.Stall()
	case Silence:
		b.Silence()
	case Slow:
		b.Slow(o.Value)
	case Mark:
		b.Mark(o.Mark)
	default:
		b.Strike(o.Fault, cmp.Or(o.Count, 1))
	}
	return nil
}

// Crash drops all connections and answers none until Restore.
func (b *Base) Crash() {
	b.mu.Lock()
	if !isClosed(b.down) {
		close(b.down)
	}
	b.mu.Unlock()
	b.crashed()
}

// Restore ends all faults but silent connections and the mark.
func (b *Base) Restore() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if isClosed(b.down) {
		b.down = make(chan struct{})
	}
	if !isClosed(b.resumed) {
		close(b.resumed)
	}
	b.counts, b.factor = map[Fault]int{}, 1
}

// Stall stops the progress of all calls until Restore.
func (b *Base) Stall() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if isClosed(b.resumed) {
		b.resumed = make(chan struct{})
	}
}

// Silence makes all open connections silent for good; new ones work.
func (b *Base) Silence() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for c := range b.conns {
		b.conns[c] = true
	}
}

// Slow multiplies all times of the upstream by factor.
func (b *Base) Slow(factor float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.factor = factor
}

// Mark makes each call whose body contains mark crash the upstream; an empty mark ends that.
func (b *Base) Mark(mark string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.mark = []byte(mark)
}

// Strike makes a fault strike the next n calls; -1 strikes all.
func (b *Base) Strike(f Fault, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counts[f] = n
}

// Take reports whether a fault strikes now, and counts it.
func (b *Base) Take(f Fault) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.counts[f]
	if n > 0 {
		b.counts[f]--
	}
	return n != 0
}

// CrashOn crashes the upstream if body is marked, and reports whether it did.
func (b *Base) CrashOn(body []byte) bool {
	b.mu.Lock()
	marked := len(b.mark) > 0 && bytes.Contains(body, b.mark)
	b.mu.Unlock()
	if marked {
		b.Crash()
	}
	return marked
}

// Guard keeps the calls from next that a crashed upstream or a silent connection would not answer.
func (b *Base) Guard(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		b.mu.Lock()
		down := isClosed(b.down)
		b.mu.Unlock()
		if down {
			panic(http.ErrAbortHandler)
		}
		if !b.IsSilent(r) {
			next(w, r)
		}
		if b.IsSilent(r) {
			Swallow(r)
		}
	}
}

// IsSilent notes the connection of r and reports whether it has gone silent.
func (b *Base) IsSilent(r *http.Request) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	silent := b.conns[r.RemoteAddr]
	b.conns[r.RemoteAddr] = silent
	return silent
}

// Swallow waits until the caller gives up and answers nothing.
func Swallow(r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// Wait blocks until ready is closed; it ends the call when ctx ends or the upstream crashes.
func (b *Base) Wait(ctx context.Context, ready <-chan struct{}) {
	b.mu.Lock()
	down := b.down
	b.mu.Unlock()
	select {
	case <-ready:
		return
	case <-down:
	case <-ctx.Done():
	}
	panic(http.ErrAbortHandler)
}

// Sleep waits for d, lengthened by Slow, and for the end of a stall.
func (b *Base) Sleep(ctx context.Context, d time.Duration) {
	b.mu.Lock()
	d = time.Duration(float64(d) * b.factor)
	b.mu.Unlock()
	done := make(chan struct{})
	timer := time.AfterFunc(d, func() { close(done) })
	defer timer.Stop()
	b.Wait(ctx, done)
	b.mu.Lock()
	resumed := b.resumed
	b.mu.Unlock()
	b.Wait(ctx, resumed)
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
