package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"hickorypath/internal/core/clock"
	"hickorypath/internal/standin/instance"
	"hickorypath/internal/state/store"
)

// stream is a stream of a caller.
type stream struct {
	id     string // of the request
	conn   net.Conn
	body   *bufio.Reader
	events []instance.Event
}

// openStream sends a request for a stream to a host and reads the head of the response. A stream that is not nil is taken up; one
// without id leaves its first request unnamed.
func (h *gatewayHost) openStream(id string, first *stream) (s *stream, status int) {
	conn, err := net.DialTimeout("tcp4", h.ip+":8000", time.Second)
	if err != nil {
		return nil, 0
	}
	h.fleet.t.Cleanup(func() { _ = conn.Close() })
	resume := ""
	if first != nil {
		resume = fmt.Sprintf("Last-Event-Id: %d\r\n", first.last().ID)
		if first.id != "" {
			resume += fmt.Sprintf("Resumes: %s\r\n", first.id)
		}
	}
	_, err = fmt.Fprintf(conn, "POST /talk/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\nAuthorization: Bearer k1\r\nDeadline-Ms: 15000\r\n%sContent-Length: 0\r\n\r\n", id, resume)
	if err != nil {
		return nil, 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil, 0
	}
	h.fleet.t.Cleanup(func() { _ = resp.Body.Close() })
	return &stream{id: id, conn: conn, body: bufio.NewReader(resp.Body)}, resp.StatusCode
}

// read reads the next event.
func (s *stream) read() error {
	e, err := instance.ReadEvent(s.body)
	if err == nil {
		s.events = append(s.events, e)
	}
	return err
}

func (s *stream) last() instance.Event { return s.events[len(s.events)-1] }

// versionFleet starts three hosts and two instances of each of two versions.
func versionFleet(t *testing.T, net int) (*gatewayFleet, []*instance.Server) {
	t.Helper()
	is := is.New(t)
	f := newGatewayFleet(t, net, 3, 0)
	versions := []string{"v1", "v2", "v1", "v2"}
	servers := make([]*instance.Server, 0, len(versions))
	for i, version := range versions {
		s, err := instance.New(instance.Options{Version: version, Events: 100, Interval: 20 * time.Millisecond})
		is.NoErr(err)
		t.Cleanup(s.Close)
		servers = append(servers, s)
		value := fmt.Sprintf(`{"service":"svc","address":%q,"zone":"z","version":%q,"slots":64,"state":"ready","seq":1}`, s.Addr(), version)
		is.NoErr(f.platform.Put(t.Context(), fmt.Sprintf("servers/u%d", i), []byte(value)))
	}
	for _, h := range f.hosts {
		f.waitUntil(func() bool {
			return strings.Count(h.log.String(), "upstream joins") == len(servers) && strings.Contains(h.log.String(), "versions in the store")
		})
	}
	return f, servers
}

// waitForOrigins waits until the leader has written the origins of so many streams to the store.
func (f *gatewayFleet) waitForOrigins(n int) {
	f.t.Helper()
	client := store.New(f.platform.Memory().Backend(), store.Options{Clock: clock.NewSystem()})
	f.waitUntil(func() bool {
		list, _, err := client.List(f.t.Context(), "origins/")
		is.New(f.t).NoErr(err)
		found := map[uint64]bool{}
		for _, e := range list {
			var segment map[string]map[string][]uint64
			is.New(f.t).NoErr(cbor.Unmarshal(e.Value(), &segment))
			for _, versions := range segment {
				for _, ids := range versions {
					for _, id := range ids {
						found[id] = true
					}
				}
			}
		}
		return len(found) >= n
	})
}

// TestStreamIsTakenUpAtAnotherVersion guards against a stream that goes on at another software version than the one that began
// it, where a caller takes it up at another host, and against one that does not go on although its version serves.
func TestStreamIsTakenUpAtAnotherVersion(t *testing.T) {
	const streams, events, maxTries = 24, 100, 3
	cases := []struct {
		name   string
		net    int
		strike func(f *gatewayFleet, servers []*instance.Server) // after the first events
		hosts  []int                                             // at which the callers take their streams up
		goesOn bool
	}{
		{"its host is killed", 21, func(f *gatewayFleet, _ []*instance.Server) { f.hosts[0].kill() }, []int{1, 2}, true},
		{"its host is killed, another one has restarted", 22, func(f *gatewayFleet, _ []*instance.Server) {
			f.hosts[1].kill()
			f.hosts[1].start()
			f.waitUntil(f.hosts[1].ready)
			f.hosts[0].kill()
		}, []int{1}, true},
		{"its instance crashes", 23, func(_ *gatewayFleet, servers []*instance.Server) { servers[0].Close(); servers[1].Close() }, []int{0, 1, 2}, true},
		{"the only host that knows of it is out of touch", 25, func(f *gatewayFleet, _ []*instance.Server) {
			f.waitForOrigins(streams)
			f.hosts[2].kill()
			f.hosts[2].start()
			f.waitUntil(f.hosts[2].ready)
			f.hosts[0].kill()
			f.hosts[1].pause()
		}, []int{2}, true},
		{"the only host that knows of it is out of touch, and the store is away", 26, func(f *gatewayFleet, _ []*instance.Server) {
			f.hosts[2].kill()
			f.hosts[2].start()
			f.waitUntil(f.hosts[2].ready)
			f.platform.FailWith(http.StatusServiceUnavailable)
			f.hosts[0].kill()
			f.hosts[1].pause()
		}, []int{2}, false},
		{"no host knows of it any more", 24, func(f *gatewayFleet, _ []*instance.Server) {
			f.waitForOrigins(streams)
			for _, h := range f.hosts {
				h.kill()
			}
			f.hosts[0].start()
			f.waitUntil(f.hosts[0].ready)
		}, []int{0}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f, servers := versionFleet(t, c.net)
			begun := make([]*stream, 0, streams)
			versions := map[string]int{}
			for n := range streams {
				var s *stream
				f.waitUntil(func() bool {
					var status int
					s, status = f.hosts[0].openStream(fmt.Sprintf("h1-%d", n), nil)
					return status == http.StatusOK
				})
				is.NoErr(s.read())
				begun = append(begun, s)
				versions[s.last().Version]++
			}
			is.True(len(versions) == 2) // both versions began streams
			c.strike(f, servers)
			var other, wentOn atomic.Int64
			var callers sync.WaitGroup
			for n, s := range begun {
				h := f.hosts[c.hosts[n/2%len(c.hosts)]]
				callers.Go(func() {
					first := *s
					for n := 0; s.read() == nil && n < events; n++ { // until the stream breaks or ends
					}
					for try := 0; s.last().ID < events && try < maxTries; try++ {
						rest, status := h.openStream(fmt.Sprintf("%s-again-%d-%d", h.name, n, try), &stream{id: first.id, events: s.events})
						if status == http.StatusOK {
							for rest.read() == nil {
							}
							s.events = append(s.events, rest.events...)
						} else if status != http.StatusServiceUnavailable {
							t.Errorf("status %d", status)
						}
					}
					for i, e := range s.events {
						if e.ID != i+1 {
							t.Errorf("event %d follows %d events", e.ID, i)
						}
					}
					if s.last().ID == events {
						wentOn.Add(1)
					}
					if slices.ContainsFunc(s.events, func(e instance.Event) bool { return e.Version != s.events[0].Version }) {
						other.Add(1)
					}
				})
			}
			callers.Wait()
			is.Equal(other.Load(), int64(0))
			is.Equal(wentOn.Load(), map[bool]int64{true: streams}[c.goesOn])
		})
	}
}
