package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickorypath/internal/standin/instance"
	"hickorypath/internal/standin/proxy"
)

// takeUpFleet is a fleet before instances of several versions, whose callers may name the last event alone when they take a stream up.
type takeUpFleet struct {
	*gatewayFleet
	events int // of a stream
	begun  []*stream
	named  bool // the callers name the first request as well
}

// newTakeUpFleet starts three hosts and two instances of version v1.
func newTakeUpFleet(t *testing.T, net, events int) *takeUpFleet {
	t.Helper()
	f := &takeUpFleet{gatewayFleet: newGatewayFleet(t, net, 3, 0), events: events}
	f.join("old0", "v1")
	f.join("old1", "v1")
	for _, h := range f.hosts {
		f.waitUntil(func() bool {
			return strings.Count(h.log.String(), "upstream joins") == 2 && strings.Contains(h.log.String(), "versions in the store")
		})
	}
	return f
}

// join starts an instance.
func (f *takeUpFleet) join(id, version string) {
	f.t.Helper()
	is := is.New(f.t)
	s, err := instance.New(instance.Options{Version: version, Events: f.events, Interval: 20 * time.Millisecond})
	is.NoErr(err)
	f.t.Cleanup(s.Close)
	value := fmt.Sprintf(`{"service":"svc","address":%q,"zone":"z","version":%q,"slots":64,"state":"ready","seq":1}`, s.Addr(), version)
	is.NoErr(f.platform.Put(f.t.Context(), "servers/"+id, []byte(value)))
}

// replace replaces the instances of v1 by those of v2. The former go on serving hosts that still know them.
func (f *takeUpFleet) replace() {
	f.t.Helper()
	is := is.New(f.t)
	f.join("new0", "v2")
	f.join("new1", "v2")
	is.NoErr(f.platform.Remove(f.t.Context(), "servers/old0"))
	is.NoErr(f.platform.Remove(f.t.Context(), "servers/old1"))
}

// begin opens six streams at a host and waits for the first event of each.
func (f *takeUpFleet) begin(host int) {
	f.t.Helper()
	for n := range 6 {
		var s *stream
		f.waitUntil(func() (ok bool) {
			var status int
			s, status = f.hosts[host].openStream(fmt.Sprintf("first-%d", n), nil)
			return status == http.StatusOK
		})
		is.New(f.t).NoErr(s.read())
		f.begun = append(f.begun, s)
	}
}

// restartAll kills all hosts at once and starts them again.
func (f *takeUpFleet) restartAll() {
	for _, h := range f.hosts {
		h.kill()
	}
	for _, h := range f.hosts {
		h.start()
	}
	for _, h := range f.hosts {
		f.waitUntil(h.ready)
	}
}

// takeUp takes each stream up at a host once, and returns how many went on to their ends.
func (f *takeUpFleet) takeUp(host int) int {
	var wentOn atomic.Int64
	var callers sync.WaitGroup
	for n, s := range f.begun {
		callers.Go(func() {
			for s.read() == nil { // until the stream breaks
			}
			first := &stream{events: s.events}
			if f.named {
				first.id = s.id
			}
			rest, status := f.hosts[host].openStream(fmt.Sprintf("again-%d", n), first)
			if status != http.StatusOK {
				if status != http.StatusServiceUnavailable {
					f.t.Errorf("status %d", status)
				}
				return
			}
			for rest.read() == nil {
			}
			all := slices.Concat(s.events, rest.events)
			for i, e := range all {
				if want := (instance.Event{ID: i + 1, Version: all[0].Version}); e != want {
					f.t.Errorf("event %v in place of %v", e, want)
				}
			}
			if len(all) == f.events {
				wentOn.Add(1)
			}
		})
	}
	callers.Wait()
	return int(wentOn.Load())
}

// TestStreamIsTakenUpWithoutItsFirstRequest guards against a stream that goes on at another software version than the one that
// began it, and against one that does not go on although the service has run a single version.
func TestStreamIsTakenUpWithoutItsFirstRequest(t *testing.T) {
	cases := []struct {
		name   string
		strike func(f *takeUpFleet)
		host   int // at which the callers take their streams up
		goesOn bool
	}{
		{"its host is killed", func(f *takeUpFleet) { f.begin(0); f.hosts[0].kill() }, 1, true},
		{"all hosts are killed", func(f *takeUpFleet) { f.begin(0); f.restartAll() }, 1, true},
		{"all hosts are killed, the first request is named", func(f *takeUpFleet) { f.named = true; f.begin(0); f.restartAll() }, 1, true},
		{"all hosts are killed, its version has left, the first request is named", func(f *takeUpFleet) {
			f.named = true
			f.begin(0)
			f.replace()
			f.restartAll()
		}, 1, false},
		{"all hosts are killed, its version has left", func(f *takeUpFleet) { f.begin(0); f.replace(); f.restartAll() }, 1, false},
		{"all hosts are killed, its version is leaving", func(f *takeUpFleet) {
			f.begin(0)
			f.join("new0", "v2")
			f.restartAll()
		}, 1, false},
		{"the store is away", func(f *takeUpFleet) {
			f.begin(0)
			f.platform.FailWith(http.StatusServiceUnavailable)
			f.hosts[0].kill()
		}, 1, true},
		{"the host is cut off while its version joins", func(f *takeUpFleet) {
			store := f.hosts[2].restartBehindProxy()
			f.waitUntil(func() bool { return strings.Count(f.hosts[2].log.String(), "upstream joins") == 2 })
			store.SetMode(proxy.Blackhole)
			f.hosts[2].pause()
			f.replace()
			f.begin(0)
			f.hosts[0].kill()
			f.hosts[1].kill()
			is.New(f.t).NoErr(f.hosts[2].cmd.Process.Signal(syscall.SIGCONT))
		}, 2, false},
	}
	for n, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newTakeUpFleet(t, 60+n, 60)
			c.strike(f)
			is.New(t).Equal(f.takeUp(c.host), map[bool]int{true: len(f.begun)}[c.goesOn])
		})
	}
}
