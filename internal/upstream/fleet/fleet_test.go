package fleet_test

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/samber/lo"
	"go.uber.org/zap"

	"hickorypath/internal/core/clock"
	"hickorypath/internal/host/replication"
	"hickorypath/internal/operator/document"
	"hickorypath/internal/policy/advisory"
	"hickorypath/internal/policy/pool"
	"hickorypath/internal/policy/route"
	"hickorypath/internal/upstream/dispatch"
	"hickorypath/internal/upstream/engine"
	"hickorypath/internal/upstream/fleet"
)

const documentText = `{
  "customers": [{"name": "laredo"}],
  "classes": [{"name": "query", "tier": 0, "first": "1.1s", "whole": "30s", "wait": "5s"}],
  "pools": [
    {"name": "asesor", "kind": "engine", "model": "asesor", "slots": 8, "min": 2, "max": 6},
    {"name": "ledger", "kind": "service", "slots": 8},
  ],
  "routes": [
    {"name": "ask", "model": "asesor", "pool": "asesor", "class": "query"},
    {"name": "dues", "path": "/dues", "methods": ["POST"], "pool": "ledger", "class": "query"},
  ],
}`

const documentWithoutPool = `{
  "customers": [{"name": "laredo"}],
  "classes": [{"name": "query", "tier": 0, "first": "1.1s", "whole": "30s", "wait": "5s"}],
  "pools": [{"name": "ledger", "kind": "service", "slots": 8}],
  "routes": [{"name": "dues", "path": "/dues", "methods": ["POST"], "pool": "ledger", "class": "query"}],
}`

// pollTime is long enough for several polls of each engine, even with the backoff after failures.
const pollTime = 20 * time.Second

// harness holds the fleet under test, with the engines a and b and a plain service, and the fleet of another
// host.
type harness struct {
	*is.I
	ctx        context.Context // of the hosts
	own, other *fleet.Fleet
	spreads    [2]*replication.Replicator
	held       dispatch.Grant // the grant of a request that runs on engine a
	polled     chan struct{}  // receives a value when the other host polls engine a while the test waits for that

	mu      sync.Mutex
	answers map[string]func() (route.Load, error) // responses to the polls of the fleet under test, by engine address
}

func runHarness(t *testing.T, f func(h *harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		h := &harness{I: is.New(t), ctx: ctx, answers: map[string]func() (route.Load, error){}, polled: make(chan struct{})}
		h.own, h.other = h.newHost(ctx, 0, "h0"), h.newHost(ctx, 1, "h1")
		h.setEngines(engineAt("a"), engineAt("b"))
		synctest.Wait()
		h.held = h.acquire("a")
		f(h)
		time.Sleep(pollTime) // lets removed pools stop
		cancel()
		synctest.Wait()
	})
}

// newHost starts the fleet of one host. Its records reach the other host only through deliverAll and
// deliverRecord.
func (h *harness) newHost(ctx context.Context, n int, name string) *fleet.Fleet {
	c := clock.NewWall()
	h.spreads[n] = replication.New(replication.NewTable(replication.Config{}), c.Now, func([]replication.Outgoing) {})
	f := fleet.New(fleet.Options{
		Host: name, Zone: "z", Seed: 1, Clock: c, Log: zap.NewNop(), Replicator: h.spreads[n],
		FetchLoad: func(_ context.Context, addr string) (route.Load, error) {
			if n != 0 {
				if addr == "a:80" {
					h.signalPoll()
				}
				return route.Load{At: time.Now()}, nil
			}
			return h.load(addr)
		},
		FetchCacheEvents: func(context.Context, string, int) (engine.CacheEvents, error) {
			return engine.CacheEvents{}, nil
		},
		LiveHosts: func() []string { return []string{"h0", "h1"} },
	})
	h.apply(f, documentText)
	go f.Run(ctx)
	return f
}

