package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickorypath/internal/standin/instance"
	"hickorypath/internal/standin/proxy"
	"hickorypath/internal/state/store"
)

// upstreamSoakRegressions lists seeds of TestSoakOfUpstreams that failed in the past, with the cause.
var upstreamSoakRegressions = []struct {
	seed  uint64
	cause string
}{
	{4, "a leader reported windows a second time that nobody kept any more"},
}

// TestSoakOfUpstreams runs real gateway processes whose upstreams ask for pauses, are brittle, silent and out of reach of some hosts, while
// hosts are killed, stopped and restarted and the store is restored.
//
// To run more seeds: go test ./cmd/hickorypath -run SoakOfUpstreams -soak.seeds 50
func TestSoakOfUpstreams(t *testing.T) {
	for _, r := range upstreamSoakRegressions {
		t.Run(fmt.Sprintf("seed %d, %s", r.seed, r.cause), func(t *testing.T) { runUpstreamSoak(t, r.seed) })
	}
	for i := range *soakSeeds {
		seed := *soakFirst + uint64(i)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { runUpstreamSoak(t, seed) })
	}
}

const (
	soakHosts     = 4
	soakInstances = 3
	soakSlots     = 4
	soakCallers   = 24                    // who send more than the upstreams can take
	soakWork      = 80 * time.Millisecond // of a request that is no stream
	// soakContact is how long a host was undisturbed when it has to keep what was stated.
	soakContact = 3 * time.Second
	// soakFalls is the number of upstreams that may fall over in one time in which they are brittle.
	soakFalls = 2
)

// upstreamSoak is one run of TestSoakOfUpstreams.
type upstreamSoak struct {
	*cutoffFleet
	rng    *rand.Rand
	room   *instance.Room
	paused map[*gatewayHost]bool

	mu        sync.Mutex
	started   []*instance.Server // all, those that have fallen over included
	answers   map[string]streamAnswer
	disturbed map[string][]time.Time // by IP address of the host, when a fault began or ended there
	brittle   []brittleSpan
}

// streamAnswer is what a caller got, with the status 0 for none that is whole.
type streamAnswer struct {
	route  string
	status int
	events []int // identifiers of the events of a stream
	err    error // with which reading the response failed
}

// brittleSpan is a time in which the upstreams are brittle.
type brittleSpan struct {
	from, to time.Time
	falls    int // at the beginning, and then those within the span
}

func runUpstreamSoak(t *testing.T, seed uint64) {
	is := is.New(t)
	s := &upstreamSoak{rng: rand.New(rand.NewPCG(seed, 11)), paused: map[*gatewayHost]bool{}, answers: map[string]streamAnswer{}, disturbed: map[string][]time.Time{}}
	s.room = instance.NewRoom(soakSlots, soakSlots, soakWork, s.replace)
	instances := make([]*instance.Server, soakInstances)
	for n := range instances {
		var err error
		instances[n], err = instance.New(s.options())
		is.NoErr(err)
		t.Cleanup(instances[n].Close)
	}
	s.started = slices.Clone(instances)
	s.cutoffFleet = newCutoffFleetOf(t, 49, soakHosts, soakSlots, instances)
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for n := range soakCallers {
		callers.Go(func() { s.sendRequests(n, seed, stop) })
	}
	endCallers := sync.OnceFunc(func() {
		close(stop)
		callers.Wait()
	})
	defer endCallers()
	for range 2 * *soakSteps {
		s.injectFault()
		<-time.After(time.Duration(200+s.rng.IntN(900)) * time.Millisecond)
	}
	s.recoverAll()
	endCallers()
	s.check()
}

func (s *upstreamSoak) options() instance.Options {
	return instance.Options{Version: "v1", Events: streamEvents, Interval: 40 * time.Millisecond, Room: s.room, BySender: true}
}

// replace starts an instance that has fallen over again, at the same address, some seconds later.
func (s *upstreamSoak) replace(fallen *instance.Server) {
	time.AfterFunc(2*time.Second, func() {
		next, err := instance.NewAt(fallen.Addr(), s.options())
		if err != nil {
			s.t.Error(err)
			return
		}
		s.t.Cleanup(next.Close)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.started = append(s.started, next)
		u := slices.Index(s.instances, fallen)
		s.instances[u] = next
		for s.putEntry(u, time.Now().UnixMilli()) != nil { // the store may be down
		}
	})
}

