package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"hickorypath/internal/standin/script"
)

// The crowd and the bounds of the crowd tests. The bounds are the limits in the host's own settings.
const (
	crowdSize        = 120
	crowdBodyLimit   = 2 << 20
	crowdMemoryMiB   = 96
	crowdDescriptors = 700
	// crowdIdleConns is more than the descriptors of the host.
	crowdIdleConns = 900
)

// crowdFleet is a fleet of one gateway process with little memory and few descriptors. The routes safe and once lead to svc, whose only
// upstream follows a script; the route sound leads to a sound upstream.
type crowdFleet struct {
	*gatewayFleet
	host  *gatewayHost
	sound *script.Server
}

func newCrowdFleet(t *testing.T, net int, actions ...script.Action) *crowdFleet {
	t.Helper()
	if testing.Short() {
		t.Skip("the process under test is built without the race detector; .ci/run has a step of its own for crowds")
	}
	is := is.New(t)
	f := &crowdFleet{gatewayFleet: newGatewayFleet(t, net, 0, 1, actions...)}
	f.services = []string{"sound"}
	f.limits = map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": crowdBodyLimit, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
	sound, err := script.New("Request-Id", script.Action{Bytes: gatewayAnswer})
	is.NoErr(err)
	t.Cleanup(sound.Close)
	f.sound = sound
	value := fmt.Sprintf(`{"service":"sound","address":%q,"zone":"z","slots":%d,"state":"ready","seq":1}`, sound.Addr(), crowdSize)
	is.NoErr(f.platform.Put(context.Background(), "servers/sound", []byte(value)))
	value = fmt.Sprintf(`{"service":"svc","address":%q,"zone":"z","slots":%d,"state":"ready","seq":2}`, f.servers[0].Addr(), crowdSize)
	is.NoErr(f.platform.Put(context.Background(), "servers/u0", []byte(value)))
	f.configure("k1")
	f.host = f.newHost(1)
	data, err := os.ReadFile(f.host.settings)
	is.NoErr(err)
	text := strings.NewReplacer(`"memoryMb":134`, fmt.Sprintf(`"memoryMb":%d`, crowdMemoryMiB), `"maxFds":4100`, fmt.Sprintf(`"maxFds":%d`, crowdDescriptors)).Replace(string(data))
	is.NoErr(os.WriteFile(f.host.settings, []byte(text), 0o600))
	f.hosts = append(f.hosts, f.host)
	f.host.start()
	f.waitUntil(f.host.ready)
	f.waitUntil(func() bool { return f.host.ask("sound", "first", "k1") == http.StatusOK })
	return f
}

// unreadBytes returns how many bytes the kernel has received for the host that the process has not read.
func (f *crowdFleet) unreadBytes() (n int) {
	data, err := os.ReadFile("/proc/net/tcp")
	is.New(f.t).NoErr(err)
	ip := net.ParseIP(f.host.ip).To4()
	local := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], 8000)
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		if len(fields) < 5 || fields[1] != local || fields[3] != "01" { // established
			continue
		}
		var tx, rx int
		_, err := fmt.Sscanf(fields[4], "%X:%X", &tx, &rx)
		is.New(f.t).NoErr(err)
		n += rx
	}
	return n
}

// settle waits until the process reads nothing more of what the crowd has sent.
func (f *crowdFleet) settle() {
	const polls = 10 // without a change
	last, same := -1, 0
	f.waitUntil(func() bool {
		if n := f.unreadBytes(); n == last {
			same++
		} else {
			last, same = n, 0
		}
		return same >= polls
	})
}

// check checks that the process lives, answers ordinary requests and stays within its memory and descriptors.
func (f *crowdFleet) check() {
	f.t.Helper()
	is := is.New(f.t)
	f.settle()
	is.Equal(f.host.ask("sound", "ordinary", "k1"), http.StatusOK)
	select {
	case <-f.host.done:
		f.t.Fatal("the process has ended:\n", f.host.log.String())
	default:
	}
	pid := f.host.cmd.Process.Pid
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	is.NoErr(err)
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	peak := 0
	_, err = fmt.Sscan(rest, &peak)
	is.NoErr(err)
	fds, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	is.NoErr(err)
	f.t.Logf("peak memory %d KiB, %d descriptors", peak, len(fds))
	is.True(peak < crowdMemoryMiB<<10)
	is.True(len(fds) <= crowdDescriptors)
}