func (h *harness) apply(f *fleet.Fleet, text string) {
	doc, err := document.Parse([]byte(text), "test.jsonc")
	h.NoErr(err)
	f.Apply(doc)
}

func engineAt(id string) dispatch.Target {
	return dispatch.NewTarget(id, "z", id+":80", false, false)
}

// setEngines sets the list of engines on both hosts.
func (h *harness) setEngines(engines ...dispatch.Target) {
	for _, f := range []*fleet.Fleet{h.own, h.other} {
		f.SetTargets(map[string][]dispatch.Target{"asesor": engines, "ledger": {dispatch.NewTarget("l", "z", "l:80", false, false)}})
	}
}

func (h *harness) load(addr string) (route.Load, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if f := h.answers[addr]; f != nil {
		return f()
	}
	return route.Load{At: time.Now()}, nil
}

// setAnswer sets the response of an engine to polls of the fleet under test. nil restores the normal response.
func (h *harness) setAnswer(addr string, f func() (route.Load, error)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.answers[addr] = f
}

func refuse() (route.Load, error) { return route.Load{}, errors.New("connection refused") }

func (h *harness) signalPoll() {
	select {
	case h.polled <- struct{}{}:
	default:
	}
}

// deliverAll delivers all records of a topic from one host to the other.
func (h *harness) deliverAll(from, to int, topic string) {
	h.spreads[from].Range(topic, func(r replication.Record) { h.deliverRecord(to, r) })
	synctest.Wait()
}

func (h *harness) deliverRecord(to int, r replication.Record) {
	h.spreads[to].PutLocal(r.Topic(), r.Key(), r.Version(), r.Value(), r.Expires())
}

func (h *harness) acquire(only string) dispatch.Grant {
	d, ok := h.own.Pool("asesor")
	h.True(ok)
	g, ok := d.TryAcquire(pool.Request{Customer: "laredo", Class: "query", RequiredUpstream: only})
	h.True(ok)
	return g
}

// name makes engine a state a limit in a response to a host, with these values of the header.
func (h *harness) name(f *fleet.Fleet, values ...string) {
	f.RecordAdvisory(engineAt("a"), time.Now(), advisory.Statement{Limit: advisory.ParseLimit(values...)})
}

// leave makes engine a state in a response to a host that it leaves, or that it does not.
func (h *harness) leave(f *fleet.Fleet, values ...string) {
	f.RecordAdvisory(engineAt("a"), time.Now(), advisory.Statement{Leaving: advisory.ParseLeaving(values...)})
}

// acceptingEngines returns the engines that accept a new request on a host.
func acceptingEngines(f *fleet.Fleet) []string {
	d, ok := f.Pool("asesor")
	if !ok {
		return nil
	}
	return lo.FilterMap(d.Targets(), func(t dispatch.Target, _ int) (string, bool) {
		g, ok := d.TryAcquire(pool.Request{Customer: "laredo", Class: "query", RequiredUpstream: t.ID()})
		if ok {
			d.Cancel(g)
		}
		return t.ID(), ok
	})
}