// sendRequests sends requests, on connections that stay open, until stop is closed.
func (s *upstreamSoak) sendRequests(caller int, seed uint64, stop chan struct{}) {
	rng := rand.New(rand.NewPCG(seed, uint64(caller)+100))
	conns := map[*gatewayHost]net.Conn{}
	for n := 0; ; n++ {
		select {
		case <-stop:
			for _, c := range conns {
				_ = c.Close()
			}
			return
		case <-time.After(time.Duration(rng.IntN(40)) * time.Millisecond):
		}
		h := s.hosts[rng.IntN(len(s.hosts))]
		route, id := []string{"safe", "once", "talk"}[rng.IntN(3)], fmt.Sprintf("%d-%d-%d", seed, caller, n)
		c := conns[h]
		if c == nil {
			var err error
			if c, err = net.DialTimeout("tcp4", h.ip+":8000", 500*time.Millisecond); err != nil {
				continue
			}
			conns[h] = c
		}
		_ = c.SetDeadline(time.Now().Add(6 * time.Second)) // longer than the timeouts of the routes
		a := ask(c, route, id)
		if a.status == 0 || rng.IntN(10) == 0 {
			_ = c.Close()
			delete(conns, h)
		}
		s.mu.Lock()
		s.answers[id] = a
		s.mu.Unlock()
	}
}

// ask sends a request on a connection.
func ask(c net.Conn, route, id string) streamAnswer {
	a := streamAnswer{route: route}
	_, err := fmt.Fprintf(c, "POST /%s/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\nAuthorization: Bearer k1\r\nDeadline-Ms: 5000\r\nContent-Length: 0\r\n\r\n", route, id)
	if err != nil {
		a.err = err
		return a
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		a.err = err
		return a
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		a.err = err
		return a
	}
	a.status = resp.StatusCode
	for line := range strings.SplitSeq(string(body), "\n") {
		if text, ok := strings.CutPrefix(line, "id: "); ok {
			n, _ := strconv.Atoi(text) // 0 is no identifier of an event
			a.events = append(a.events, n)
		}
	}
	return a
}

// injectFault causes one random fault or ends an earlier one. Earlier faults may still be active.
func (s *upstreamSoak) injectFault() {
	n := s.rng.IntN(len(s.hosts))
	h := s.hosts[n]
	s.mu.Lock()
	i := s.instances[s.rng.IntN(len(s.instances))]
	s.mu.Unlock()
	switch s.rng.IntN(13) {
	case 0, 1:
		c := proxy.Cut(s.rng.IntN(4))
		s.log("%s is cut off (%d)", h.name, c)
		s.heal(n)
		s.cut(c, n)
		s.disturb(h)
	case 2, 3:
		s.log("%s is no longer cut off", h.name)
		s.heal(n)
		s.disturb(h)
	case 4, 5:
		d := time.Duration(1+s.rng.IntN(4)) * time.Second
		s.log("%s asks for pauses of %s", i.Addr(), d)
		i.TurnAway(d)
	case 6:
		s.log("%s asks for no pauses", i.Addr())
		i.TurnAway(0)
	case 7:
		rejections := s.rng.IntN(10)
		s.log("the upstreams bear %d rejections", rejections)
		s.beginBrittle(rejections)
	case 8:
		s.log("the upstreams are sound")
		s.endBrittle()
	case 9:
		d := time.Duration(500+s.rng.IntN(1000)) * time.Millisecond
		s.log("%s is silent for %s", i.Addr(), d)
		i.Silence(d)
	case 10:
		f := store.Faults{Down: s.rng.IntN(2) == 0, LoseReplies: 3, Latency: 100 * time.Millisecond}
		s.log("the store fails: %+v", f)
		s.platform.Memory().SetFaults(f)
	case 11:
		s.log("the store is restored")
		copied := s.platform.Memory().Snapshot()
		time.AfterFunc(300*time.Millisecond, func() { s.platform.Memory().Restore(copied) })
	default:
		sig := []syscall.Signal{syscall.SIGKILL, syscall.SIGTERM, syscall.SIGSTOP}[s.rng.IntN(3)]
		s.log("%s gets %s", h.name, sig)
		s.signal(h, sig)
		s.disturb(h)
	}
}

// log logs a step of the run.
func (s *upstreamSoak) log(format string, args ...any) {
	s.t.Helper()
	s.t.Logf(time.Now().Format("05.000 ")+format, args...)
}

// signal sends a signal to a host. A host that has exited is started again instead, and a stopped one continues first.
func (s *upstreamSoak) signal(h *gatewayHost, sig syscall.Signal) {
	select {
	case <-h.done:
		h.start()
		return
	default:
	}
	if s.paused[h] {
		_ = h.cmd.Process.Signal(syscall.SIGCONT)
	}
	s.paused[h] = sig == syscall.SIGSTOP
	_ = h.cmd.Process.Signal(sig) // the process may have exited
}

func (s *upstreamSoak) disturb(h *gatewayHost) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.disturbed[h.ip] = append(s.disturbed[h.ip], time.Now())
}

// isCalm reports whether a host was undisturbed from soakContact before a span to its end. The caller holds s.mu.
func (s *upstreamSoak) isCalm(ip string, from, to time.Time) bool {
	return !slices.ContainsFunc(s.disturbed[ip], func(at time.Time) bool { return at.After(from.Add(-soakContact)) && at.Before(to) })
}

