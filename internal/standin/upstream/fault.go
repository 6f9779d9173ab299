// Package upstream contains what the stand-ins for model engines and plain services share: the record of
// received calls and the injection of faults.
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
	"hickorypath/internal/standin/limitcheck"
)

// Fault is the name of an upstream fault, as sent in FaultRequest.
type Fault string

// Supported faults. Those from Reject to Fail are counted: each applies to a given number of coming requests.
const (
	Crash       Fault = "crash"   // connections are dropped until Restore
	Restore     Fault = "restore" // ends all faults except Silence and CrashOnMark
	Stall       Fault = "stall"   // requests make no progress until Restore; load reports continue
	Freeze      Fault = "freeze"  // nothing is done or answered until Restore; connections are accepted
	Silence     Fault = "silence" // connections open now never send anything again; new connections work
	Slow        Fault = "slow"    // all delays are multiplied by a factor
	CrashOnMark Fault = "mark"    // a request whose body contains the mark crashes the upstream

	Reject          Fault = "reject" // the request is rejected without being executed
	WrongID         Fault = "cross"  // the response carries the id of another request
	PreviousAnswer  Fault = "late"   // the response is that of the previous request
	Splice          Fault = "splice" // the stream switches to the response of another request
	LoseCacheEvents Fault = "forget" // cache events are lost
	DropAnswer      Fault = "cut"    // the request is executed, then the connection is closed before the response
	Hang            Fault = "hang"   // the request is executed and never answered
	Fail            Fault = "fail"   // the request is executed and answered with 503, which does not state whether it was
)

// FaultRequest is the JSON body of `POST /fault`.
type FaultRequest struct {
	Fault Fault   `json:"fault"`
	Count int     `json:"count"` // number of coming requests that the fault applies to; -1 = all, default 1
	Value float64 `json:"value"` // delay factor for Slow
	Mark  string  `json:"mark"`  // text in a request body that crashes the upstream; empty = none
}

// faults holds the faults that are in effect.
type faults struct {
	down    chan struct{} // closed while the upstream is crashed
	resumed chan struct{} // open while the upstream is stalled, closed otherwise
	thawed  chan struct{} // open while the upstream is frozen, closed otherwise
	factor  float64
	mark    []byte
	counts  map[Fault]int
}

// Base records the calls of a stand-in and applies its faults.
type Base struct {
	supported []Fault
	onCrash   func() // called with mu held when the upstream crashes

	limit   limitcheck.Limit
	mu      sync.Mutex
	version string // of the software, as stated in responses
	brittle string // rejections a second that it states to bear; empty for no statement
	calls   []*Call
	conns   map[string]bool // by remote address of each connection seen; true when the connection is silent
	faults  faults
}

// New returns a Base that supports the given faults and calls onCrash at each crash.
func New(crashed func(), known ...Fault) *Base {
	b := &Base{supported: known, onCrash: crashed, conns: map[string]bool{}}
	b.faults = faults{down: make(chan struct{}), resumed: make(chan struct{}), thawed: make(chan struct{}), factor: 1, counts: map[Fault]int{}}
	close(b.faults.resumed)
	close(b.faults.thawed)
	return b
}