// crowdHead returns the head of a request of the crowd, with the fields that frame its body.
func crowdHead(n int, route, key, framing string) []byte {
	return fmt.Appendf(nil, "POST /%s/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: crowd%d\r\nAuthorization: Bearer %s\r\nDeadline-Ms: 5000\r\n%s\r\n", route, n, key, framing)
}

// A crowdMember writes what one connection of the crowd sends. It leaves the connection open.
type crowdMember func(c net.Conn, n int)

// send opens the connections of the crowd, all at once, and returns when each has sent its bytes or was refused. The connections stay open
// until the test ends.
func (f *crowdFleet) send(size int, from func(n int) string, member crowdMember) {
	f.t.Helper()
	f.sendTo(8000, size, from, member)
}

func (f *crowdFleet) sendTo(port, size int, from func(n int) string, member crowdMember) {
	var sent sync.WaitGroup
	for n := range size {
		sent.Go(func() {
			dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from(n))}}
			c, err := dialer.Dial("tcp4", net.JoinHostPort(f.host.ip, strconv.Itoa(port)))
			if err != nil {
				return
			}
			f.t.Cleanup(func() { _ = c.Close() })
			member(c, n)
		})
	}
	sent.Wait()
}

func fromOneAddress(int) string { return "127.0.0.1" }

func fromManyAddresses(n int) string { return fmt.Sprintf("127.0.1.%d", n%250+1) }

// write writes parts until one cannot be written. A host that refuses a request closes its connection.
func write(c net.Conn, parts ...[]byte) {
	for _, p := range parts {
		if _, err := c.Write(p); err != nil {
			return
		}
	}
}

func chunk(data []byte) []byte { return fmt.Appendf(nil, "%x\r\n%s\r\n", len(data), data) }

