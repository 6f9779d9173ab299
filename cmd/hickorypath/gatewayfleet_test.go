package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/samber/lo"

	"hickorypath/internal/core/clock"
	"hickorypath/internal/standin/platformapi"
	"hickorypath/internal/standin/proxy"
	"hickorypath/internal/standin/script"
)

// gatewayFleet is a fleet of real gateway processes on loopback addresses. The platform is simulated, and the upstreams
// are scripted.
type gatewayFleet struct {
	t         *testing.T
	binary    string
	platform  *platformapi.Platform
	server    *httptest.Server
	hosts     []*gatewayHost
	servers   []*script.Server
	version   int
	services  []string // besides svc, each with an idempotent route of the same name
	timeoutMs int      // of the routes other than talk

	limits map[string]any // of the configuration

	addresses string // first three bytes of the hosts' addresses, with a trailing dot
}

// gatewayHost is one gateway process.
type gatewayHost struct {
	fleet    *gatewayFleet
	name     string
	ip       string
	settings string
	cmd      *exec.Cmd
	done     chan struct{}
	log      *lockedBuffer
}

// lockedBuffer is an io.Writer that can be read while a process writes to it. It keeps all written bytes, or the last
// limit bytes.
type lockedBuffer struct {
	limit int // number of last bytes to keep; 0 keeps all
	mu    sync.Mutex
	data  []byte
}

// Write implements io.Writer.
func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.data = append(b.data, p...)
	if b.limit > 0 {
		b.data = b.data[max(len(b.data)-b.limit, 0):]
	}
	return len(p), nil
}

// Reset discards the kept bytes.
func (b *lockedBuffer) Reset() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.data = nil
}

// String returns the kept bytes.
func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return string(b.data)
}

// gatewayAnswer is the answer of the scripted upstreams.
const gatewayAnswer = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s\r\nContent-Length: 2\r\n\r\nok"

// newGatewayFleet starts hosts and upstreams, and waits until all hosts are ready. Each test uses its own value for net,
// the second byte of the hosts' loopback addresses, so that fleets of different tests don't share addresses.
func newGatewayFleet(t *testing.T, net, hosts, upstreams int, actions ...script.Action) *gatewayFleet {
	t.Helper()
	is := is.New(t)
	f := &gatewayFleet{t: t, binary: buildGateway(t), platform: platformapi.New(clock.NewSystem()), addresses: reserveAddresses(t, net), timeoutMs: 5000}
	f.server = httptest.NewServer(f.platform)
	t.Cleanup(f.server.Close)
	f.configure("k1")
	for i := range upstreams {
		s, err := script.New("Request-Id", actions...)
		is.NoErr(err)
		t.Cleanup(s.Close)
		f.servers = append(f.servers, s)
		f.putUpstreamEntry(i, "ready")
	}
	for i := range hosts {
		f.hosts = append(f.hosts, f.newHost(i+1))
	}
	for _, h := range f.hosts {
		h.start()
	}
	for _, h := range f.hosts {
		f.waitUntil(h.ready)
	}
	return f
}

var gatewayBinary = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "gateway")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "hickorypath")
	out, err := exec.Command("go", "build", "-o", path, ".").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return path, nil
})

func buildGateway(t *testing.T) string {
	t.Helper()
	path, err := gatewayBinary()
	is.New(t).NoErr(err)
	return path
}

// configure writes the next version of the configuration, which has one customer with these keys.
func (f *gatewayFleet) configure(keys ...string) {
	f.version++
	for !f.tryConfigure(keys...) { // the store's answer may be lost; writing the same version again changes nothing
	}
}

// tryConfigure writes the current version of the configuration once and reports whether the store acknowledged the write.
func (f *gatewayFleet) tryConfigure(keys ...string) bool {
	route := func(name, kind, service string) map[string]any {
		return map[string]any{"name": name, "host": "h.example", "prefix": "/" + name + "/", "kind": kind, "timeoutMs": f.timeoutMs, "maxAttempts": 2, "service": service}
	}
	stream := route("talk", "streaming", "svc")
	stream["resumable"], stream["targetLatencyMs"], stream["timeoutMs"] = true, 2000, 15000
	names := append([]string{"svc"}, f.services...)
	routes := append([]any{route("once", "non_idempotent", "svc"), route("safe", "idempotent", "svc"), stream},
		lo.Map(f.services, func(name string, _ int) any { return route(name, "idempotent", name) })...)
	data, err := json.Marshal(map[string]any{
		"version": f.version,
		"routes":  routes,
		"services": lo.Map(names, func(name string, _ int) any {
			return map[string]any{"name": name, "healthPath": "/health", "maxConns": 100}
		}),
		"tenants": []any{map[string]any{"name": "club", "apiKeys": keys}},
		"limits":  f.limits,
	})
	is.New(f.t).NoErr(err)
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	return f.platform.Put(ctx, "op/config", data) == nil
}

// putUpstreamEntry writes the entry of the i-th upstream to the store.
func (f *gatewayFleet) putUpstreamEntry(i int, state string) {
	value := fmt.Sprintf(`{"service":"svc","address":%q,"zone":"z","slots":8,"state":%q,"seq":1}`, f.servers[i].Addr(), state)
	is.New(f.t).NoErr(f.platform.Put(context.Background(), fmt.Sprintf("servers/u%d", i), []byte(value)))
}

