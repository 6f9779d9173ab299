package leader_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"hickorypath/internal/core/clock"
	"hickorypath/internal/core/kind"
	"hickorypath/internal/gateway/config"
	"hickorypath/internal/gateway/leader"
	"hickorypath/internal/gateway/upstream"
	"hickorypath/internal/gateway/usage"
	"hickorypath/internal/policy/sizing"
	"hickorypath/internal/state/lease"
	"hickorypath/internal/state/store"
)

const window = 5 * time.Second

// fakeUsageAPI receives usage reports. It fails the test when a window is reported again with different counts, or when a
// report carries an older fencing token than the report before.
type fakeUsageAPI struct {
	t      *testing.T
	server *httptest.Server

	mu       sync.Mutex
	reports  map[int64]string
	count    int
	fence    uint64
	failNext int // number of coming calls that are answered with status 503
}

func newFakeUsageAPI(t *testing.T) *fakeUsageAPI {
	s := &fakeUsageAPI{t: t, reports: map[int64]string{}}
	s.server = httptest.NewServer(http.HandlerFunc(s.handle))
	t.Cleanup(s.server.Close)
	return s
}

func (s *fakeUsageAPI) handle(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failNext > 0 {
		s.failNext--
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, _ := io.ReadAll(r.Body)
	at, _ := strconv.ParseInt(r.URL.Query().Get("window"), 10, 64)
	fence, _ := strconv.ParseUint(r.URL.Query().Get("fence"), 10, 64)
	if old, ok := s.reports[at]; ok && old != string(body) {
		s.t.Errorf("window %d was reported as %s and then as %s", at, old, body)
	}
	if fence < s.fence {
		s.t.Errorf("fencing token %d after %d", fence, s.fence)
	}
	s.reports[at], s.fence = string(body), fence
	s.count++
}

// control returns a ControlAPI whose requests are in a format that only the test uses.
func (s *fakeUsageAPI) control() leader.ControlAPI {
	return leader.ControlAPI{
		NewUsageRequest: func(ctx context.Context, h leader.LeaseHolder, r leader.UsageReport) (*http.Request, error) {
			data, err := json.Marshal(r.Counts)
			if err != nil {
				return nil, err
			}
			url := s.server.URL + "?window=" + strconv.FormatInt(r.Window, 10) + "&fence=" + strconv.FormatUint(h.FencingToken, 10)
			return http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(string(data)))
		},
		CheckStatus: func(status int) error {
			if status != http.StatusOK {
				return kind.New(kind.Refused, "status %d", status)
			}
			return nil
		},
	}
}

// host is one host whose clock the test advances.
type host struct {
	lease    *lease.Lease
	reporter *leader.UsageReporter
	counter  *usage.Counter
}

// testFleet holds the clock, the store and the usage API that the hosts of a test share.
type testFleet struct {
	mu            sync.Mutex
	now           time.Time
	memory        *store.Memory
	clock         clock.Clock
	api           *fakeUsageAPI
	countsMissing bool                     // the counts of some host have not arrived
	fixed         map[int64]map[string]int // what the hosts tell each other
	window        time.Duration
	isUnknown     bool // nobody counted requests in the windows
}

func newTestFleet(t *testing.T) *testFleet {
	f := &testFleet{now: time.Unix(1_800_000_000, 0), api: newFakeUsageAPI(t), fixed: map[int64]map[string]int{}, window: window}
	f.clock = clock.New(f.time, func() time.Duration { return f.time().Sub(time.Unix(1_700_000_000, 0)) })
	f.memory = store.NewMemory(f.clock)
	return f
}

func (f *testFleet) time() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

func (f *testFleet) advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(d)
}