func (s *upstreamSoak) beginBrittle(rejections int) {
	s.endBrittle()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.room.SetBrittle(rejections)
	s.brittle = append(s.brittle, brittleSpan{from: time.Now(), falls: s.room.Falls()})
}

func (s *upstreamSoak) endBrittle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.room.SetSound()
	if n := len(s.brittle); n > 0 && s.brittle[n-1].to.IsZero() {
		s.brittle[n-1].to, s.brittle[n-1].falls = time.Now(), s.room.Falls()-s.brittle[n-1].falls
	}
}

// recoverAll ends all faults and waits until all hosts serve again.
func (s *upstreamSoak) recoverAll() {
	s.platform.Memory().SetFaults(store.Faults{})
	s.endBrittle()
	<-time.After(3 * time.Second) // until the instances that have fallen over are back
	s.mu.Lock()
	for _, i := range s.instances {
		i.TurnAway(0)
	}
	s.mu.Unlock()
	for n, h := range s.hosts {
		s.heal(n)
		s.disturb(h)
		if s.paused[h] {
			_ = h.cmd.Process.Signal(syscall.SIGCONT)
		}
	}
	for _, h := range s.hosts {
		s.waitUntil(func() bool {
			select {
			case <-h.done:
				h.start()
			default:
			}
			return h.ready() && h.ask("safe", "ready-"+h.name, "k1") == http.StatusOK
		})
	}
}

// isLinkShared reports whether a host used the links of another one from soakContact before a span to its end, so that the upstreams cannot
// tell them apart. While the store is out of reach, or just restored, hosts take the entries of upstreams from each other, with the addresses.
func (s *upstreamSoak) isLinkShared(from, to time.Time) bool {
	for _, h := range s.hosts {
		since := map[string]time.Time{} // by upstream
		for line := range strings.SplitSeq(h.log.String(), "\n") {
			var e struct {
				Time                    time.Time
				Text, Upstream, Address string
			}
			if json.Unmarshal([]byte(line), &e) != nil || e.Text != "upstream joins" {
				continue
			}
			begin, isShared := since[e.Upstream]
			if isShared && begin.Before(to) && e.Time.After(from.Add(-soakContact)) {
				return true
			}
			delete(since, e.Upstream)
			if !strings.HasPrefix(e.Address, h.ip+":") {
				since[e.Upstream] = e.Time
			}
		}
		for _, begin := range since {
			if begin.Before(to) {
				return true
			}
		}
	}
	return false
}

// logHost logs what a host, given by its IP address, has logged.
func (s *upstreamSoak) logHost(ip string) {
	s.t.Helper()
	for _, h := range s.hosts {
		if h.ip == ip {
			s.t.Log(h.log.String())
		}
	}
}

// check compares what callers got with what the upstreams ran and stated.
func (s *upstreamSoak) check() {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs, served := map[string]int{}, 0
	for _, i := range s.started {
		for id, n := range i.Runs() {
			runs[id] += n
		}
		for _, p := range i.Pauses() {
			if !p.IsKept() && s.isCalm(p.Host, p.From, p.To) && !s.isLinkShared(p.From, p.To) {
				s.t.Errorf("%s was asked for a pause from %s to %s by %s and sent %v", p.Host, p.From.Format("05.000"), p.To.Format("05.000"), i.Addr(), p.Came)
				s.logHost(p.Host)
			}
		}
	}
	whole := make([]int, streamEvents)
	for n := range whole {
		whole[n] = n + 1
	}
	for id, a := range s.answers {
		switch {
		case a.route == "once" && runs[id] > 1:
			s.t.Errorf("request %s ran %d times", id, runs[id])
		case (a.status == 503 || a.status == 429) && a.route == "once" && runs[id] > 0:
			s.t.Errorf("request %s was refused with %d and ran", id, a.status)
		case a.status == 200 && runs[id] == 0:
			s.t.Errorf("request %s was answered and did not run", id)
		case a.status == 200 && a.route == "talk" && !slices.Equal(a.events, whole):
			s.t.Errorf("stream %s is complete with the events %v", id, a.events)
		case a.status == 401 || a.status == 404:
			s.t.Errorf("request %s got %d", id, a.status)
		case a.status == 200:
			served++
		}
	}
	for _, b := range s.brittle {
		calm := !slices.ContainsFunc(s.hosts, func(h *gatewayHost) bool { return !s.isCalm(h.ip, b.from, b.to) })
		if calm && b.falls > soakFalls {
			s.t.Errorf("%d upstreams fell over in %s", b.falls, b.to.Sub(b.from).Round(time.Millisecond))
		}
	}
	for _, h := range s.hosts {
		if strings.Contains(h.log.String(), "panic: ") {
			s.t.Errorf("%s has panicked", h.name)
		}
	}
	for _, v := range s.platform.Violations() {
		s.t.Error(v)
	}
	is.New(s.t).True(served > 0)
	s.t.Logf("%d requests, %d served, %d upstreams fell over", len(s.answers), served, s.room.Falls())
}
