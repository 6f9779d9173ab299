package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickorypath/internal/standin/instance"
	"hickorypath/internal/standin/proxy"
)

// silenceRecord is what the callers of TestGatewayEndsRequestsOfASilentService got.
type silenceRecord struct {
	mu      sync.Mutex
	answers map[string]streamAnswer
	cut     int // responses that ended early
	garbled int // responses that are no HTTP
}

func (r *silenceRecord) add(id string, a streamAnswer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers[id] = a
	switch {
	case a.status != 0:
	case errors.Is(a.err, io.EOF) || errors.Is(a.err, io.ErrUnexpectedEOF):
		r.cut++
	default:
		r.garbled++
	}
}

// TestGatewayEndsRequestsOfASilentService guards against streams that are cut, or get bytes that are no HTTP, when the upstreams of a
// service, and their network, are silent together for a second while the configuration changes.
func TestGatewayEndsRequestsOfASilentService(t *testing.T) {
	const (
		hosts, upstreams, callers = 3, 3, 6
		events                    = 40
	)
	is := is.New(t)
	instances := make([]*instance.Server, upstreams)
	for n := range instances {
		var err error
		instances[n], err = instance.New(instance.Options{Version: "v1", Events: events, Interval: 40 * time.Millisecond, FailResumes: true})
		is.NoErr(err)
		t.Cleanup(instances[n].Close)
	}
	f := newCutoffFleetOf(t, 51, hosts, 64, instances)
	stop := make(chan struct{})
	var wait sync.WaitGroup
	r := &silenceRecord{answers: map[string]streamAnswer{}}
	for n := range callers * hosts {
		wait.Go(func() { f.sendOnOneConnection(n, r, stop) })
	}
	steps := []struct {
		silent  int // upstreams
		silence time.Duration
		change  func() // of the configuration, which comes 0.6 s before the silence
	}{
		{upstreams, 1200 * time.Millisecond, func() { f.limits = map[string]any{"idleTimeoutMs": 20000} }},
		{upstreams - 1, 1100 * time.Millisecond, func() { f.timeoutMs = 4000 }},
		{upstreams, 1300 * time.Millisecond, func() {}},
		{upstreams, 400 * time.Millisecond, func() {}},
		{upstreams, 500 * time.Millisecond, func() {}},
		{upstreams - 1, time.Second, func() { f.limits = map[string]any{"idleTimeoutMs": 9000} }},
	}
	for _, s := range steps {
		s.change()
		f.configure("k1")
		<-time.After(600 * time.Millisecond)
		f.eachLink(s.silent, func(p *proxy.Proxy) error { return p.Cut(proxy.CutHangs) })
		<-time.After(s.silence)
		f.eachLink(s.silent, (*proxy.Proxy).Heal)
		<-time.After(1500 * time.Millisecond)
	}
	close(stop)
	wait.Wait()
	runs, resumes := map[string]int{}, 0
	for _, s := range instances {
		resumes += s.Resumes()
		for id, n := range s.Runs() {
			runs[id] += n
		}
	}
	served := 0
	for id, a := range r.answers {
		switch {
		case a.status == http.StatusOK && a.route == "talk" && len(a.events) != events:
			t.Errorf("stream %s has %d events", id, len(a.events))
		case a.status == http.StatusServiceUnavailable && runs[id] > 0, a.route == "once" && runs[id] > 1:
			t.Errorf("request %s was answered with %d and has run %d times", id, a.status, runs[id])
		case a.status == http.StatusOK:
			served++
		}
	}
	t.Logf("%d requests, %d served, %d cut, %d garbled, %d streams taken up elsewhere", len(r.answers), served, r.cut, r.garbled, resumes)
	is.Equal(r.garbled, 0)
	is.Equal(r.cut, 0)
	is.Equal(resumes, 0)
	is.True(served > 0)
}

// sendOnOneConnection sends one request after the other to a host until stop is closed, and opens another connection only if it has to.
func (f *cutoffFleet) sendOnOneConnection(caller int, r *silenceRecord, stop chan struct{}) {
	h, route := f.hosts[caller%len(f.hosts)], []string{"talk", "talk", "safe", "once"}[caller/len(f.hosts)%4]
	var c net.Conn
	for n := 0; ; n++ {
		select {
		case <-stop:
			if c != nil {
				_ = c.Close()
			}
			return
		case <-time.After(50 * time.Millisecond):
		}
		if c == nil {
			var err error
			if c, err = net.DialTimeout("tcp4", h.ip+":8000", time.Second); err != nil {
				f.t.Error(err)
				return
			}
		}
		id := fmt.Sprintf("%d-%d", caller, n)
		a := ask(c, route, id)
		r.add(id, a)
		if a.status == 0 {
			_ = c.Close()
			c = nil
		}
	}
}

// eachLink calls do for the links of all hosts to the first n upstreams, at the same time.
func (f *cutoffFleet) eachLink(n int, do func(*proxy.Proxy) error) {
	var wait sync.WaitGroup
	for _, links := range f.links {
		for _, l := range links[:n] {
			wait.Go(func() {
				if err := do(l); err != nil {
					f.t.Error(err)
				}
			})
		}
	}
	wait.Wait()
}
