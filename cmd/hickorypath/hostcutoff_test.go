package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickorypath/internal/standin/knownfailure"
	"hickorypath/internal/upstream/httpclient"
)

// uplink is the network link of a host to the upstreams, which can be cut.
type uplink struct {
	refuses bool // new connections are refused, and do not hang

	mu    sync.Mutex
	cut   chan struct{} // closed when the cut ends; nil unless the link is cut
	conns map[*uplinkConn]bool
}

// uplinkConn is a connection over an uplink. While that is cut, nothing arrives.
type uplinkConn struct {
	net.Conn
	link *uplink
	done chan struct{} // closed with the connection
	once sync.Once
}

// Read implements net.Conn.
func (c *uplinkConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	for cut := c.link.cutNow(); cut != nil; cut = c.link.cutNow() {
		select {
		case <-cut:
		case <-c.done:
			return 0, net.ErrClosed
		}
	}
	return n, err
}

// Close implements net.Conn.
func (c *uplinkConn) Close() error {
	c.once.Do(func() { close(c.done) })
	return c.Conn.Close()
}

func (l *uplink) cutNow() chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
}

// dial opens a connection.
func (l *uplink) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	if l.cutNow() != nil {
		if l.refuses {
			return nil, errors.New("refused")
		}
		ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
		defer cancel()
		<-ctx.Done()
		return nil, ctx.Err()
	}
	c, err := httpclient.NewDialFunc()(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	u := &uplinkConn{Conn: c, link: l, done: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[u] = true
	return u, nil
}

// setCut cuts the link or ends the cut. If it refuses connections, the open ones are closed.
func (l *uplink) setCut(isCut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !isCut {
		close(l.cut)
		l.cut = nil
		return
	}
	l.cut = make(chan struct{})
	if l.refuses {
		for c := range l.conns {
			_ = c.Close()
		}
	}
}

// TestCallersOfServeHostsThatAreCutOffAreNotServed guards against hosts of serve that reach no upstream and serve their callers far worse
// than hosts that do.
func TestCallersOfServeHostsThatAreCutOffAreNotServed(t *testing.T) {
	const aim, ratePerHost = 0.95, 12
	for _, refuses := range []bool{false, true} {
		t.Run(map[bool]string{false: "connections hang", true: "connections are refused"}[refuses], func(t *testing.T) {
			links := make([]*uplink, 3)
			w := newTestClusterWithFlags(t, demoFlags{engine: testEngine, enginesPerPool: 2, document: demoDocument, dial: func(host int) httpclient.DialFunc {
				links[host] = &uplink{refuses: refuses, conns: map[*uplinkConn]bool{}}
				return links[host].dial
			}})
			is := is.New(t)
			calls := []call{
				{method: http.MethodPost, path: "/v1/chat/completions", body: chatBody("asesor", true, "Why?"), key: w.keys[demoCustomer]},
				{method: http.MethodPost, path: "/v1/chat/completions", body: chatBody("libro", false, "Why?"), key: w.keys[demoCustomer]},
				{method: http.MethodPost, path: "/dues", body: "one", key: w.keys[demoCustomer]},
				{method: http.MethodGet, path: "/help"},
			}
			type counts [3]struct{ sent, served atomic.Int64 }
			send := func(name string, d time.Duration) *counts {
				var callers sync.WaitGroup
				n := &counts{}
				for host := range 3 {
					for i := range int(d.Seconds() * ratePerHost) {
						callers.Go(func() {
							<-time.After(time.Duration(i) * time.Second / ratePerHost)
							c := calls[i%len(calls)]
							c.header = http.Header{"X-Request-Id": {fmt.Sprintf("%s-%d-%d", name, host, i)}}
							ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
							defer cancel()
							a := w.send(ctx, host, c)
							n[host].sent.Add(1)
							if a.err == nil && a.status == http.StatusOK && (i%len(calls) > 0 || strings.Contains(string(a.body), "[DONE]")) {
								n[host].served.Add(1)
							} else if name != "detection" && name != "heal" {
								t.Logf("%s, host %d, %s: %d, %v, %.300s", name, host, c.path, a.status, a.err, a.body)
							}
						})
					}
				}
				callers.Wait()
				return n
			}
			send("before", time.Second)
			links[0].setCut(true)
			send("detection", time.Second)
			during := send("during", 3*time.Second)
			links[0].setCut(false)
			send("heal", time.Second)
			after := send("after", time.Second)
			ratio := func(c *counts, n int) float64 { return float64(c[n].served.Load()) / float64(c[n].sent.Load()) }
			t.Logf("during the cut %.2f, others %.2f and %.2f; after it %.2f", ratio(during, 0), ratio(during, 1), ratio(during, 2), ratio(after, 0))
			known, err := knownfailure.IsListed("TestCallersOfServeHostsThatAreCutOffAreNotServed")
			is.NoErr(err)
			cut, others := ratio(during, 0), min(ratio(during, 1), ratio(during, 2))
			if known && cut < aim*others {
				t.Skip("known fault, see KNOWN-RED.txt")
			}
			is.True(cut >= aim*others)
			is.True(others >= aim)
			is.True(ratio(after, 0) >= aim)
		})
	}
}
