package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"hickorypath/internal/core/clock"
	"hickorypath/internal/standin/memnet"
	"hickorypath/internal/standin/platformapi"
)

// silentUpstream is an upstream that can be silent for a while.
type silentUpstream struct {
	mu      sync.Mutex
	until   time.Time
	runs    map[string]int // by request
	resumes int            // streams that were not asked for from their first event
	silencePace
}

// silencePace is how fast a silentUpstream works.
type silencePace struct {
	work     time.Duration // of a request that is no stream
	events   int           // of a stream
	interval time.Duration // between two events
}

var usualPace = silencePace{silenceWork, silenceEvents, silenceInterval}

const (
	silenceEvents   = 40
	silenceInterval = 50 * time.Millisecond // between two events
	silenceWork     = 200 * time.Millisecond
)

// wait waits until the upstream is not silent.
func (u *silentUpstream) wait() {
	for {
		u.mu.Lock()
		left := time.Until(u.until)
		u.mu.Unlock()
		if left <= 0 {
			return
		}
		time.Sleep(left)
	}
}

// ServeHTTP implements http.Handler.
func (u *silentUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	u.wait()
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	u.mu.Lock()
	u.runs[r.Header.Get("Request-Id")]++
	if first > 0 {
		u.resumes++
	}
	u.mu.Unlock()
	w.Header()["Request-Id"] = r.Header["Request-Id"]
	w.Header().Set("Response-Signature", "s")
	if !strings.HasPrefix(r.URL.Path, "/talk/") {
		time.Sleep(u.work)
		u.wait()
		_, _ = io.WriteString(w, "ok")
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for n := first; n < u.events; n++ {
		time.Sleep(u.interval)
		u.wait()
		if _, err := fmt.Fprintf(w, "id: %d\ndata: x\n\n", n+1); err != nil {
			return
		}
		w.(http.Flusher).Flush()
	}
}

// silenceSimulation is a fleet of gateway hosts in virtual time whose upstreams can be silent.
type silenceSimulation struct {
	*configFleet
	caller    *memnet.Host
	upstreams []*silentUpstream

	mu   sync.Mutex
	dark map[string]bool // addresses of the upstreams whose network is silent
	only string          // address of the host for which it is; empty for all
}

func newSilenceSimulation(t *testing.T, hosts, upstreams int, pace silencePace) *silenceSimulation {
	t.Helper()
	f := &silenceSimulation{
		configFleet: &configFleet{t: t, net: memnet.New(), platform: platformapi.New(clock.NewWall()), serves: true, rand: rand.New(rand.NewPCG(1, 2))},
	}
	f.caller = f.net.AddHost(callerIP, 0, hostLatency)
	for n := range upstreams {
		f.net.AddHost(silentIP(n), 0, hostLatency)
		u := &silentUpstream{runs: map[string]int{}, silencePace: pace}
		f.upstreams = append(f.upstreams, u)
		t.Cleanup(f.net.Serve(silentIP(n)+":9000", u))
		value := fmt.Sprintf(`{"service":"svc","address":"%s:9000","zone":"zone-0","version":"v1","slots":64,"state":"ready","seq":1}`, silentIP(n))
		is.New(t).NoErr(f.platform.Put(t.Context(), fmt.Sprint("servers/u", n), []byte(value)))
	}
	f.net.SetCut(func(host, upstream string) bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.dark[upstream] && (f.only == "" || host == f.only)
	})
	f.run(hosts, 1, hosts)
	for _, name := range []string{"once", "talk", "safe"} {
		route := maps.Clone(f.routes[0])
		route["name"], route["prefix"], route["timeoutMs"] = name, "/"+name+"/", 15000
		route["kind"] = map[string]string{"once": "non_idempotent", "talk": "streaming", "safe": "idempotent"}[name]
		route["resumable"] = name == "talk"
		f.routes = append(f.routes, route)
	}
	f.put()
	time.Sleep(time.Second)
	return f
}