// TestCrowdOfUnfinishedRequests guards against a process that runs out of memory because of many requests that stop just short of their
// end, or that are far too long.
func TestCrowdOfUnfinishedRequests(t *testing.T) {
	body := bytes.Repeat([]byte("a"), crowdBodyLimit)
	length := fmt.Sprintf("Content-Length: %d\r\n", crowdBodyLimit)
	const chunked = "Transfer-Encoding: chunked\r\n"
	short := body[:len(body)-1]
	halves := chunk(body[:len(body)/2])
	wholeChunk := chunk(body)
	tiny := bytes.Repeat([]byte("1\r\na\r\n"), 200_000)
	extensions := append([]byte("1;x="), append(bytes.Repeat([]byte("e"), 4000), "\r\na\r\n"...)...)
	fields := bytes.Repeat([]byte("a:\r\n"), 4000)
	withLength := func(key string) crowdMember {
		return func(c net.Conn, n int) { write(c, crowdHead(n, "safe", key, length), short) }
	}
	inPieces := func(c net.Conn, n int) {
		write(c, crowdHead(n, "safe", "k1", length))
		for p := 0; p < len(short); p += len(body) / 16 {
			write(c, short[p:min(p+len(body)/16, len(short))])
		}
	}
	twoChunks := func(c net.Conn, n int) { write(c, crowdHead(n, "safe", "k1", chunked), halves, halves) }
	tinyChunks := func(c net.Conn, n int) { write(c, crowdHead(n, "safe", "k1", chunked), tiny) }
	endlessHead := func(c net.Conn, n int) {
		write(c, bytes.TrimSuffix(crowdHead(n, "safe", "k1", ""), []byte("\r\n")), []byte("X-Long: "), body[:15<<10])
	}
	farTooLong := func(c net.Conn, n int) {
		write(c, crowdHead(n, "safe", "k1", "Content-Length: 1073741824\r\n"), body, body)
	}
	cases := []struct {
		name   string
		from   func(n int) string
		member crowdMember
	}{
		{"length", fromOneAddress, withLength("k1")},
		{"length, many addresses", fromManyAddresses, withLength("k1")},
		{"length, unknown key", fromOneAddress, withLength("k9")},
		{"length, in pieces", fromOneAddress, inPieces},
		{"length, with 100-continue", fromOneAddress, func(c net.Conn, n int) {
			write(c, crowdHead(n, "safe", "k1", length+"Expect: 100-continue\r\n"), short)
		}},
		{"length, on a used connection", fromOneAddress, func(c net.Conn, n int) {
			_ = askOn(c, "sound", fmt.Sprint("used", n), "k1") // the crowd may be refused
			write(c, crowdHead(n, "safe", "k1", length), short)
		}},
		{"two large chunks", fromOneAddress, twoChunks},
		{"one chunk of the whole size", fromOneAddress, func(c net.Conn, n int) {
			write(c, crowdHead(n, "safe", "k1", chunked), wholeChunk[:len(wholeChunk)-3])
		}},
		{"chunks over the limit", fromOneAddress, func(c net.Conn, n int) {
			write(c, crowdHead(n, "safe", "k1", chunked), halves, halves, halves)
		}},
		{"chunks of one byte", fromOneAddress, tinyChunks},
		{"chunks with long extensions", fromOneAddress, func(c net.Conn, n int) {
			write(c, crowdHead(n, "safe", "k1", chunked), bytes.Repeat(extensions, 100))
		}},
		{"far over the limit, announced", fromOneAddress, farTooLong},
		{"far over the limit, sent", fromOneAddress, func(c net.Conn, n int) {
			write(c, crowdHead(n, "safe", "k1", chunked), wholeChunk, wholeChunk, wholeChunk, wholeChunk)
		}},
		{"heads without an end", fromOneAddress, endlessHead},
		{"heads of many fields", fromOneAddress, func(c net.Conn, n int) {
			write(c, bytes.TrimSuffix(crowdHead(n, "safe", "k1", length), []byte("\r\n")), fields[:15<<10], []byte("\r\n"), short)
		}},
		{"a mix", fromManyAddresses, func(c net.Conn, n int) {
			[]crowdMember{withLength("k1"), inPieces, twoChunks, tinyChunks, endlessHead, farTooLong}[n%6](c, n)
		}},
		{"back at once when refused", fromOneAddress, func(c net.Conn, n int) {
			address := c.RemoteAddr().String()
			for range 4 {
				write(c, crowdHead(n, "safe", "k1", length), short)
				if n%2 == 0 {
					return // it stays open
				}
				_ = c.Close()
				var err error
				if c, err = net.Dial("tcp4", address); err != nil {
					return
				}
			}
			_ = c.Close()
		}},
	}
	for n, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newCrowdFleet(t, 60+n, script.Action{Bytes: gatewayAnswer})
			f.send(crowdSize, c.from, c.member)
			f.check()
		})
	}
}

// TestCrowdOfWholeRequests guards against a process that runs out of memory because of many large requests that are under way at once, or
// whose responses are not read.
func TestCrowdOfWholeRequests(t *testing.T) {
	body := bytes.Repeat([]byte("a"), crowdBodyLimit)
	response := strings.Repeat("r", crowdBodyLimit)
	cases := []struct {
		name   string
		action script.Action
		size   int // of each request's body
	}{
		{"answered", script.Action{Bytes: gatewayAnswer}, crowdBodyLimit},
		{"never answered", script.Action{Hang: true}, crowdBodyLimit},
		{"large responses that are not read", script.Action{Bytes: fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s\r\nContent-Length: %d\r\n\r\n%s", len(response), response)}, 0},
	}
	for n, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newCrowdFleet(t, 80+n, c.action)
			f.send(crowdSize, fromOneAddress, func(conn net.Conn, n int) {
				write(conn, crowdHead(n, "safe", "k1", fmt.Sprintf("Content-Length: %d\r\n", c.size)), body[:c.size])
			})
			f.check()
		})
	}
}

// TestCrowdOfUpstreamsThatDoNotRead guards against a process that runs out of memory because of requests whose upstream does not read them.
func TestCrowdOfUpstreamsThatDoNotRead(t *testing.T) {
	f := newCrowdFleet(t, 84, script.Action{Bytes: gatewayAnswer})
	l, err := net.Listen("tcp4", "127.0.0.1:0") // connections are opened in its backlog, and nothing reads from them
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	value := fmt.Sprintf(`{"service":"svc","address":%q,"zone":"z","slots":%d,"state":"ready","seq":1,"born":2}`, l.Addr(), crowdSize)
	is.New(t).NoErr(f.platform.Put(context.Background(), "servers/u0", []byte(value)))
	f.waitUntil(func() bool { return strings.Contains(f.host.log.String(), l.Addr().String()) })
	body := bytes.Repeat([]byte("a"), crowdBodyLimit)
	f.send(crowdSize, fromOneAddress, func(c net.Conn, n int) {
		write(c, crowdHead(n, "safe", "k1", fmt.Sprintf("Content-Length: %d\r\n", len(body))), body)
	})
	f.check()
}

