package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickorypath/internal/standin/instance"
	"hickorypath/internal/standin/knownfailure"
	"hickorypath/internal/standin/proxy"
)

// cutoffFleet is a fleet of gateway hosts that each reach the upstreams over a network link of their own, which can be cut.
type cutoffFleet struct {
	*gatewayFleet
	instances []*instance.Server
	links     [][]*proxy.Proxy // by host and upstream
	slots     int              // of an upstream
}

// streamEvents is the number of events of a stream of a cutoffFleet.
const streamEvents = 8

// newCutoffFleet starts a fleet.
func newCutoffFleet(t *testing.T, net, hosts, upstreams int) *cutoffFleet {
	t.Helper()
	is := is.New(t)
	list := make([]*instance.Server, 0, upstreams)
	for range upstreams {
		s, err := instance.New(instance.Options{Version: "v1", Events: streamEvents, Interval: 40 * time.Millisecond})
		is.NoErr(err)
		t.Cleanup(s.Close)
		list = append(list, s)
	}
	return newCutoffFleetOf(t, net, hosts, 64, list)
}

// newCutoffFleetOf starts a fleet with instances that have some slots each.
func newCutoffFleetOf(t *testing.T, net, hosts, slots int, instances []*instance.Server) *cutoffFleet {
	t.Helper()
	is := is.New(t)
	f := &cutoffFleet{gatewayFleet: newGatewayFleet(t, net, 0, 0), instances: instances, slots: slots}
	for u := range instances {
		is.NoErr(f.putEntry(u, 1))
	}
	for n := range hosts {
		f.addHost(n)
	}
	for _, h := range f.hosts {
		f.waitUntil(h.ready)
		f.waitUntil(func() bool { return strings.Count(h.log.String(), `"host joined"`) == hosts-1 })
		f.waitUntil(func() bool { return strings.Count(h.log.String(), `"upstream joins"`) == len(instances) })
	}
	return f
}

// putEntry writes the entry of an instance to the store, with the time of its start.
func (f *cutoffFleet) putEntry(u int, born int64) error {
	value := fmt.Sprintf(`{"service":"svc","address":%q,"zone":"z","version":"v1","slots":%d,"state":"ready","seq":1,"born":%d}`, f.instances[u].Addr(), f.slots, born)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return f.platform.Put(ctx, fmt.Sprintf("servers/u%d", u), []byte(value))
}

// addHost starts a host to which the upstreams have the addresses of its links.
func (f *cutoffFleet) addHost(n int) {
	is := is.New(f.t)
	addresses := make([]string, 0, 2*len(f.instances))
	links := make([]*proxy.Proxy, 0, len(f.instances))
	for u, s := range f.instances {
		ip := fmt.Sprintf("%s%d", f.addresses, n+1)
		p, err := proxy.NewFrom(fmt.Sprintf("%s:%d", ip, 9000+u), s.Addr(), ip)
		is.NoErr(err)
		f.t.Cleanup(p.Close)
		links = append(links, p)
		addresses = append(addresses, s.Addr(), p.Addr())
	}
	f.links = append(f.links, links)
	replace := strings.NewReplacer(addresses...)
	view := httptest.NewServer(f.platform.View(func(key string, value []byte) []byte {
		if !strings.HasPrefix(key, "servers/") {
			return value
		}
		return []byte(replace.Replace(string(value)))
	}))
	f.t.Cleanup(view.Close)
	h := f.newHost(n + 1)
	text, err := os.ReadFile(h.settings)
	is.NoErr(err)
	settings := strings.ReplaceAll(string(text), strings.TrimPrefix(f.server.URL, "http://"), strings.TrimPrefix(view.URL, "http://"))
	is.NoErr(os.WriteFile(h.settings, []byte(settings), 0o600))
	f.hosts = append(f.hosts, h)
	h.start()
}

// cut cuts hosts off from all upstreams.
func (f *cutoffFleet) cut(c proxy.Cut, hosts ...int) {
	for _, n := range hosts {
		for _, l := range f.links[n] {
			is.New(f.t).NoErr(l.Cut(c))
		}
	}
}

func (f *cutoffFleet) heal(hosts ...int) {
	for _, n := range hosts {
		for _, l := range f.links[n] {
			is.New(f.t).NoErr(l.Heal())
		}
	}
}

// outcome is what the callers of a host got.
type outcome struct {
	sent, served atomic.Int64
	unanswered   atomic.Int64 // without any response
	mu           sync.Mutex
	retryAfter   []string       // of the refusals
	statuses     map[string]int // of requests that may run once, by identifier
}

