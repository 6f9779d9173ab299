package main

import (
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// lateListener calls a function when it is about to be closed.
type lateListener struct {
	net.Listener
	beforeClose func()
}

// Close implements net.Listener.
func (l lateListener) Close() error {
	l.beforeClose()
	return l.Listener.Close()
}

// TestRequestAtTheMomentAHostStopsAccepting guards against a host without requests that ends with one that has just arrived.
func TestRequestAtTheMomentAHostStopsAccepting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newCutoffSimulation(t, 1, 1, 1)
		g, answered := f.hosts[0], make(chan bool, 1)
		l := lateListener{f.net.Listen(g.settings.IP + ":8001"), func() {
			go func() { answered <- f.ask(g.settings.IP, "late") }()
			time.Sleep(workTime / 3) // the host has passed the request on
		}}
		served := make(chan struct{})
		go func() {
			defer close(served)
			_ = g.server.Serve(t.Context(), l) // returns when the listener is closed
		}()
		g.drain(l, served)
		is.Equal(g.requestsInHand(), 0)
		is.True(<-answered)
		is.True(g.drainTime() < g.settings.Bounds.GracePeriod)
	})
}
