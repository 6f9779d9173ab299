package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/samber/lo"

	"hickorypath/internal/standin/instance"
)

// adviceFleet is a fleet of gateway hosts whose callers ask two instances of one service without pause.
type adviceFleet struct {
	*gatewayFleet
	instances []*instance.Server
	mu        sync.Mutex
	statuses  map[int]int // number of answers by status
}

func newAdviceFleet(t *testing.T, net, hosts int) *adviceFleet {
	t.Helper()
	is := is.New(t)
	f := &adviceFleet{gatewayFleet: newGatewayFleet(t, net, hosts, 0), statuses: map[int]int{}}
	for i := range 2 {
		s, err := instance.New(instance.Options{})
		is.NoErr(err)
		t.Cleanup(s.Close)
		f.instances = append(f.instances, s)
		value := fmt.Sprintf(`{"service":"svc","address":%q,"zone":"z","slots":8,"state":"ready","seq":1}`, s.Addr())
		is.NoErr(f.platform.Put(t.Context(), fmt.Sprintf("servers/u%d", i), []byte(value)))
	}
	for _, h := range f.hosts {
		f.waitUntil(func() bool { return strings.Count(h.log.String(), `"text":"upstream joins"`) == len(f.instances) })
	}
	const ratePerHost = 20 // requests per second
	stop := make(chan struct{})
	var callers sync.WaitGroup
	t.Cleanup(func() {
		close(stop)
		callers.Wait()
	})
	for _, h := range f.hosts {
		callers.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(time.Second / ratePerHost):
					callers.Go(func() {
						status := h.ask("safe", fmt.Sprintf("%s-%d", h.name, n), "k1")
						f.mu.Lock()
						defer f.mu.Unlock()
						f.statuses[status]++
					})
				}
			}
		})
	}
	f.awaitCalls(1)
	return f
}

// awaitCalls waits until the first instance, which the hosts prefer, has got n more requests from each host.
func (f *adviceFleet) awaitCalls(n int) {
	before := lo.Map(f.hosts, func(h *gatewayHost, _ int) int { return f.instances[0].CallsFrom(h.name) })
	for i, h := range f.hosts {
		f.waitUntil(func() bool { return f.instances[0].CallsFrom(h.name) >= before[i]+n })
	}
}

// served returns the number of requests that were served, and of those that were not.
func (f *adviceFleet) served() (ok, failed int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for status, n := range f.statuses {
		if status == http.StatusOK {
			ok += n
		} else {
			failed += n
		}
	}
	return ok, failed
}

// TestHostsSendRequestsToAnUpstreamThatSaysThatItLeaves guards against hosts that learn that an upstream leaves from the store only,
// which may not show it: the upstream does not write it there, or the store is away.
func TestHostsSendRequestsToAnUpstreamThatSaysThatItLeaves(t *testing.T) {
	cases := []struct {
		name string
		net  int
		away bool // the store is away
	}{
		{"entry stays ready", 21, false},
		{"store is away", 22, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newAdviceFleet(t, c.net, 3)
			if c.away {
				f.platform.FailWith(http.StatusServiceUnavailable)
			}
			f.instances[0].Leave()
			f.waitUntil(func() bool {
				return slices.ContainsFunc(f.hosts, func(h *gatewayHost) bool {
					since, ok := f.instances[0].IsKnownToLeave(h.name)
					return ok && since > 5*time.Second
				})
			})
			is.Equal(strings.Join(f.instances[0].Violations(), "\n"), "")
			before, _ := f.served()
			f.waitUntil(func() bool { n, _ := f.served(); return n > before+20 })
			_, failed := f.served()
			is.Equal(failed, 0)
		})
	}
}

// TestHostLearnsThatAnUpstreamLeavesFromOthers checks that a host sends nothing to an upstream that has told only another host that
// it leaves.
func TestHostLearnsThatAnUpstreamLeavesFromOthers(t *testing.T) {
	is := is.New(t)
	f := newGatewayFleet(t, 23, 2, 0)
	s, err := instance.New(instance.Options{})
	is.NoErr(err)
	t.Cleanup(s.Close)
	s.Leave()
	value := fmt.Sprintf(`{"service":"svc","address":%q,"zone":"z","slots":8,"state":"ready","seq":1}`, s.Addr())
	is.NoErr(f.platform.Put(t.Context(), "servers/u0", []byte(value)))
	f.waitUntil(func() bool { return f.hosts[0].ask("safe", "h1-a", "k1") == http.StatusOK })
	f.waitUntil(func() bool {
		return strings.Contains(f.hosts[1].log.String(), `"text":"upstream states that it leaves","host":"h2","upstream":"u0","peer":"h1"`)
	})
	is.Equal(s.CallsFrom("h2"), 0)
}

// TestHostsSendRequestsDuringThePauseThatAnUpstreamAskedFor guards against hosts that go on sending to an upstream that turns
// requests away and asks for a pause.
func TestHostsSendRequestsDuringThePauseThatAnUpstreamAskedFor(t *testing.T) {
	is := is.New(t)
	f := newAdviceFleet(t, 24, 3)
	f.instances[0].TurnAway(1500 * time.Millisecond)
	f.awaitCalls(3)
	f.instances[0].TurnAway(0)
	f.awaitCalls(20)
	is.Equal(strings.Join(f.instances[0].Violations(), "\n"), "")
	_, failed := f.served()
	is.Equal(failed, 0)
}