// ratio returns the part of the requests that was served.
func (o *outcome) ratio() float64 { return float64(o.served.Load()) / float64(o.sent.Load()) }

// call sends requests to all hosts, to three routes in turn, for a while. It returns the outcomes by host.
func (f *cutoffFleet) call(name string, d time.Duration) []*outcome {
	const ratePerHost = 15 // requests a second
	outcomes := make([]*outcome, len(f.hosts))
	var callers sync.WaitGroup
	for n, h := range f.hosts {
		o := &outcome{statuses: map[string]int{}}
		outcomes[n] = o
		callers.Go(func() {
			for i := range int(d.Seconds() * ratePerHost) {
				<-time.After(time.Second / ratePerHost)
				route, id := []string{"safe", "once", "talk"}[i%3], fmt.Sprintf("%s-%s-%d", h.name, name, i)
				callers.Go(func() { o.record(route, id, h.request(route, id)) })
			}
		})
	}
	callers.Wait()
	return outcomes
}

// response is the response that a caller gets; its status is 0 if none came, or none that is whole.
type response struct {
	status     int
	retryAfter string
	body       string
}

// request sends a request on a new connection.
func (h *gatewayHost) request(route, id string) response {
	const deadline = 2 * time.Second
	c, err := net.DialTimeout("tcp4", h.ip+":8000", time.Second)
	if err != nil {
		return response{}
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(deadline))
	_, err = fmt.Fprintf(c, "POST /%s/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\nAuthorization: Bearer k1\r\nDeadline-Ms: %d\r\nContent-Length: 0\r\n\r\n", route, id, deadline.Milliseconds())
	if err != nil {
		return response{}
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return response{}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return response{}
	}
	return response{status: resp.StatusCode, retryAfter: resp.Header.Get("Retry-After"), body: string(data)}
}

// record counts a response. A stream is served if all its events have come.
func (o *outcome) record(route, id string, r response) {
	o.sent.Add(1)
	if route == "once" {
		o.mu.Lock()
		o.statuses[id] = r.status
		o.mu.Unlock()
	}
	switch {
	case r.status == 0:
		o.unanswered.Add(1)
	case r.status == http.StatusOK && (r.body == "ok" || strings.Count(r.body, "\n\n") == streamEvents):
		o.served.Add(1)
	default:
		o.mu.Lock()
		defer o.mu.Unlock()
		o.retryAfter = append(o.retryAfter, r.retryAfter)
	}
}

// TestCallersOfHostsThatAreCutOffAreNotServed guards against hosts that reach no upstream and serve their callers far worse than hosts
// that do.
func TestCallersOfHostsThatAreCutOffAreNotServed(t *testing.T) {
	const hosts, upstreams = 3, 2
	const detection = time.Second // after which callers must be served
	const aim = 0.95              // of what the callers of the other hosts get
	cases := []struct {
		name string
		net  int
		cut  proxy.Cut
		off  []int
	}{
		{"connections hang", 41, proxy.CutHangs, []int{0}},
		{"connections are reset", 42, proxy.CutResets, []int{1}},
		{"open connections live on, new ones are refused", 43, proxy.CutNew, []int{2}},
		{"open connections live on, new ones hang", 44, proxy.CutNewHangs, []int{0}},
		{"two hosts hang", 45, proxy.CutHangs, []int{0, 1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newCutoffFleet(t, c.net, hosts, upstreams)
			before := f.call("before", time.Second)
			f.cut(c.cut, c.off...)
			f.call("detection", detection)
			during := f.call("during", 3*time.Second)
			f.heal(c.off...)
			f.call("heal", detection)
			after := f.call("after", time.Second)
			worst, others := 1.0, 1.0
			for n := range hosts {
				t.Logf("host %d: before %.2f, during %.2f (%d of %d unanswered), after %.2f", n, before[n].ratio(), during[n].ratio(), during[n].unanswered.Load(), during[n].sent.Load(), after[n].ratio())
				is.Equal(before[n].ratio(), 1.0)
				if slices.Contains(c.off, n) {
					worst = min(worst, during[n].ratio())
				} else {
					others = min(others, during[n].ratio())
				}
			}
			known, err := knownfailure.IsListed("TestCallersOfHostsThatAreCutOffAreNotServed")
			is.NoErr(err)
			if known && worst < aim*others {
				t.Skip("known fault, see KNOWN-RED.txt")
			}
			is.True(worst >= aim*others)
			is.True(others >= aim)
			for n := range hosts {
				is.True(after[n].ratio() >= aim)
			}
		})
	}
}