// silenceNetwork silences the network of the first n upstreams for a while.
func (f *silenceSimulation) silenceNetwork(n int, d time.Duration) {
	dark := map[string]bool{}
	for i := range n {
		dark[silentIP(i)] = true
	}
	f.setDark(dark)
	time.Sleep(d)
	f.setDark(nil)
}

func (f *silenceSimulation) setDark(dark map[string]bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dark = dark
}

// closeIdle closes the idle connections of all hosts.
func (f *silenceSimulation) closeIdle() {
	later := time.Now().Add(time.Hour)
	for _, g := range f.hosts {
		for _, i := range g.table.All() {
			i.Sweep(later)
		}
		g.helpers.Sweep(later)
		g.server.Sweep(later, true)
		g.relays.Sweep(later, true)
	}
}

func silentIP(n int) string { return fmt.Sprintf("10.201.0.%d", n+1) }

// ask sends a request to a host and returns the status, or 0 without a whole response.
func (f *silenceSimulation) ask(ip, route, id string) int {
	const deadline = 10 * time.Second
	c, err := f.caller.Dial(context.Background(), ip+":8000")
	if err != nil {
		return 0
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(deadline))
	if _, err = fmt.Fprintf(c, "POST /%s/x HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nContent-Length: 0\r\n\r\n", route, id, deadline.Milliseconds()); err != nil {
		return 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil || route == "talk" && resp.StatusCode == http.StatusOK && strings.Count(string(body), "data: x") != f.upstreams[0].events {
		return 0
	}
	return resp.StatusCode
}

// TestSilentSecondBreaksStreams guards against streams that break off or are taken up elsewhere, requests that may run once and get another
// answer than their own, and upstreams that count as crashed, when a sound upstream is silent for a second.
func TestSilentSecondBreaksStreams(t *testing.T) {
	const hosts, upstreams, rate = 5, 3, 4 // requests a second to each host and route
	for _, dark := range []bool{false, true} {
		for _, silence := range []time.Duration{500 * time.Millisecond, time.Second, 1500 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s, the network too: %t", silence, dark), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					f := newSilenceSimulation(t, hosts, upstreams, usualPace)
					var callers sync.WaitGroup
					var mu sync.Mutex
					wrong := map[string]int{}
					for n, g := range f.hosts {
						for _, route := range []string{"once", "talk"} {
							for i := range 5 * rate {
								callers.Go(func() {
									time.Sleep(time.Duration(i)*time.Second/rate + time.Duration(n)*7*time.Millisecond)
									if status := f.ask(g.settings.IP, route, fmt.Sprint(route, n, "-", i)); status != http.StatusOK {
										mu.Lock()
										defer mu.Unlock()
										wrong[fmt.Sprint(route, " ", status)]++
									}
								})
							}
						}
					}
					time.Sleep(2 * time.Second)
					if dark {
						f.silenceNetwork(1, silence)
					} else {
						u := f.upstreams[0]
						u.mu.Lock()
						u.until = time.Now().Add(silence)
						u.mu.Unlock()
						time.Sleep(silence)
					}
					for _, g := range f.hosts {
						is.Equal(g.table.CutServices(), nil)
					}
					callers.Wait()
					is.Equal(wrong, map[string]int{})
					for _, u := range f.upstreams {
						is.Equal(u.resumes, 0)
						for id, n := range u.runs {
							if n != 1 {
								t.Errorf("request %s has run %d times", id, n)
							}
						}
					}
					for _, g := range f.hosts {
						is.Equal(len(g.exchange.PoisonEvidence()), 0)
						for _, i := range g.table.All() {
							is.True(!i.IsOutOfReach())
						}
					}
					f.closeIdle()
				})
			})
		}
	}
}