// host starts a host that tries to acquire the lease.
func (f *testFleet) host(t *testing.T, name string, counts func(int64) map[string]int) *host {
	t.Helper()
	client := store.New(f.memory.Backend(), store.Options{Clock: f.clock, AttemptTimeout: 200 * time.Millisecond, TotalTimeout: time.Second})
	h := &host{counter: usage.New(f.window, f.time)}
	h.lease = lease.New(client, f.clock, lease.Options{Name: "duty", Holder: name, TTL: time.Hour, SettleDelay: time.Nanosecond})
	h.reporter = leader.NewUsageReporter(leader.UsageReporterOptions{
		Host: name, Lease: h.lease, Store: client, Control: f.api.control(), Window: h.counter.Window, WindowEnd: h.counter.WindowEnd,
		Counts: counts, HasAllCounts: func(time.Time) bool { return !f.countsMissing }, ReportDelay: 10 * time.Second, Now: f.time, Log: zap.NewNop(),
		FixedCounts: func(w int64) (map[string]int, bool) { c, ok := f.fixed[w]; return c, ok },
		FixCounts:   func(w int64, c map[string]int) { f.fixed[w] = c },
		IsKnown:     func(int64) bool { return !f.isUnknown },
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		h.lease.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return h
}

// waitForLease waits until the host has acquired the lease, and advances the clock past the lease's settling time.
func (f *testFleet) waitForLease(t *testing.T, h *host) {
	t.Helper()
	for h.lease.State() == "idle" {
		runtime.Gosched()
	}
	f.advance(time.Millisecond)
	_, err := h.lease.Token(time.Second)
	is.New(t).NoErr(err)
}

func TestWindowIsReportedOnce(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t)
	h := f.host(t, "a", func(at int64) map[string]int { return map[string]int{"club": int(at % 7)} })
	f.waitForLease(t, h)
	h.reporter.Step(t.Context())
	before := f.api.count
	f.api.failNext = 1
	f.advance(window)
	h.reporter.Step(t.Context()) // rejected with status 503
	is.Equal(f.api.count, before)
	h.reporter.Step(t.Context())
	h.reporter.Step(t.Context())
	is.Equal(f.api.count, before+1)
}

// TestShortWindowIsReportedAgain guards against windows that are reported a second time, without counts, when more of them are due at a time
// than are kept.
func TestShortWindowIsReportedAgain(t *testing.T) {
	const kept = 6 // windows that the hosts keep counts of
	is := is.New(t)
	f := newTestFleet(t)
	f.window = time.Second
	var h *host
	counts := func(at int64) map[string]int {
		if at < h.counter.Window(f.time())-kept {
			return nil
		}
		return map[string]int{"club": 3}
	}
	h = f.host(t, "a", counts)
	f.waitForLease(t, h)
	for range 60 {
		h.reporter.Step(t.Context())
		f.advance(f.window / 4)
		f.mu.Lock()
		for w := range f.fixed {
			if w < f.now.Unix()-kept {
				delete(f.fixed, w)
			}
		}
		f.mu.Unlock()
	}
	is.True(len(f.api.reports) >= 12)
	is.Equal(f.api.count, len(f.api.reports))
}

// TestSuccessorReportsTheSameCounts lets calls to the store or to the usage API fail while the leader reports, and then
// lets another host, which has counted differently, become the leader and finish the report.
func TestSuccessorReportsTheSameCounts(t *testing.T) {
	cases := []struct {
		name   string
		faults store.Faults
		refuse int
	}{
		{"nothing fails", store.Faults{}, 0},
		{"responses of the store are lost", store.Faults{LoseReplies: 2}, 0},
		{"calls to the store are lost", store.Faults{DropCalls: 2}, 0},
		{"reports are rejected", store.Faults{}, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newTestFleet(t)
			a := f.host(t, "a", func(int64) map[string]int { return map[string]int{"club": 5} })
			f.waitForLease(t, a)
			f.advance(window + time.Second)
			f.memory.SetFaults(c.faults)
			f.api.failNext = c.refuse
			a.reporter.Step(t.Context())
			f.memory.SetFaults(store.Faults{})
			f.memory.ExpireLeases() // the leader's lease ends
			b := f.host(t, "b", func(int64) map[string]int { return map[string]int{"club": 4} })
			f.waitForLease(t, b)
			b.reporter.Step(t.Context())
			b.reporter.Step(t.Context())
			is.True(len(f.api.reports) > 0)
		})
	}
}

