package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickorypath/internal/standin/script"
)

// TestEndlessResponsesDoNotUseUpTheMemoryOfAHost guards against a host that keeps all that faulty upstreams send, and ends for want of memory
// with the requests of its other callers.
func TestEndlessResponsesDoNotUseUpTheMemoryOfAHost(t *testing.T) {
	const (
		memory  = 134 << 10 // of the host, in KiB
		callers = 100
	)
	block := strings.Repeat("a", 64<<10)
	head := "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s\r\n"
	cases := []struct {
		name, route, begin string
		calls              int // the upstream gets at least so many requests before it is avoided
	}{
		{"body", "safe", head + "\r\n", callers},
		{"event of a stream", "talk", head + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\ndata: ", 20},
		{"head", "safe", "HTTP/1.1 200 OK\r\nX-Field: ", 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newGatewayFleet(t, 25, 1, 1, script.Action{Bytes: c.begin, Endless: block, Pause: 10 * time.Millisecond})
			f.services = []string{"sound"}
			sound, err := script.New("Request-Id", script.Action{Bytes: gatewayAnswer})
			is.NoErr(err)
			t.Cleanup(sound.Close)
			put := func(id, service, address string) {
				value := fmt.Sprintf(`{"service":%q,"address":%q,"zone":"z","slots":%d,"state":"ready","seq":2}`, service, address, callers)
				is.NoErr(f.platform.Put(context.Background(), "servers/"+id, []byte(value)))
			}
			put("u0", "svc", f.servers[0].Addr())
			put("sound", "sound", sound.Addr())
			f.configure("k1")
			h := f.hosts[0]
			f.waitUntil(func() bool { return h.ask("sound", "first", "k1") == http.StatusOK })
			var asked sync.WaitGroup
			for n := range callers {
				asked.Go(func() { h.ask(c.route, fmt.Sprint("endless", n), "k1") })
			}
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				asked.Wait()
			}()
			served := 0
			for isRunning := true; isRunning; served++ {
				is.Equal(h.ask("sound", fmt.Sprint("sound", served), "k1"), http.StatusOK)
				select {
				case <-ended:
					isRunning = false
				default:
				}
			}
			is.True(len(f.servers[0].Calls()) >= c.calls)
			status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.cmd.Process.Pid))
			is.NoErr(err)
			_, rest, _ := strings.Cut(string(status), "VmHWM:")
			peak := 0
			_, err = fmt.Sscan(rest, &peak)
			is.NoErr(err)
			t.Logf("the host used %d KiB at most, and %d sound requests were served meanwhile", peak, served)
			is.True(peak < memory)
		})
	}
}