// TestSilentSecondOfAServiceEndsItsRequests guards against requests that are given up when all upstreams of their service, and their
// network, are silent for a second. New requests may be refused meanwhile.
func TestSilentSecondOfAServiceEndsItsRequests(t *testing.T) {
	const (
		upstreams = 3
		begin     = 2*time.Second - silenceInterval
	)
	cases := []struct {
		hosts   int
		silence time.Duration
		routes  string
		rate    int // requests a second to each host and route
		pace    silencePace
	}{
		{1, time.Second, "once talk safe", 4, usualPace},
		{5, 500 * time.Millisecond, "once talk safe", 4, usualPace},
		{5, time.Second, "once talk safe", 4, usualPace},
		{5, 1500 * time.Millisecond, "once talk safe", 4, usualPace},
		{1, 2500 * time.Millisecond, "once talk safe", 4, usualPace},
		{5, 2500 * time.Millisecond, "once talk safe", 4, usualPace},
		{1, time.Second, "safe", 4, silencePace{work: 700 * time.Millisecond}},
		{5, 500 * time.Millisecond, "safe", 4, silencePace{work: 700 * time.Millisecond}},
		{5, time.Second, "safe", 4, silencePace{work: 700 * time.Millisecond}},
		{5, 1500 * time.Millisecond, "safe", 4, silencePace{work: 700 * time.Millisecond}},
		{5, time.Second, "talk", 2, silencePace{events: 6, interval: 600 * time.Millisecond}},
		{5, 1500 * time.Millisecond, "talk", 2, silencePace{events: 6, interval: 600 * time.Millisecond}},
	}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%s, %d hosts, %s, %s", c.routes, c.hosts, c.silence, c.pace.work+c.pace.interval), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newSilenceSimulation(t, c.hosts, upstreams, c.pace)
				var callers sync.WaitGroup
				var mu sync.Mutex
				ended, refused := map[string]int{}, map[string]bool{}
				for n, g := range f.hosts {
					for _, route := range strings.Fields(c.routes) {
						for i := range 4 * c.rate {
							callers.Go(func() {
								sentAt := time.Duration(i)*time.Second/time.Duration(c.rate) + time.Duration(n)*7*time.Millisecond
								time.Sleep(sentAt)
								id := fmt.Sprint(route, n, "-", i)
								status := f.ask(g.settings.IP, route, id)
								mu.Lock()
								defer mu.Unlock()
								switch {
								case status == http.StatusServiceUnavailable && sentAt > begin:
									refused[id] = true
								case status != http.StatusOK:
									ended[fmt.Sprint(route, " ", status)]++
								}
							})
						}
					}
				}
				time.Sleep(begin)
				f.silenceNetwork(upstreams, c.silence)
				callers.Wait()
				is := is.New(t)
				runs, resumes := map[string]int{}, 0
				for _, u := range f.upstreams {
					resumes += u.resumes
					for id, n := range u.runs {
						runs[id] += n
					}
				}
				f.closeIdle()
				t.Logf("ended: %v; %d streams were taken up elsewhere; %d requests were refused", ended, resumes, len(refused))
				is.Equal(ended, map[string]int{})
				is.Equal(resumes, 0)
				for id, n := range runs {
					if n != 1 || refused[id] {
						t.Errorf("request %s has run %d times; refused: %t", id, n, refused[id])
					}
				}
			})
		})
	}
}

// TestHangingRequestWaitsAlthoughOthersAreServed guards against a request that hangs on a host which is cut off, for as long as a sound upstream may
// be silent, although the other hosts are answered.
func TestHangingRequestWaitsAlthoughOthersAreServed(t *testing.T) {
	const (
		silence = 2 * time.Second // of a sound upstream
		cutAt   = 50 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newSilenceSimulation(t, 5, 3, usualPace)
		ip := f.hosts[0].settings.IP
		f.only = ip
		var callers sync.WaitGroup
		var took time.Duration
		callers.Go(func() {
			begin := time.Now()
			is.Equal(f.ask(ip, "safe", "hangs"), http.StatusOK)
			took = time.Since(begin)
		})
		for i := range 20 {
			callers.Go(func() {
				time.Sleep(cutAt + time.Duration(i+1)*100*time.Millisecond)
				is.Equal(f.ask(ip, "safe", fmt.Sprint("later", i)), http.StatusOK)
			})
		}
		time.Sleep(cutAt)
		f.silenceNetwork(len(f.upstreams), 2*silence)
		callers.Wait()
		f.closeIdle()
		is.True(took < silence)
	})
}