// TestWaitsForCountsOfPartitionedHosts covers counts that were written to the store before the counts of hosts behind a
// network partition had arrived.
func TestWaitsForCountsOfPartitionedHosts(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t)
	h := f.host(t, "a", func(int64) map[string]int { return map[string]int{"club": 1} })
	f.waitForLease(t, h)
	h.reporter.Step(t.Context())
	before := f.api.count
	f.countsMissing = true
	f.advance(window)
	h.reporter.Step(t.Context())
	is.Equal(f.api.count, before)
	f.advance(window / 2) // the report is due in 2.5 s
	h.reporter.Step(t.Context())
	is.Equal(f.api.count, before+1)
}

// TestNewLeaderWaitsForCounts covers a host that became the leader when a report was due soon, and wrote counts to the
// store before all other hosts had sent it theirs.
func TestNewLeaderWaitsForCounts(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t)
	f.countsMissing = true
	f.advance(window + 2*time.Second) // the window before the last one ended 7 s ago, so its report is due in 3 s
	h := f.host(t, "a", func(int64) map[string]int { return map[string]int{"club": 1} })
	f.waitForLease(t, h)
	h.reporter.Step(t.Context())
	is.Equal(f.api.count, 0)
	f.advance(time.Second)
	h.reporter.Step(t.Context())
	is.Equal(f.api.count, 0)
	f.advance(time.Second)
	h.reporter.Step(t.Context()) // gatherTime has passed, so the leader no longer waits
	is.Equal(f.api.count, 1)
}

// TestWindowThatNobodyKnows guards against a report of counters that began after the window, and against a window that is left out although a
// host that knows it is heard of in time.
func TestWindowThatNobodyKnows(t *testing.T) {
	cases := []struct {
		name    string
		known   time.Duration // after the window's end, when a host that knows it is heard of
		reports int
	}{
		{"at once", 0, 1},
		{"later", 5 * time.Second, 1},
		{"never", time.Hour, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newTestFleet(t)
			f.window = time.Minute // no other window ends meanwhile
			h := f.host(t, "a", func(int64) map[string]int { return map[string]int{"club": 1} })
			f.waitForLease(t, h)
			f.isUnknown = true
			h.reporter.Step(t.Context())
			f.advance(h.counter.WindowEnd(h.counter.Window(f.time())).Sub(f.time()) + time.Second)
			before := f.api.count
			for at := time.Second; at < 12*time.Second; at += 250 * time.Millisecond {
				f.isUnknown = at < c.known
				h.reporter.Step(t.Context())
				f.advance(250 * time.Millisecond)
			}
			is.Equal(f.api.count-before, c.reports)
		})
	}
}

// TestScalerFollowsLimits checks that a change of a busy service's scaling limits takes effect.
func TestScalerFollowsLimits(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t)
	h := f.host(t, "a", func(int64) map[string]int { return nil })
	f.waitForLease(t, h)
	maxCount := 0
	live := config.NewLive()
	limit := func(version int64, n int) {
		scaling := &config.Scaling{MinPerZone: 1, MaxPerZone: n, BootTime: 4 * time.Second, SpotPrice: 0.2}
		service := &config.Service{Name: "s", Engine: &config.Engine{Slots: 64}, Scaling: scaling}
		live.StoreIfNewer(config.New(version, nil, nil, []*config.Service{service}, config.Limits{}))
	}
	control := f.api.control()
	control.NewScaleRequest = func(ctx context.Context, _ leader.LeaseHolder, r leader.ScaleRequest) (*http.Request, error) {
		maxCount = max(maxCount, r.DesiredCount)
		return http.NewRequestWithContext(ctx, http.MethodPost, f.api.server.URL+"?window=-1", strings.NewReader(""))
	}
	scaler := leader.NewScaler(leader.ScalerOptions{
		Host: "a", Lease: h.lease, Control: control, Live: live, Table: upstream.NewTable("z1", upstream.NewDialer(), zap.NewNop()), Zones: []string{"z"},
		Demand: func(string) sizing.Demand { return sizing.Demand{PromptRate: 500000, ActiveRequests: 400} }, DemandCoverage: func() float64 { return 1 },
		ReadRate: func(string) float64 { return 45000 }, Now: f.time, Log: zap.NewNop(),
	})
	limit(1, 2)
	scaler.Step(t.Context())
	is.Equal(maxCount, 2)
	limit(2, 6)
	scaler.Step(t.Context())
	is.Equal(maxCount, 6)
}