// TestChanges checks which engines accept new requests after a change of the engine list, of an engine or of
// the document, while a request has a grant for engine a, and whether that grant still holds.
func TestChanges(t *testing.T) {
	cases := []struct {
		name  string
		fault func(h *harness)
		takes []string
		runs  int // requests on engine a that this host still counts
	}{
		{"none", func(*harness) {}, []string{"a", "b"}, 1},
		{"an engine joins", func(h *harness) { h.setEngines(engineAt("a"), engineAt("b"), engineAt("c")) }, []string{"a", "b", "c"}, 1},
		{"the platform drains an engine", func(h *harness) { h.setEngines(engineAt("a").WithDraining(), engineAt("b")) }, []string{"b"}, 1},
		{"all engines are reclaimed", func(h *harness) { h.setEngines() }, []string{}, 1},
		{"an engine is removed and added again", func(h *harness) {
			h.setEngines(engineAt("b"))
			h.setEngines(engineAt("a"), engineAt("b"))
		}, []string{"a", "b"}, 1},
		{"this host drains an engine", func(h *harness) { h.own.Drain("a") }, []string{"b"}, 1},
		{"another host drains an engine", func(h *harness) {
			h.other.Drain("a")
			h.deliverAll(1, 0, "leave")
		}, []string{"b"}, 1},
		{"an engine is marked down", func(h *harness) { h.own.MarkDown("asesor", "a") }, []string{"b"}, 1},
		{"an engine answers no polls", func(h *harness) {
			h.setAnswer("a:80", refuse)
			time.Sleep(pollTime)
		}, []string{"b"}, 1},
		{"an engine answers after two failed polls", func(h *harness) {
			failures := 0
			h.setAnswer("a:80", func() (route.Load, error) {
				if failures++; failures <= 2 {
					return refuse()
				}
				return route.Load{At: time.Now()}, nil
			})
			time.Sleep(pollTime)
		}, []string{"a", "b"}, 1},
		{"an engine restarts at the same address", func(h *harness) {
			h.setAnswer("a:80", refuse)
			time.Sleep(pollTime)
			h.setAnswer("a:80", nil)
			time.Sleep(2 * pollTime)
		}, []string{"a", "b"}, 1},
		{"a report from before the crash arrives late", func(h *harness) {
			h.own.MarkDown("asesor", "a")
			old := time.Now().Add(-time.Second)
			h.setAnswer("a:80", func() (route.Load, error) { return route.Load{At: old}, nil })
			time.Sleep(pollTime)
		}, []string{"b"}, 1},
		{"another host polls the engine right after the crash", func(h *harness) {
			const period, before = time.Second, 50 * time.Millisecond
			old := time.Now()
			h.setAnswer("a:80", func() (route.Load, error) { return route.Load{At: old}, nil })
			<-h.polled
			time.Sleep(period - before)
			h.own.MarkDown("asesor", "a")
			defer h.spreads[1].Watch(replication.TopicLoad, func(r replication.Record) { h.deliverRecord(0, r) })()
			time.Sleep(period / 2) // until the other host has polled and published
		}, []string{"a", "b"}, 1},
		{"an engine names a limit", func(h *harness) { h.name(h.own, "0") }, []string{"b"}, 1},
		{"an engine names a limit that cannot be read", func(h *harness) { h.name(h.own, "?") }, []string{"b"}, 1},
		{"an engine withdraws its limit", func(h *harness) {
			h.name(h.own, "0")
			time.Sleep(time.Millisecond)
			h.name(h.own)
		}, []string{"a", "b"}, 1},
		{"an engine with a limit restarts at another address", func(h *harness) {
			h.name(h.own, "0")
			h.setEngines(dispatch.NewTarget("a", "z", "a:81", false, false), engineAt("b"))
		}, []string{"a", "b"}, 1},
		{"an engine names a limit to another host", func(h *harness) {
			h.name(h.other, "0")
			h.deliverAll(1, 0, "advisory")
		}, []string{"b"}, 1},
		{"an engine withdraws its limit at another host", func(h *harness) {
			h.name(h.other, "0")
			h.deliverAll(1, 0, "advisory")
			time.Sleep(time.Second)
			h.name(h.other)
			h.deliverAll(1, 0, "advisory")
		}, []string{"a", "b"}, 1},
		{"another host has the limit of an earlier address", func(h *harness) {
			h.name(h.other, "0")
			h.setEngines(dispatch.NewTarget("a", "z", "a:81", false, false), engineAt("b"))
			h.deliverAll(1, 0, "advisory")
		}, []string{"a", "b"}, 1},
		{"an engine says that it leaves", func(h *harness) { h.leave(h.own, "1") }, []string{"b"}, 1},
		{"an engine says no longer that it leaves", func(h *harness) {
			h.leave(h.own, "1")
			time.Sleep(time.Millisecond)
			h.leave(h.own)
		}, []string{"a", "b"}, 1},
		{"an engine that said that it leaves stays", func(h *harness) {
			h.leave(h.own, "soon")
			time.Sleep(time.Minute)
		}, []string{"a", "b"}, 1},
		{"an engine that leaves restarts at another address", func(h *harness) {
			h.leave(h.own, "1")
			h.setEngines(dispatch.NewTarget("a", "z", "a:81", false, false), engineAt("b"))
		}, []string{"a", "b"}, 1},
		{"an engine says to another host that it leaves", func(h *harness) {
			h.leave(h.other, "1")
			h.deliverAll(1, 0, "departure")
		}, []string{"b"}, 1},
		{"another host knows of a departure from an earlier address", func(h *harness) {
			h.leave(h.other, "1")
			h.setEngines(dispatch.NewTarget("a", "z", "a:81", false, false), engineAt("b"))
			h.deliverAll(1, 0, "departure")
		}, []string{"a", "b"}, 1},
		{"an engine asks for a pause", func(h *harness) {
			h.own.RecordAdvisory(engineAt("a"), time.Now(), advisory.Statement{Pause: advisory.ParsePause("3")})
		}, []string{"b"}, 1},
		{"the pause of an engine is over", func(h *harness) {
			h.own.RecordAdvisory(engineAt("a"), time.Now(), advisory.Statement{Pause: advisory.ParsePause("3")})
			time.Sleep(3 * time.Second)
		}, []string{"a", "b"}, 1},
		{"an engine asks another host for a pause", func(h *harness) {
			h.other.RecordAdvisory(engineAt("a"), time.Now(), advisory.Statement{Pause: advisory.ParsePause("3")})
			h.deliverAll(1, 0, "departure")
		}, []string{"a", "b"}, 1},
		{"a brittle engine has rejected a request", func(h *harness) { h.own.RecordAdvisory(engineAt("a"), time.Now(), brittleRejection) }, []string{"b"}, 1},
		{"an engine that has rejected a request is no longer brittle", func(h *harness) {
			h.own.RecordAdvisory(engineAt("a"), time.Now(), brittleRejection)
			time.Sleep(time.Millisecond)
			h.own.RecordAdvisory(engineAt("a"), time.Now(), advisory.Statement{})
		}, []string{"a", "b"}, 1},
		{"a brittle engine has rejected a request of another host", func(h *harness) {
			h.other.RecordAdvisory(engineAt("a"), time.Now(), brittleRejection)
			h.deliverAll(1, 0, "brittle")
			h.deliverAll(1, 0, "rejection")
		}, []string{"b"}, 1},
		{"an engine that is not brittle has rejected a request", func(h *harness) {
			h.own.RecordAdvisory(engineAt("a"), time.Now(), advisory.Statement{Rejected: true})
		}, []string{"a", "b"}, 1},
		{"the document removes the pool", func(h *harness) { h.apply(h.own, documentWithoutPool) }, nil, 0},
		{"the document removes the pool and adds it again", func(h *harness) {
			h.apply(h.own, documentWithoutPool)
			h.apply(h.own, documentText)
		}, []string{"a", "b"}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runHarness(t, func(h *harness) {
				before, _ := h.own.Pool("asesor")
				c.fault(h)
				synctest.Wait()
				h.Equal(acceptingEngines(h.own), c.takes)
				n, _ := h.own.Running("asesor", "a")
				h.Equal(n, c.runs)
				if after, ok := h.own.Pool("asesor"); ok && after == before {
					hasMoved := slices.ContainsFunc(after.Targets(), func(t dispatch.Target) bool { return t.ID() == "a" && t.Addr() != "a:80" })
					h.Equal(after.MayStillSend(h.held), slices.Contains(c.takes, "a") && !hasMoved)
				}
				h.True(!before.IsIdle()) // the running request is still counted
				before.Release(h.held, pool.Result{OutputTokens: 1})
				h.True(before.IsIdle())
				h.Equal(acceptingEngines(h.own), c.takes)
			})
		})
	}
}

