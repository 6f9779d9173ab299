package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/core/settings"
	"hickorypath/internal/operator/client"
	standinengine "hickorypath/internal/standin/engine"
	standinservice "hickorypath/internal/standin/service"
	"hickorypath/internal/standin/testbed"
	"hickorypath/internal/state/roster"
)

// unreachableURL is the base URL of a platform that refuses connections.
const unreachableURL = "http://127.0.0.1:1"

// serveVariable is an environment variable. When it is set, the test binary runs one host with the settings file at the
// variable's path, in place of the tests.
const serveVariable = "HICKORYPATH_TEST_SERVE"

// maxLogBytes is how much of the end of a host's log is kept. It is large enough for a dump of all goroutines.
const maxLogBytes = 256 << 10

// hostProcess is one host that runs in a separate process.
type hostProcess struct {
	name   string
	cmd    *exec.Cmd
	caller string
	admin  string
	peer   string
	log    lockedBuffer // the end of the log
}

// hostProcesses is a set of hosts in separate processes. The platform and the upstreams are simulated in the test's
// process.
type hostProcesses struct {
	t        *testing.T
	site     *testbed.Testbed
	ledger   *standinservice.Service
	platform string
	hosts    []*hostProcess
	keys     map[string]string
	http     *http.Client
	started  int
	extra    map[string]any  // further fields of the settings
	known    []settings.Host // hosts that the settings of a new host list, so that it can join without the platform
}

func newHostProcesses(t *testing.T, hosts int) *hostProcesses {
	t.Helper()
	t.Parallel()
	return startHostProcesses(t, hosts, nil)
}

// startHostProcesses starts hosts whose settings files have further fields.
func startHostProcesses(t *testing.T, hosts int, extra map[string]any) *hostProcesses {
	t.Helper()
	is := is.New(t)
	p := &hostProcesses{t: t, extra: extra, keys: map[string]string{}, http: &http.Client{Timeout: testTimeout}}
	p.site = testbed.New(testbed.Options{Engine: func(pool string) standinengine.Options {
		o := testEngine
		o.Model = pool
		return o
	}})
	t.Cleanup(p.site.Close)
	ln, err := net.Listen("tcp", anyPort)
	is.NoErr(err)
	p.platform = "http://" + ln.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = p.site.Serve(ctx, ln) }()
	for range 2 {
		is.NoErr(p.site.AddEngine("asesor", "norte-a", false))
	}
	p.ledger, err = p.site.AddService("ledger", "norte-a", "")
	is.NoErr(err)
	for range hosts {
		p.start()
	}
	p.prepare()
	return p
}

// start starts one more host, waits until it serves, and adds the host to the simulated roster.
func (p *hostProcesses) start() *hostProcess {
	p.t.Helper()
	is := is.New(p.t)
	p.started++
	h := &hostProcess{name: fmt.Sprintf("host-%d", p.started), log: lockedBuffer{limit: maxLogBytes}}
	path := filepath.Join(p.t.TempDir(), h.name+".json")
	is.NoErr(os.WriteFile(path, p.settings(h.name), 0o600))
	h.cmd = exec.Command(os.Args[0])
	h.cmd.Env = append(os.Environ(), serveVariable+"="+path)
	log, err := h.cmd.StderrPipe()
	is.NoErr(err)
	is.NoErr(h.cmd.Start())
	p.t.Cleanup(func() { _ = h.cmd.Process.Kill(); _ = h.cmd.Wait() })
	is.NoErr(h.readAddresses(log))
	p.site.Roster().Put(roster.NewHost(h.name, "norte-a", h.peer, roster.Live))
	p.hosts = append(p.hosts, h)
	return h
}

func (p *hostProcesses) settings(name string) []byte {
	ledger := p.site.Upstreams()[slices.IndexFunc(p.site.Upstreams(), func(u testbed.Upstream) bool { return u.Pool == "ledger" })]
	fields := map[string]any{
		"host": name, "zone": "norte-a", "environment": "test",
		"caller": settings.Listener{Listen: anyPort}, "admin": settings.Listener{Listen: anyPort},
		"operators": []settings.Operator{{Name: "demo", Token: demoToken}}, "peer": settings.Peer{Listen: anyPort, Secret: demoSecret, Hosts: p.known},
		"platform": settings.Platform{
			Store: p.platform + "/store", Provision: p.platform + "/provision",
			Usage: p.platform + "/usage", Roster: p.platform + "/roster",
		},
		"services": []settings.Service{{Pool: "ledger", Zone: "norte-a", Addr: ledger.Addr}},
		"timeout":  map[string]string{"lease": "2s", "order": "600ms", "store": "500ms"},
		"window":   "1s", "drain": map[string]string{"notice": "100ms"}, "log": "info",
	}
	maps.Copy(fields, p.extra)
	data, _ := json.Marshal(fields)
	return data
}