// ApplyFault puts the requested fault into effect.
func (b *Base) ApplyFault(o FaultRequest) error {
	if !slices.Contains(b.supported, o.Fault) {
		return kind.New(kind.Invalid, "unknown fault %q; known are %q", o.Fault, b.supported)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	switch f := &b.faults; o.Fault {
	case Crash:
		closeIfOpen(f.down)
		b.onCrash()
	case Restore:
		closeIfOpen(f.resumed)
		closeIfOpen(f.thawed)
		f.down, f.counts, f.factor = reopen(f.down), map[Fault]int{}, 1
	case Stall:
		f.resumed = reopen(f.resumed)
	case Freeze:
		f.resumed, f.thawed = reopen(f.resumed), reopen(f.thawed)
	case Silence:
		for c := range b.conns {
			b.conns[c] = true
		}
	case Slow:
		f.factor = o.Value
	case CrashOnMark:
		f.mark = []byte(o.Mark)
	default:
		f.counts[o.Fault] = cmp.Or(o.Count, 1)
	}
	return nil
}

// Crash drops all connections and answers none until Restore.
func (b *Base) Crash() { _ = b.ApplyFault(FaultRequest{Fault: Crash}) }

// Restore ends all faults except silent connections and the crash mark.
func (b *Base) Restore() { _ = b.ApplyFault(FaultRequest{Fault: Restore}) }

// Stall stops the progress of all requests until Restore.
func (b *Base) Stall() { _ = b.ApplyFault(FaultRequest{Fault: Stall}) }

// Freeze stops everything that the upstream does until Restore.
func (b *Base) Freeze() { _ = b.ApplyFault(FaultRequest{Fault: Freeze}) }

// Silence makes all open connections silent for good; new connections work.
func (b *Base) Silence() { _ = b.ApplyFault(FaultRequest{Fault: Silence}) }

// Slow multiplies all delays of the upstream by factor.
func (b *Base) Slow(factor float64) { _ = b.ApplyFault(FaultRequest{Fault: Slow, Value: factor}) }

// SetCrashMark makes each request whose body contains mark crash the upstream; an empty mark turns this off.
func (b *Base) SetCrashMark(mark string) {
	_ = b.ApplyFault(FaultRequest{Fault: CrashOnMark, Mark: mark})
}

// InjectFault applies a counted fault to the next n requests, or to all requests if n is -1.
func (b *Base) InjectFault(f Fault, n int) { _ = b.ApplyFault(FaultRequest{Fault: f, Count: n}) }

// ConsumeFault reports whether a counted fault applies now, and if so uses up one of its occurrences.
func (b *Base) ConsumeFault(f Fault) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.faults.counts[f]
	if n > 0 {
		b.faults.counts[f]--
	}
	return n != 0
}

// CrashIfMarked crashes the upstream if body contains the crash mark, and reports whether it did.
func (b *Base) CrashIfMarked(body []byte) bool {
	mark := b.currentFaults().mark
	if len(mark) == 0 || !bytes.Contains(body, mark) {
		return false
	}
	b.Crash()
	return true
}

// WithConnectionFaults returns a handler that drops the connection while the upstream is crashed, never
// answers on a silent connection, and otherwise calls next. A connection that becomes silent while next runs is
// left open without the end of its response.
func (b *Base) WithConnectionFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if isClosed(b.currentFaults().down) {
			panic(http.ErrAbortHandler)
		}
		b.Wait(r.Context(), b.currentFaults().thawed)
		if !b.IsSilent(r) {
			next(w, r)
		}
		if b.IsSilent(r) {
			HangUntilCanceled(r)
		}
	}
}

// IsSilent reports whether the connection of r is silent. It also records the connection, so that a later
// Silence fault covers it.
func (b *Base) IsSilent(r *http.Request) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	silent := b.conns[r.RemoteAddr]
	b.conns[r.RemoteAddr] = silent
	return silent
}

// HangUntilCanceled waits until the client cancels the request, then closes the connection without a response.
func HangUntilCanceled(r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// Wait blocks until ready is closed. When ctx ends or the upstream crashes first, Wait aborts the HTTP handler.
func (b *Base) Wait(ctx context.Context, ready <-chan struct{}) {
	select {
	case <-ready:
		return
	case <-b.currentFaults().down:
	case <-ctx.Done():
	}
	panic(http.ErrAbortHandler)
}

// Sleep waits for d, multiplied by the factor of Slow, and then until no stall is in effect.
func (b *Base) Sleep(ctx context.Context, d time.Duration) {
	done := make(chan struct{})
	timer := time.AfterFunc(time.Duration(float64(d)*b.currentFaults().factor), func() { close(done) })
	defer timer.Stop()
	b.Wait(ctx, done)
	b.Wait(ctx, b.currentFaults().resumed)
}

func (b *Base) currentFaults() faults {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.faults
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// closeIfOpen closes c unless it is already closed.
func closeIfOpen(c chan struct{}) {
	if !isClosed(c) {
		close(c)
	}
}

// reopen returns c, or a new channel if c is closed.
func reopen(c chan struct{}) chan struct{} {
	if isClosed(c) {
		return make(chan struct{})
	}
	return c
}
