package exchange_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/tidwall/gjson"
	"go.uber.org/zap"

	"hickorypath/internal/caller/exchange"
	"hickorypath/internal/core/clock"
	"hickorypath/internal/operator/document"
	"hickorypath/internal/operator/key"
	"hickorypath/internal/policy/poison"
	"hickorypath/internal/policy/pool"
	"hickorypath/internal/policy/retry"
	"hickorypath/internal/policy/route"
	"hickorypath/internal/policy/suspect"
	standinengine "hickorypath/internal/standin/engine"
	"hickorypath/internal/standin/memnet"
	standinservice "hickorypath/internal/standin/service"
	standinstore "hickorypath/internal/standin/store"
	"hickorypath/internal/state/claim"
	"hickorypath/internal/state/store"
	"hickorypath/internal/upstream/dispatch"
	"hickorypath/internal/upstream/engine"
	"hickorypath/internal/upstream/service"
)

const documentText = `{
  "customers": [{"name": "laredo"}],
  "classes": [
    {"name": "query", "tier": 0, "first": "1.1s", "whole": "30s", "wait": "5s"},
    {"name": "brisk", "tier": 0, "first": "100ms", "whole": "300ms", "wait": "50ms"},
  ],
  "pools": [
    {"name": "again", "kind": "engine", "model": "again", "slots": 8, "min": 2, "max": 6},
    {"name": "brief", "kind": "engine", "model": "brief", "slots": 8, "min": 2, "max": 6},
    {"name": "once", "kind": "engine", "model": "once", "slots": 8, "min": 2, "max": 6},
    {"name": "ledger", "kind": "service", "slots": 8},
  ],
  "routes": [
    {"name": "again", "model": "again", "pool": "again", "class": "query"},
    {"name": "brief", "model": "brief", "pool": "brief", "class": "brisk", "timeout": "300ms"},
    {"name": "once", "model": "once", "pool": "once", "class": "query", "repeat": false, "expiry": "48h"},
    {"name": "dues", "path": "/dues", "methods": ["POST"], "pool": "ledger", "class": "query", "repeat": false, "expiry": "48h"},
  ],
}`

const (
	outputLength = 12 // tokens of a complete response
	tokenGap     = 20 * time.Millisecond
	briefTimeout = 300 * time.Millisecond // timeout of the route brief
	settleTime   = time.Minute
)

// harness is the request path of one host, with simulated upstreams on an in-memory network and in virtual time.
type harness struct {
	*is.I
	ctx       context.Context
	net       *memnet.Net
	engines   map[string]*standinengine.Engine
	ledger    *standinservice.Service
	pools     map[string]*dispatch.Dispatcher
	keys      *key.Table
	key       string
	keyRecord key.Record
	starting  bool // the host has not received all keys yet
	claims    *claim.Registry
	storeGate *standinstore.FaultInjector
	client    *engine.Client
	runner    *exchange.Runner
	mu        sync.Mutex // guards bills and summaries
	bills     []exchange.Bill
	summaries []exchange.RequestSummary
	givenUp   []time.Duration // attempts that were reported as given up, until their connections are closed
	admitted  []int           // tokens that requests have used of what their customers may

	crashes atomic.Int64
	// suspects counts the suspicions that were reported to other hosts.
	suspects     atomic.Int64
	probeLatency time.Duration // of a probe of an upstream
	probesFail   bool          // all probes of upstreams fail

	knownVersions map[string]string // software versions that this host knows, by upstream

	suspectTracker *exchange.SuspectTracker
	dialDelay      time.Duration // until a connection is opened
	unwanted       sync.Map      // names of the upstreams that want no requests
	isCutOff       atomic.Bool   // the host is cut off from all upstreams
	lacksRoom      atomic.Bool   // the upstreams are brittle and have rejected requests
}

// withHarness runs f with a harness that has two engines and a plain service.
func withHarness(t *testing.T, f func(w *harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := &harness{I: is.New(t), ctx: ctx, net: memnet.New(), keys: key.NewTable(), storeGate: standinstore.NewFaultInjector(nil)}
		w.client = engine.New(engine.Options{Clock: clock.NewWall(), Dial: w.dial})
		services := service.New(service.Options{Dial: w.dial})
		stop := w.startUpstreams()
		defer time.Sleep(settleTime) // for the work that continues in the background
		defer stop()
		defer services.Close()
		defer w.client.Close()
		defer cancel()
		w.issueKey()
		w.newRunner(services)
		f(w)
	})
}