// readAddresses waits for the log line that contains the host's addresses. It then copies the rest of the log to h.log
// in the background.
func (h *hostProcess) readAddresses(log io.Reader) error {
	lines := bufio.NewScanner(log)
	for lines.Scan() {
		var line struct{ Text, Caller, Admin, Peer string }
		if json.Unmarshal(lines.Bytes(), &line) == nil && line.Text == "serving requests" {
			h.caller, h.admin, h.peer = line.Caller, line.Admin, line.Peer
			go func() { _, _ = io.Copy(&h.log, log) }()
			return nil
		}
	}
	return fmt.Errorf("%s exited before it served requests", h.name)
}

func (p *hostProcesses) client(h *hostProcess) *client.Client {
	return client.New(client.Options{URL: "http://" + h.admin, Token: demoToken})
}

// prepare applies the demo's document, issues a key, and waits until all hosts answer requests with that key.
func (p *hostProcesses) prepare() {
	p.t.Helper()
	c := p.client(p.hosts[0])
	ctx := p.t.Context()
	p.waitUntil(func() bool {
		_, err := c.Put(ctx, client.DocumentChange{Source: demoDocument, File: demoDocName})
		return err == nil || kind.Of(err) == kind.Conflict
	})
	k, err := c.Issue(ctx, demoCustomer)
	is.New(p.t).NoErr(err)
	p.keys[demoCustomer] = k.Clear
	for _, h := range p.hosts {
		p.waitUntil(func() bool { return p.ask(h, "hello").status == http.StatusOK })
	}
}

// waitUntil polls until done returns true. It fails the test after testTimeout.
func (p *hostProcesses) waitUntil(done func() bool) {
	p.t.Helper()
	w := &testCluster{}
	ctx, cancel := context.WithTimeout(p.t.Context(), testTimeout)
	defer cancel()
	w.waitUntil(ctx, p.t, done)
}

// waitFor is like waitUntil, but returns false after testTimeout in place of failing the test.
func (p *hostProcesses) waitFor(done func() bool) bool {
	end := time.Now().Add(testTimeout)
	for !done() {
		if time.Now().After(end) {
			return false
		}
		<-time.After(demoPollInterval)
	}
	return true
}

// dumpGoroutines ends a host with SIGQUIT and logs the end of the host's log, which contains the stacks of all its
// goroutines.
func (p *hostProcesses) dumpGoroutines(h *hostProcess) {
	p.t.Helper()
	_ = h.cmd.Process.Signal(syscall.SIGQUIT)
	_ = p.waitFor(func() bool {
		return strings.Contains(h.log.String(), "rip ") || strings.Contains(h.log.String(), "pc ")
	})
	p.t.Logf("%s", h.log.String())
}

func (p *hostProcesses) send(h *hostProcess, c call) answer {
	d := &demo{}
	w := &testCluster{demo: d, http: p.http}
	return w.sendTo(p.t.Context(), "http://"+h.caller, c)
}

func (p *hostProcesses) ask(h *hostProcess, text string) answer {
	return p.send(h, call{http.MethodPost, "/v1/chat/completions", chatBody("asesor", false, text), p.keys[demoCustomer], nil})
}

// waitServing sends requests to a host that is starting until the host answers one. The only other status that the host
// may return is 503.
func (p *hostProcesses) waitServing(h *hostProcess, text string) {
	p.t.Helper()
	p.waitUntil(func() bool {
		a := p.ask(h, text)
		if a.status != http.StatusOK && a.status != http.StatusServiceUnavailable {
			p.t.Fatalf("a starting host answered with status %d: %s", a.status, a.body)
		}
		return a.status == http.StatusOK
	})
}

// leaseHolder returns the host, among these hosts, that reports to hold a lease itself, or nil.
func (p *hostProcesses) leaseHolder(name string, among []*hostProcess) *hostProcess {
	for _, h := range among {
		s, err := p.client(h).Status(p.t.Context())
		if err != nil {
			continue
		}
		for _, l := range s.Leases {
			if l.Name == name && l.Holder == h.name {
				return h
			}
		}
	}
	return nil
}

// waitLeaseHolder waits until one of the hosts in among holds a lease, and returns this host.
func (p *hostProcesses) waitLeaseHolder(name string, among []*hostProcess) *hostProcess {
	p.t.Helper()
	var h *hostProcess
	p.waitUntil(func() bool {
		h = p.leaseHolder(name, among)
		return h != nil
	})
	return h
}

func (p *hostProcesses) others(h *hostProcess) []*hostProcess {
	return slices.DeleteFunc(slices.Clone(p.hosts), func(o *hostProcess) bool { return o == h })
}

// checkReports fails the test if a usage window was reported with two different sets of counts, or if the simulated
// platform got an invalid order: one with an old fencing token, or a repeated order with other content.
func (p *hostProcesses) checkReports() {
	p.t.Helper()
	is := is.New(p.t)
	is.Equal(conflictingWindows(&testCluster{demo: &demo{site: p.site}}), 0)
	is.Equal(len(p.site.Provision().Violations()), 0)
}