// TestCallersAreHeldWhileNobodyReachesAnUpstream guards against hosts that hold requests which no host can serve, and against refusals
// that bring all callers back at the same moment.
func TestCallersAreHeldWhileNobodyReachesAnUpstream(t *testing.T) {
	is := is.New(t)
	f := newCutoffFleet(t, 46, 3, 2)
	f.cut(proxy.CutHangs, 0, 1, 2)
	f.call("detection", time.Second)
	unanswered, times := 0, map[string]bool{}
	for _, o := range f.call("during", 2*time.Second) {
		unanswered += int(o.unanswered.Load() + o.served.Load())
		for _, s := range o.retryAfter {
			if seconds, err := strconv.ParseFloat(s, 64); err != nil || seconds <= 0 {
				unanswered++
			}
			times[s] = true
		}
	}
	t.Logf("%d requests without a refusal that states when to return, %d different times", unanswered, len(times))
	f.heal(0, 1, 2)
	f.call("heal", time.Second)
	after := f.call("after", time.Second)
	known, err := knownfailure.IsListed("TestCallersAreHeldWhileNobodyReachesAnUpstream")
	is.NoErr(err)
	if known && (unanswered > 0 || len(times) < 10) {
		t.Skip("known fault, see KNOWN-RED.txt")
	}
	is.Equal(unanswered, 0)
	is.True(len(times) >= 10)
	for _, o := range after {
		is.True(o.ratio() >= 0.95)
	}
}

// TestRelayedRequestsSurviveTheirHosts lets callers of a host that is cut off send requests while the hosts that relay them are killed,
// shut down, cut off too and restarted. No request that may run once may run twice, or have run although it was refused, and callers
// must be served.
func TestRelayedRequestsSurviveTheirHosts(t *testing.T) {
	is := is.New(t)
	f := newCutoffFleet(t, 47, 4, 3)
	f.cut(proxy.CutHangs, 0)
	f.call("detection", time.Second)
	steps := []struct {
		name   string
		strike func()
	}{
		{"killed", func() { f.hosts[1].kill() }},
		{"restarted", func() { f.hosts[1].start() }},
		{"stops", func() { is.NoErr(f.hosts[2].cmd.Process.Signal(syscall.SIGTERM)) }},
		{"cut", func() { f.cut(proxy.CutResets, 3) }},
		{"heals", func() { f.heal(3) }},
		{"hangs", func() { f.cut(proxy.CutHangs, 3) }},
		{"healed", func() { f.heal(0, 3) }},
	}
	statuses := map[string]int{}
	sent, served := 0, 0
	for _, s := range steps {
		done := make(chan []*outcome)
		go func() { done <- f.call(s.name, 1500*time.Millisecond) }()
		<-time.After(300 * time.Millisecond)
		s.strike()
		outcomes := <-done
		for _, o := range outcomes {
			maps.Copy(statuses, o.statuses)
		}
		t.Logf("%s: host 0 serves %.2f", s.name, outcomes[0].ratio())
		sent += int(outcomes[0].sent.Load())
		served += int(outcomes[0].served.Load())
	}
	runs := map[string]int{}
	for _, s := range f.instances {
		for id, n := range s.Runs() {
			runs[id] += n
		}
	}
	for id, status := range statuses {
		if n := runs[id]; n > 1 || n > 0 && status == http.StatusServiceUnavailable || n == 0 && status == http.StatusOK {
			t.Errorf("request %s, which may run once, was answered with %d and has run %d times", id, status, n)
		}
	}
	is.True(float64(served) >= 0.8*float64(sent))
	for _, h := range f.hosts {
		is.True(!strings.Contains(h.log.String(), "panic: "))
	}
}

// TestStrangerIsRelayed guards against a host that takes relayed requests from an address that is not that of another host.
func TestStrangerIsRelayed(t *testing.T) {
	is := is.New(t)
	f := newCutoffFleet(t, 48, 2, 1)
	ask := func(from string) error {
		d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}
		c, err := d.Dial("tcp4", f.hosts[0].ip+":7342")
		is.NoErr(err)
		defer c.Close()
		_, err = io.WriteString(c, "POST /safe/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: a\r\nAuthorization: Bearer k1\r\n"+
			"Relay-Host: h2\r\nRelay-Service: svc\r\nRelay-Runs: 0\r\nRelay-Config: 1\r\nContent-Length: 0\r\n\r\n")
		if err != nil {
			return err
		}
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err == nil {
			is.Equal(resp.StatusCode, http.StatusOK)
			_ = resp.Body.Close()
		}
		return err
	}
	is.NoErr(ask(f.hosts[1].ip))
	is.True(ask(f.addresses+"77") != nil)
	is.Equal(len(f.instances[0].Runs()), 1)
}
