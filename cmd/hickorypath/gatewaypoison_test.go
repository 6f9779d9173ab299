package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickorypath/internal/standin/instance"
)

// poisonFleet is a fleet of gateway hosts whose callers send sound requests, and some with a part in their prompts that crashes the
// instances. Crashed instances come back under another id and address.
type poisonFleet struct {
	*gatewayFleet
	poison *instance.Poison
	ids    atomic.Int64

	mu     sync.Mutex
	byAddr map[string]string // id in the store by address
}

const poisonPart = "bad0"

func newPoisonFleet(t *testing.T, net, hosts, instances int) *poisonFleet {
	t.Helper()
	f := &poisonFleet{gatewayFleet: newGatewayFleet(t, net, hosts, 0), byAddr: map[string]string{}}
	f.poison = instance.NewPoison(poisonPart, 30*time.Millisecond, f.replace)
	for range instances {
		f.addInstance()
	}
	for _, h := range f.hosts {
		f.waitUntil(func() bool { return strings.Count(h.log.String(), "upstream joins") >= instances })
	}
	return f
}

func (f *poisonFleet) addInstance() {
	s, err := instance.New(instance.Options{Version: "v1", Events: 20, Interval: 20 * time.Millisecond, Poison: f.poison})
	if err != nil {
		f.t.Error(err)
		return
	}
	f.t.Cleanup(s.Close)
	id := fmt.Sprint("u", f.ids.Add(1))
	f.mu.Lock()
	f.byAddr[s.Addr()] = id
	f.mu.Unlock()
	value := fmt.Sprintf(`{"service":"svc","address":%q,"zone":"z","version":"v1","slots":64,"state":"ready","seq":1}`, s.Addr())
	if err := f.platform.Put(f.t.Context(), "servers/"+id, []byte(value)); err != nil {
		f.t.Log(err) // the test is over
	}
}

// replace puts another instance in place of a crashed one. Its entry stays for a while, as after a crash.
func (f *poisonFleet) replace(s *instance.Server) {
	f.mu.Lock()
	id := f.byAddr[s.Addr()]
	f.mu.Unlock()
	time.AfterFunc(300*time.Millisecond, f.addInstance)
	time.AfterFunc(600*time.Millisecond, func() {
		if err := f.platform.Remove(f.t.Context(), "servers/"+id); err != nil {
			f.t.Log(err)
		}
	})
}

// ask sends a request with the parts of a prompt to a host and reports whether its response was complete. extra are more header
// fields.
func (f *poisonFleet) ask(h *gatewayHost, route, id, parts, extra string) bool {
	conn, err := net.DialTimeout("tcp4", h.ip+":8000", time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST /%s/%s HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\nAuthorization: Bearer k1\r\nDeadline-Ms: 10000\r\nPrefix-Hash: %s\r\n%sContent-Length: 0\r\n\r\n", route, id, id, parts, extra)
	if err != nil {
		return false
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}

// TestPromptPartCrashesOneUpstreamAfterTheOther guards against requests that share nothing but a part of their prompts and crash the
// upstreams one after the other, and against sound requests that are refused with them.
func TestPromptPartCrashesOneUpstreamAfterTheOther(t *testing.T) {
	const (
		hosts, instances = 5, 4
		contact          = 3 * time.Second // after the fifth crash, in which the hosts hear of it
		binding          = 5               // crashes from which the rule binds
		maxArrivals      = 3
		pause            = 500 * time.Millisecond // between two requests with the part at one host
	)
	cases := []struct {
		name  string
		net   int
		route string
		bad   func(n int) (parts, extra string)
	}{
		{"middle part", 25, "talk", func(n int) (string, string) { return fmt.Sprintf("a1:100,%s:50,%x:10", poisonPart, 0xf000+n), "" }},
		{"first part", 26, "safe", func(n int) (string, string) {
			return fmt.Sprintf("%s:50,%x:20,%x:10", poisonPart, 0xd000+n%7, 0xf000+n), ""
		}},
		{"streams that are taken up", 27, "talk", func(n int) (string, string) {
			return fmt.Sprintf("a1:100,%s:50,%x:10", poisonPart, 0xf000+n), "Last-Event-Id: 3\r\n"
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newPoisonFleet(t, c.net, hosts, instances)
			stop := make(chan struct{})
			var callers sync.WaitGroup
			var judged atomic.Bool // sound requests count from now on
			var sound, served atomic.Int64
			every := func(d time.Duration, send func(n int)) {
				callers.Go(func() {
					for n := 0; ; n++ {
						select {
						case <-stop:
							return
						case <-time.After(d):
							callers.Go(func() { send(n) })
						}
					}
				})
			}
			for i, h := range f.hosts {
				every(pause, func(n int) {
					parts, extra := c.bad(n*hosts + i)
					f.ask(h, c.route, fmt.Sprintf("%s-bad%d", h.name, n), parts, extra)
				})
				every(pause/5, func(n int) {
					counts := judged.Load()
					ok := f.ask(h, c.route, fmt.Sprintf("%s-sound%d", h.name, n), fmt.Sprintf("a1:100,%x:50,%x:10", 0xb000+n%9, 0xe0000+n*hosts+i), "")
					if counts {
						sound.Add(1)
						if ok {
							served.Add(1)
						}
					}
				})
			}
			f.waitUntil(func() bool { // until the rule has bound for a while, or there are no more crashes
				n, since := f.poison.Crashes()
				if n > 0 && since > 2*contact {
					return true
				}
				return f.poison.ArrivalsAfter(binding, contact) > 3*maxArrivals
			})
			judged.Store(true)
			f.waitUntil(func() bool { return sound.Load() >= 200 })
			close(stop)
			callers.Wait()
			crashes, _ := f.poison.Crashes()
			t.Logf("%d crashes, %d arrivals after the fifth; %d of %d sound requests served", crashes, f.poison.ArrivalsAfter(binding, contact), served.Load(), sound.Load())
			is.True(f.poison.ArrivalsAfter(binding, contact) <= maxArrivals)
			is.True(served.Load()*2 > sound.Load())
		})
	}
}