// brittleRejection is what a brittle engine states that rejects a request for want of room.
var brittleRejection = advisory.Statement{Brittle: advisory.ParseBrittle("3"), Rejected: true}

// TestUpstreamThatLeftCountsAsDown guards against keeping the failures of each upstream that ever left, and against one that joins again and
// is not used.
func TestUpstreamThatLeftCountsAsDown(t *testing.T) {
	runHarness(t, func(h *harness) {
		h.own.MarkDown("asesor", "a")
		h.Equal(acceptingEngines(h.own), []string{"b"})
		h.setEngines(engineAt("b"))
		h.True(!h.own.IsDown("asesor", "a"))
		h.setEngines(engineAt("a"), engineAt("b"))
		h.Equal(acceptingEngines(h.own), []string{"a", "b"})
	})
}

// TestAddressChanges restarts an engine that was down under the same name at another address.
func TestAddressChanges(t *testing.T) {
	runHarness(t, func(h *harness) {
		h.setAnswer("a:80", refuse)
		time.Sleep(pollTime)
		h.True(h.own.IsDown("asesor", "a"))
		h.setEngines(dispatch.NewTarget("a", "z", "a:81", false, false), engineAt("b"))
		time.Sleep(pollTime)
		h.True(!h.own.IsDown("asesor", "a"))
		h.Equal(h.acquire("a").Target().Addr(), "a:81")
	})
}

