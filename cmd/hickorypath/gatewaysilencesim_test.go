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
}

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
		time.Sleep(silenceWork)
		u.wait()
		_, _ = io.WriteString(w, "ok")
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for n := first; n < silenceEvents; n++ {
		time.Sleep(silenceInterval)
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
	dark string // address of the upstream whose network is silent, empty for none
}

func newSilenceSimulation(t *testing.T, hosts, upstreams int) *silenceSimulation {
	t.Helper()
	f := &silenceSimulation{
		configFleet: &configFleet{t: t, net: memnet.New(), platform: platformapi.New(clock.NewWall()), serves: true, rand: rand.New(rand.NewPCG(1, 2))},
	}
	f.caller = f.net.AddHost(callerIP, 0, hostLatency)
	for n := range upstreams {
		f.net.AddHost(silentIP(n), 0, hostLatency)
		u := &silentUpstream{runs: map[string]int{}}
		f.upstreams = append(f.upstreams, u)
		t.Cleanup(f.net.Serve(silentIP(n)+":9000", u))
		value := fmt.Sprintf(`{"service":"svc","address":"%s:9000","zone":"zone-0","version":"v1","slots":64,"state":"ready","seq":1}`, silentIP(n))
		is.New(t).NoErr(f.platform.Put(t.Context(), fmt.Sprint("servers/u", n), []byte(value)))
	}
	f.net.SetCut(func(_, upstream string) bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return upstream == f.dark
	})
	f.run(hosts, 1, hosts)
	for _, name := range []string{"once", "talk"} {
		route := maps.Clone(f.routes[0])
		route["name"], route["prefix"], route["timeoutMs"] = name, "/"+name+"/", 15000
		route["kind"] = map[string]string{"once": "non_idempotent", "talk": "streaming"}[name]
		route["resumable"] = name == "talk"
		f.routes = append(f.routes, route)
	}
	f.put()
	time.Sleep(time.Second)
	return f
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
	if err != nil || route == "talk" && strings.Count(string(body), "data: x") != silenceEvents {
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
					f := newSilenceSimulation(t, hosts, upstreams)
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
						f.mu.Lock()
						f.dark = silentIP(0)
						f.mu.Unlock()
						time.Sleep(silence)
						f.mu.Lock()
						f.dark = ""
						f.mu.Unlock()
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
							i.Sweep(time.Now().Add(time.Hour))
						}
						g.server.Sweep(time.Now().Add(time.Hour), true)
					}
				})
			})
		}
	}
}