// TestCrowdOfIdleConnections guards against connections that are left idle and take all descriptors, so that callers, the store and upstreams
// get none.
func TestCrowdOfIdleConnections(t *testing.T) {
	cases := []struct {
		name   string
		member crowdMember
	}{
		{"without a request", func(net.Conn, int) {}},
		{"after a request", func(c net.Conn, n int) { _ = askOn(c, "sound", fmt.Sprint("idle", n), "k1") }},
		{"in a head", func(c net.Conn, n int) { write(c, crowdHead(n, "safe", "k1", "")[:60]) }},
	}
	for n, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newCrowdFleet(t, 86+n, script.Action{Bytes: gatewayAnswer})
			f.send(crowdIdleConns, fromOneAddress, c.member)
			f.check()
		})
	}
}

// TestCrowdOnInternalPorts guards against clients of the ports for readiness, metrics and other hosts that take all descriptors.
func TestCrowdOnInternalPorts(t *testing.T) {
	cases := []struct {
		name   string
		port   int
		member crowdMember
	}{
		{"readiness", 8001, func(c net.Conn, n int) { write(c, []byte("GET /ready HTTP/1.1\r\nHost: h\r\n\r\n")) }},
		{"metrics", metricsPort, func(c net.Conn, n int) {
			write(c, []byte("GET /ready HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n"))
		}},
		{"fetches", 7341, func(net.Conn, int) {}},
		{"relays", 7340 + relayPortOffset, func(c net.Conn, n int) { write(c, crowdHead(n, "safe", "k1", "")[:60]) }},
	}
	for n, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newCrowdFleet(t, 92+n, script.Action{Bytes: gatewayAnswer})
			f.sendTo(c.port, crowdIdleConns, fromOneAddress, c.member)
			f.check()
		})
	}
}

// TestRequestAtEachLimitIsServed guards against limits on a crowd that refuse a single request which keeps to the limits of the configuration.
func TestRequestAtEachLimitIsServed(t *testing.T) {
	f := newCrowdFleet(t, 90, script.Action{Bytes: gatewayAnswer})
	body := bytes.Repeat([]byte("a"), crowdBodyLimit)
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	const chunked = "Transfer-Encoding: chunked\r\n"
	tiny := append(bytes.Repeat([]byte("1\r\na\r\n"), 200_000), "0\r\n\r\n"...)
	head := crowdHead(0, "sound", "k1", "Content-Length: 0\r\n")
	long := fmt.Sprintf("X-Long: %s\r\n\r\n", strings.Repeat("l", 16384-len(head)-len("X-Long: \r\n")))
	cases := []struct {
		name  string
		parts [][]byte
	}{
		{"length", [][]byte{crowdHead(1, "sound", "k1", length), body}},
		{"length, in pieces", [][]byte{crowdHead(2, "sound", "k1", length), body[:1], body[1:100], body[100 : 1<<20], body[1<<20:]}},
		{"one chunk", [][]byte{crowdHead(3, "sound", "k1", chunked), chunk(body), []byte("0\r\n\r\n")}},
		{"chunks of one byte", [][]byte{crowdHead(4, "sound", "k1", chunked), tiny}},
		{"head", [][]byte{head[:len(head)-2], []byte(long)}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			conn, err := net.Dial("tcp4", f.host.ip+":8000")
			is.NoErr(err)
			defer conn.Close()
			write(conn, c.parts...)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			defer resp.Body.Close()
			_, err = io.ReadAll(resp.Body)
			is.NoErr(err)
			is.Equal(resp.StatusCode, http.StatusOK)
		})
	}
	calls := f.sound.Calls()
	for n, want := range []int{len(body), len(body), len(body), 200_000} {
		is.New(t).Equal(len(calls[len(calls)-len(cases)+n].Body), want)
	}
}