// reserveAddresses returns the first three bytes of loopback addresses that no other fleet uses until the test ends, that of
// another test process included.
func reserveAddresses(t *testing.T, second int) string {
	t.Helper()
	for third := range 256 {
		prefix := fmt.Sprintf("127.%d.%d.", second, third)
		ln, err := net.Listen("tcp4", prefix+"254:7999")
		if err == nil {
			t.Cleanup(func() { _ = ln.Close() })
			return prefix
		}
	}
	t.Fatal("all loopback addresses are in use")
	return ""
}

// newHost returns the n-th host, which is not started.
func (f *gatewayFleet) newHost(n int) *gatewayHost {
	ip, name := f.addresses+strconv.Itoa(n), fmt.Sprintf("h%d", n)
	address := strings.TrimPrefix(f.server.URL, "http://")
	h := &gatewayHost{fleet: f, name: name, ip: ip, settings: filepath.Join(f.t.TempDir(), "settings.json"), log: &lockedBuffer{}}
	text := fmt.Sprintf(`{"node":%q,"zone":"z","zones":{"z":"r"},"bootstrap":true,"ip":%q,"listen":{"front":"%s:8000","ready":"%s:8001"},
	 "internalPorts":[7340,7355],"limits":{"cpuShare":0.4,"cores":1,"memoryMb":134,"maxFds":4100},
	 "bounds":{"graceS":8,"leaseMs":3000,"usageWindowS":1,"usageLateS":10,"retryBudgetRatio":0.2,"budgetWindowS":10,"budgetMinRetries":50},
	 "platform":{"address":%q},"cloud":{"address":%q,"duties":["usage_report"]}}`, name, ip, ip, ip, address, address)
	is.New(f.t).NoErr(os.WriteFile(h.settings, []byte(text), 0o600))
	return h
}

// start starts the process.
func (h *gatewayHost) start() {
	h.cmd = exec.Command(h.fleet.binary, "gateway")
	h.cmd.Env = append(os.Environ(), "HICKORYPATH_BOOT="+h.settings)
	h.cmd.Stdout, h.cmd.Stderr = h.log, h.log
	is.New(h.fleet.t).NoErr(h.cmd.Start())
	cmd, done := h.cmd, make(chan struct{})
	h.done = done
	go func() {
		defer close(done)
		_ = cmd.Wait() // tests check the answers that callers get, not the exit status
	}()
	h.fleet.t.Cleanup(func() {
		_ = cmd.Process.Kill() // the process may have exited already
		<-done
	})
}

// kill ends the process at once and forgets its log.
func (h *gatewayHost) kill() {
	is.New(h.fleet.t).NoErr(h.cmd.Process.Kill())
	<-h.done
	h.log.Reset()
}

// pause stops the process and waits until all its threads have stopped. A thread that runs may answer for a while after the signal.
func (h *gatewayHost) pause() {
	is := is.New(h.fleet.t)
	is.NoErr(h.cmd.Process.Signal(syscall.SIGSTOP))
	h.fleet.waitUntil(func() bool {
		threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", h.cmd.Process.Pid))
		is.NoErr(err)
		return !slices.ContainsFunc(threads, func(path string) bool {
			data, err := os.ReadFile(path)
			_, state, _ := strings.Cut(string(data), ") ") // follows the name of the program
			return err == nil && !strings.HasPrefix(state, "T")
		})
	})
}

// restartBehindProxy restarts the process with a proxy in front of the store, and returns the proxy.
func (h *gatewayHost) restartBehindProxy() *proxy.Proxy {
	is := is.New(h.fleet.t)
	address := strings.TrimPrefix(h.fleet.server.URL, "http://")
	p, err := proxy.New(address)
	is.NoErr(err)
	h.fleet.t.Cleanup(p.Close)
	data, err := os.ReadFile(h.settings)
	is.NoErr(err)
	is.NoErr(os.WriteFile(h.settings, []byte(strings.ReplaceAll(string(data), address, p.Addr())), 0o600))
	h.kill()
	h.start()
	h.fleet.waitUntil(h.ready)
	return p
}

// ready reports whether the host's readiness check succeeds.
func (h *gatewayHost) ready() bool {
	resp, err := http.Get("http://" + h.ip + ":8001/ready")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// ask sends a request on a new connection and returns the status, or 0 without a complete answer.
func (h *gatewayHost) ask(route, id, key string) int {
	c, err := net.DialTimeout("tcp4", h.ip+":8000", time.Second)
	if err != nil {
		return 0
	}
	defer c.Close()
	return askOn(c, route, id, key)
}

func askOn(c net.Conn, route, id, key string) int {
	_, err := fmt.Fprintf(c, "POST /%s/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\nAuthorization: Bearer %s\r\nDeadline-Ms: 5000\r\nContent-Length: 0\r\n\r\n", route, id, key)
	if err != nil {
		return 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.ReadAll(resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// waitUntil polls until cond is true. It has no timeout of its own; the timeout of go test ends a test that waits forever.
func (f *gatewayFleet) waitUntil(cond func() bool) {
	f.t.Helper()
	for !cond() {
		<-time.After(10 * time.Millisecond)
	}
}