// dial opens a connection.
func (w *harness) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	clock.Pause(ctx, w.dialDelay)
	return w.net.Dial(ctx, network, addr)
}

// startUpstreams starts the simulated upstreams and adds them to their pools.
func (w *harness) startUpstreams() (stop func()) {
	w.engines = map[string]*standinengine.Engine{}
	const engines = 2
	stops := make([]func(), 0, engines+1)
	targets := make([]dispatch.Target, 0, engines)
	for n := range engines {
		id := fmt.Sprintf("asesor-%d", n)
		w.engines[id] = standinengine.New(standinengine.Options{TokenInterval: tokenGap, Slots: 8})
		stops = append(stops, w.net.Serve(id+":80", w.engines[id].Handler()))
		targets = append(targets, dispatch.NewTarget(id, "a", id+":80", false, false).WithSlots(8))
	}
	w.ledger = standinservice.New()
	stops = append(stops, w.net.Serve("ledger:80", w.ledger.Handler()))
	w.pools = map[string]*dispatch.Dispatcher{}
	w.addPool("asesor", targets...)
	w.addPool("ledger", dispatch.NewTarget("ledger", "a", "ledger:80", false, false).WithSlots(8))
	return func() {
		for _, stop := range stops {
			stop()
		}
	}
}

func (w *harness) addPool(name string, targets ...dispatch.Target) {
	classes := []pool.Class{
		{Name: "query", FirstTokenTarget: 1100 * time.Millisecond, MaxWait: 5 * time.Second},
		{Name: "brisk", FirstTokenTarget: 100 * time.Millisecond, MaxWait: 50 * time.Millisecond},
	}
	limiter := route.Limiter{MaySend: func(_ time.Time, upstream string) bool {
		_, unwanted := w.unwanted.Load(upstream)
		return !unwanted
	}}
	core := pool.New(pool.Config{Host: "h1", Zone: "a", Classes: classes, Seed: 1, Limiter: limiter})
	w.pools[name] = dispatch.New(name, core, clock.NewWall())
	w.pools[name].SetTargets(targets)
	go w.pools[name].Run(w.ctx)
}

func (w *harness) issueKey() {
	w.key, w.keyRecord = key.Generate()
	w.keyRecord = w.keyRecord.IssueTo("laredo", time.Now())
	w.True(w.keys.Put(w.keyRecord))
}

func (w *harness) newRunner(services *service.Client) {
	doc, err := document.Parse([]byte(documentText), "test.jsonc")
	w.NoErr(err)
	live := document.NewActive()
	live.Apply(doc, 1)
	c := clock.NewWall()
	w.suspectTracker = exchange.NewSuspectTracker(suspect.Config{Host: "h1"}, func(suspect.Turn) {})
	backend := store.New(w.storeGate.Backend(store.NewMemory(c).Backend()), store.Options{Clock: c, Rand: rand.New(rand.NewPCG(1, 2))})
	w.claims = claim.New(backend, c, claim.Options{})
	w.runner = exchange.New(exchange.Deps{
		Clock: c, Log: zap.NewNop(), Document: live, Keys: w.keys, Engines: w.client, Services: services,
		Suspects: w.suspectTracker, RetryBudgets: exchange.NewRetryBudgets(retry.Config{}),
		Parts:   exchange.NewPartTracker(exchange.PartOptions{Log: zap.NewNop(), Owns: func(uint64) bool { return true }, Publish: func([]poison.Evidence) {}}),
		IsReady: func() bool { return !w.starting },
		Pool: func(name string) (*dispatch.Dispatcher, bool) {
			if name != "ledger" {
				name = "asesor" // the engines serve every model
			}
			return w.pools[name], true
		},
		Admit: func(string, string, int) (func(int), error) {
			return func(tokens int) { w.admitted = append(w.admitted, tokens) }, nil
		},
		Claim: newClaimFunc(w.claims),
		IsAlive: func(ctx context.Context, _, addr string) bool {
			time.Sleep(w.probeLatency)
			_, err := w.client.Load(ctx, addr)
			return err == nil && !w.probesFail
		},
		IsDown:        func(string, string) bool { return false },
		IsBrittle:     func(string) bool { return w.lacksRoom.Load() },
		IsCutOff:      func(string) bool { return w.isCutOff.Load() },
		ReachesOthers: func(string, string) bool { return !w.isCutOff.Load() },
		HasFallenOver: func(string, string) bool { return w.lacksRoom.Load() },
		RecordGivenUp: func(_, _ string, delay time.Duration) {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.givenUp = append(w.givenUp, delay)
		},
		Version: func(t dispatch.Target) (string, bool) {
			v, ok := w.knownVersions[t.ID()]
			return v, ok
		},
		ReportCrash: func(_, _ string, s []suspect.Suspicion, _ []suspect.Quarantine) {
			w.crashes.Add(1)
			w.suspects.Add(int64(len(s)))
		},
		Bill: func(b exchange.Bill) {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.bills = append(w.bills, b)
		},
		Observe: func(e exchange.RequestSummary) {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.summaries = append(w.summaries, e)
		},
	})
}