// TestSummaries checks that a host counts the requests in another host's last summary, and that an older
// summary that arrives late changes nothing.
func TestSummaries(t *testing.T) {
	runHarness(t, func(h *harness) {
		const own, elsewhere = 1, 1
		d, _ := h.other.Pool("asesor")
		g, ok := d.TryAcquire(pool.Request{Customer: "laredo", Class: "query", RequiredUpstream: "a"})
		h.True(ok)
		time.Sleep(time.Second) // until the other host has published
		h.deliverAll(1, 0, replication.TopicLoad)
		n, _ := h.own.Running("asesor", "a")
		h.Equal(n, own+elsewhere)
		old := slices.Collect(records(h.spreads[1], replication.TopicLoad))
		d.Release(g, pool.Result{OutputTokens: 1})
		time.Sleep(time.Second)
		h.deliverAll(1, 0, replication.TopicLoad)
		n, _ = h.own.Running("asesor", "a")
		h.Equal(n, own)
		for _, r := range old { // an old summary arrives late
			h.deliverRecord(0, r)
		}
		synctest.Wait()
		n, _ = h.own.Running("asesor", "a")
		h.Equal(n, own)
	})
}

// TestSilentHost checks that the last summary of a host expires after the host has fallen silent.
func TestSilentHost(t *testing.T) {
	runHarness(t, func(h *harness) {
		d, _ := h.other.Pool("asesor")
		_, ok := d.TryAcquire(pool.Request{Customer: "laredo", Class: "query", RequiredUpstream: "a"})
		h.True(ok)
		time.Sleep(time.Second)
		h.deliverAll(1, 0, replication.TopicLoad)
		time.Sleep(time.Minute)
		n, _ := h.own.Running("asesor", "a")
		h.Equal(n, 1)
	})
}

// TestServiceStaysInService checks that MarkDown does not take a plain service down. Services are not polled,
// so no poll would bring the service back.
func TestServiceStaysInService(t *testing.T) {
	runHarness(t, func(h *harness) {
		h.own.MarkDown("ledger", "l")
		h.True(!h.own.IsDown("ledger", "l"))
		d, _ := h.own.Pool("ledger")
		_, ok := d.TryAcquire(pool.Request{Customer: "laredo", Class: "query"})
		h.True(ok)
	})
}

func records(s *replication.Replicator, topic string) func(yield func(replication.Record) bool) {
	return func(yield func(replication.Record) bool) {
		s.Range(topic, func(r replication.Record) { yield(r) })
	}
}
