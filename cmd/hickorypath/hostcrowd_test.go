package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// The crowd of the tests with serve processes, and the memory in the settings of the process, which bounds it. The process is the test binary.
const (
	hostCrowdSize      = 120
	hostCrowdBody      = 4 << 20
	hostCrowdMemoryMiB = 192
)

// TestCrowdOfUnfinishedRequestsAtServe guards against a host of serve that runs out of memory because of many requests that stop just short of
// their end.
func TestCrowdOfUnfinishedRequestsAtServe(t *testing.T) {
	if testing.Short() {
		t.Skip("the race detector multiplies the memory of the process; .ci/run has a step of its own for crowds")
	}
	body := []byte(`{"model":"asesor","messages":[{"role":"user","content":"`)
	body = append(body, bytes.Repeat([]byte("a"), hostCrowdBody)...)
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body)+1)
	const chunked = "Transfer-Encoding: chunked\r\n"
	cases := []struct {
		name, path, framing string
		parts               [][]byte
	}{
		{"heads of many fields, without an end", "/v1/chat/completions", strings.Repeat("N:\r\n", 150_000), nil},
		{"length", "/v1/chat/completions", length, [][]byte{body}},
		{"length, in pieces", "/v1/chat/completions", length, [][]byte{body[:1<<20], body[1<<20 : 2<<20], body[2<<20:]}},
		{"one chunk", "/v1/chat/completions", chunked, [][]byte{chunk(body)[:len(body)]}},
		{"two chunks", "/v1/chat/completions", chunked, [][]byte{chunk(body[:2<<20]), chunk(body[2<<20:])}},
		{"plain service", "/dues", "Content-Length: 1000000\r\n", [][]byte{body[:999_999]}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := startHostProcesses(t, 1, map[string]any{"memory": hostCrowdMemoryMiB})
			h := p.hosts[0]
			var sent sync.WaitGroup
			for n := range hostCrowdSize {
				sent.Go(func() {
					conn, err := net.Dial("tcp", h.caller)
					if err != nil {
						return
					}
					t.Cleanup(func() { _ = conn.Close() })
					head := fmt.Appendf(nil, "POST %s HTTP/1.1\r\nHost: h\r\nX-Request-Id: crowd%d\r\nAuthorization: Bearer %s\r\n%s", c.path, n, p.keys[demoCustomer], c.framing)
					if c.parts != nil {
						head = append(head, "\r\n"...)
					}
					write(conn, append([][]byte{head}, c.parts...)...)
				})
			}
			sent.Wait()
			for range 5 { // the process reads what the crowd has sent meanwhile
				is.Equal(p.ask(h, "ordinary").status, http.StatusOK)
			}
			status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.cmd.Process.Pid))
			is.NoErr(err) // it lives
			_, rest, _ := strings.Cut(string(status), "VmHWM:")
			peak := 0
			_, err = fmt.Sscan(rest, &peak)
			is.NoErr(err)
			t.Logf("peak memory %d KiB", peak)
			is.True(peak < hostCrowdMemoryMiB<<10)
		})
	}
}