// newClaimFunc returns a function for Deps.Claim that takes claims from the registry.
func newClaimFunc(b *claim.Registry) func(context.Context, string, string, string, string, time.Duration) (*exchange.Claim, *exchange.Outcome, error) {
	return func(ctx context.Context, customer, route, idempotency, _ string, expiry time.Duration) (*exchange.Claim, *exchange.Outcome, error) {
		c, stored, err := b.Begin(ctx, customer, route, idempotency, expiry)
		if err != nil {
			return nil, nil, err
		}
		if stored != nil {
			return nil, &exchange.Outcome{Status: stored.Status, Header: stored.Header, Body: stored.Body}, nil
		}
		return &exchange.Claim{Valid: c.Valid, Release: c.Release, Finish: func(ctx context.Context, o exchange.Outcome) error {
			return c.Finish(ctx, claim.Outcome{Status: o.Status, Header: o.Header, Body: o.Body})
		}}, nil, nil
	}
}

// call is one chat completion from the caller's view.
type call struct {
	model string
	plain bool   // not streamed
	key   string // idempotency key
	write func() // called with each token

	relayed  bool // another host has sent the request
	noWait   bool
	timeLeft time.Duration
	progress exchange.Progress
}

// answer is the response that the caller received.
type answer struct {
	text   string
	tokens int
	err    error

	progress exchange.Progress // for another host that takes the stream up
	noRoom   bool              // another host may have room
}

// messages is the prompt of the chat completions.
const messages = `[{"role":"user","content":"Why do dues differ in May, and who decides?"}]`

// chat runs a chat completion and returns the response.
func (w *harness) chat(ctx context.Context, c call) answer {
	var a answer
	body, err := parse(fmt.Appendf(nil, `{"model":%q,"stream":%t,"max_tokens":%d,"messages":%s}`, c.model, !c.plain, outputLength, messages))
	w.NoErr(err)
	who, err := w.runner.Authenticate(w.key)
	w.NoErr(err)
	s, err := w.runner.Open(ctx, who, exchange.Request{
		ID: exchange.NewID(), Bearer: w.key, Model: c.model, IdempotencyKey: c.key, Relayed: c.relayed, NoWait: c.noWait, TimeLeft: c.timeLeft, Progress: c.progress,
	})
	if err != nil && c.relayed {
		return answer{err: err}
	}
	w.NoErr(err)
	a.err = s.Chat(body, exchange.Output{WriteEvent: func(data []byte) error {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if word := gjson.GetBytes(data, "choices.0.delta.content").String(); word != "" {
			a.text += word
			a.tokens++
			if c.write != nil {
				c.write()
			}
		}
		return nil
	}})
	a.progress, _ = s.Progress()
	a.noRoom = s.IsOutOfRoom(a.err)
	s.Close(a.err)
	return a
}

// engineRequests returns the number of chat requests that the engines have read.
func (w *harness) engineRequests() int {
	n := 0
	for _, e := range w.engines {
		n += len(e.Calls())
	}
	return n
}

// running returns the engines that run a request.
func (w *harness) running() []*standinengine.Engine {
	var list []*standinengine.Engine
	for _, e := range w.engines {
		if e.Load().Running > 0 {
			list = append(list, e)
		}
	}
	return list
}

// billedTokens returns the number of billed output tokens and checks that there is one bill at most.
func (w *harness) billedTokens() int {
	w.True(len(w.bills) <= 1)
	if len(w.bills) == 0 {
		return 0
	}
	return w.bills[0].OutputTokens
}
