package standin2

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// runLimit bounds the time of a run.
const runLimit = 115 * time.Second

// rig holds the stand-ins and the hosts of one run.
type rig struct {
	mu      sync.Mutex
	start   time.Time
	record  *os.File
	dir     string
	run     []string
	store   *kvStore
	hosts   []*host
	cloud   string
	trouble bool
	ports   int // first of the ports for the hosts' own traffic
	broken  []string
}

// host is one process of the system.
type host struct {
	rig                  *rig
	name, zone, ip       string
	front, ready         string
	settings             string
	memoryMb             int
	cmd                  *exec.Cmd
	done                 chan struct{}
	starts               int
	storeLink, cloudLink *link
}

func newRig(record string) *rig {
	f, err := os.Create(record)
	check(err)
	dir, err := os.MkdirTemp("", "case-")
	check(err)
	r := &rig{start: time.Now(), record: f, dir: dir, store: newStore(), trouble: os.Getenv("TROUBLE") != "0"}
	current, r.run = r, deployRun()
	r.ports = freePorts()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-stop
		check(fmt.Errorf("stopped"))
	}()
	time.AfterFunc(runLimit, func() { check(fmt.Errorf("it takes too long")) })
	r.startCloud()
	return r
}

// deployRun returns the command of the deploy file.
func deployRun() []string {
	data, err := os.ReadFile("deploy/system.toml")
	check(err)
	for line := range strings.Lines(string(data)) {
		if v, ok := strings.CutPrefix(line, "run = "); ok {
			return strings.Fields(strings.Trim(strings.TrimSpace(v), `"`))
		}
	}
	check(fmt.Errorf("the deploy file names no command"))
	return nil
}

// log writes one line to the record.
func (r *rig) log(what string, fields map[string]any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	data, _ := json.Marshal(fields)
	fmt.Fprintf(r.record, "%9.4f %s %s\n", time.Since(r.start).Seconds(), what, data)
}

// breakRule records that the rule was broken.
func (r *rig) breakRule(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.log("BROKEN", map[string]any{"text": text})
	r.mu.Lock()
	r.broken = append(r.broken, text)
	r.mu.Unlock()
}

// check ends the run if it cannot go on.
func check(err error) {
	if err == nil {
		return
	}
	if current != nil {
		current.endHosts()
	}
	fmt.Fprintln(os.Stderr, "cannot run:", err)
	os.Exit(2)
}

// current is the rig of this run.
var current *rig

func (r *rig) listen() net.Listener { return listenAt("127.0.0.1:0") }

func listenAt(address string) net.Listener {
	l, err := net.Listen("tcp4", address)
	check(err)
	return l
}

// freePort returns a port that is free now.
func freePort(ip string) int {
	l := listenAt(ip + ":0")
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port
}

const (
	// portCount is the number of ports for the hosts' own traffic, and maxHosts bounds the hosts.
	portCount = 16
	maxHosts  = 8
)

// freePorts returns the first of portCount ports that are free at the addresses of all hosts.
func freePorts() int {
	for first := 20000 + os.Getpid()%500*portCount; first < 32000; first += portCount {
		if arePortsFree(first) {
			return first
		}
	}
	check(fmt.Errorf("no free ports"))
	return 0
}

func arePortsFree(first int) bool {
	for n := range maxHosts {
		for p := range portCount {
			l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", hostIP(n+1), first+p))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// hostIP returns the address of the n-th host.
func hostIP(n int) string { return fmt.Sprintf("127.0.7.%d", n) }

// addHost prepares a host with an address of its own.
func (r *rig) addHost(zone string, memoryMb int) *host {
	n := len(r.hosts) + 1
	h := &host{rig: r, name: fmt.Sprintf("edge-%s-%d", zone, n), zone: zone, ip: hostIP(n), memoryMb: memoryMb}
	h.front, h.ready = fmt.Sprintf("%s:%d", h.ip, freePort(h.ip)), fmt.Sprintf("%s:%d", h.ip, freePort(h.ip))
	l := r.listen()
	go r.store.serve(h.name, l)
	var storeAddress, cloudAddress string
	h.storeLink, storeAddress = r.newLink(l.Addr().String())
	h.cloudLink, cloudAddress = r.newLink(r.cloud)
	h.settings = filepath.Join(r.dir, h.name+".json")
	h.writeSettings(storeAddress, cloudAddress)
	r.hosts = append(r.hosts, h)
	return h
}

func (h *host) writeSettings(store, cloud string) {
	s := map[string]any{
		"node": h.name, "role": "gateway", "machineClass": "edge", "serves": []string{"edge"}, "ip": h.ip, "zone": h.zone, "region": "norte",
		"zones":  map[string]string{"norte-a": "norte", "norte-b": "norte", "norte-c": "norte", "norte-d": "norte"},
		"listen": map[string]string{"front": h.front, "ready": h.ready}, "internalPorts": []int{h.rig.ports, h.rig.ports + portCount - 1},
		"seeds": []string{}, "bootstrap": true, "inFailureBudget": false,
		"limits":  map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": h.memoryMb, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"dataDir": nil, "discovery": "platform", "entry": "vip", "heartbeatMs": 1200,
		"contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "leader", "platform"},
		"faultTolerance": map[string]int{"machines": 2, "zones": 1, "regions": 0},
		"bounds": map[string]any{"seedLagS": 3, "addrReuseS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8, "lossSlackMs": 200,
			"configApplyMs": 2000, "rollbackSlackMs": 250, "outerMs": 5000, "strictRevoke": false, "revokeMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10,
			"budgetMinRetries": 54, "requireFencing": false, "leaseMs": 3000, "thawMs": 300, "usageWindowS": 5, "usageTolerance": 0.05, "usageLateS": 10, "recoveryS": 12,
			"passMs": 120, "retryAfterS": 10},
		"platform": map[string]any{"address": store, "form": "kv", "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576, "ttlMinMs": 1000},
		"cloud":    map[string]any{"address": cloud, "ratePerS": 50.0, "duties": []string{"usage_report", "autoscale"}, "dutiesPerS": 50.0},
	}
	data, _ := json.Marshal(s)
	check(os.WriteFile(h.settings, data, 0o600))
}

// boot starts the process of the host.
func (h *host) boot() {
	h.starts++
	log, err := os.Create(filepath.Join(h.rig.dir, fmt.Sprintf("%s.%d.log", h.name, h.starts)))
	check(err)
	h.cmd = exec.Command(h.rig.run[0], h.rig.run[1:]...)
	h.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "HICKORYPATH_BOOT=" + h.settings}
	h.cmd.Stdout, h.cmd.Stderr = log, log
	check(h.cmd.Start())
	done, cmd, n := make(chan struct{}), h.cmd, h.starts
	h.done = done
	h.rig.log("process", map[string]any{"host": h.name, "start": n})
	go func() {
		_ = cmd.Wait()
		h.rig.log("process", map[string]any{"host": h.name, "start": n, "ended": cmd.ProcessState.String()})
		_ = log.Close()
		close(done)
	}()
}

func (h *host) signal(s syscall.Signal) {
	h.rig.log("signal", map[string]any{"host": h.name, "signal": s.String()})
	_ = h.cmd.Process.Signal(s)
}

// lastError returns the line with which the process has ended, if it has written one.
func (h *host) lastError() string {
	data, _ := os.ReadFile(filepath.Join(h.rig.dir, fmt.Sprintf("%s.%d.log", h.name, h.starts)))
	for line := range strings.Lines(string(data)) {
		if strings.HasPrefix(line, "fatal error") || strings.HasPrefix(line, "panic") {
			return strings.TrimSpace(line)
		}
	}
	return "no message"
}

// alive reports whether the process runs.
func (h *host) alive() bool {
	select {
	case <-h.done:
		return false
	default:
		return true
	}
}

func (h *host) isReady() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + h.ready + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == 200
}

// awaitReady waits until all hosts that run are ready.
func (r *rig) awaitReady(limit time.Duration) {
	end := time.Now().Add(limit)
	for _, h := range r.hosts {
		for h.cmd != nil && !h.isReady() {
			if time.Now().After(end) {
				check(fmt.Errorf("%s is not ready", h.name))
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// endHosts ends all processes and removes their files.
func (r *rig) endHosts() {
	for _, h := range r.hosts {
		if h.cmd != nil && h.alive() {
			_ = h.cmd.Process.Kill()
			<-h.done
		}
	}
	_ = os.RemoveAll(r.dir)
}

// finish ends all processes and returns how the rule was broken.
func (r *rig) finish() []string {
	r.endHosts()
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.broken) > 0 {
		fmt.Fprintf(r.record, "the rule was broken %d times\n", len(r.broken))
	} else {
		fmt.Fprintln(r.record, "the rule held")
	}
	return r.broken
}

// startCloud starts the platform's API for duties.
func (r *rig) startCloud() {
	l := r.listen()
	r.cloud = l.Addr().String()
	windows := map[int64]string{}
	highest, holders := uint64(0), map[uint64]string{}
	var mu sync.Mutex
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			var body map[string]any
			_ = json.NewDecoder(q.Body).Decode(&body)
			r.log("cloud", map[string]any{"path": q.URL.Path, "holder": q.Header.Get("Lease-Holder"), "fence": q.Header.Get("Fencing-Token"), "body": body})
			mu.Lock()
			fence, holder := uint64(0), q.Header.Get("Lease-Holder")
			_, _ = fmt.Sscanf(q.Header.Get("Fencing-Token"), "%d", &fence)
			if fence < highest {
				r.breakRule("fence %d of %s after %d", fence, holder, highest)
			}
			if old, ok := holders[fence]; ok && old != holder {
				r.breakRule("fence %d of %s and of %s", fence, holder, old)
			}
			highest, holders[fence] = max(highest, fence), holder
			mu.Unlock()
			if q.URL.Path == "/usage" {
				mu.Lock()
				at := int64(body["window"].(float64))
				counts, _ := json.Marshal(body["counts"])
				if old, ok := windows[at]; ok && old != string(counts) {
					r.breakRule("window %d was reported as %s and as %s", at, old, counts)
				}
				windows[at] = string(counts)
				mu.Unlock()
			}
			w.WriteHeader(200)
		}))
	}()
}

// answer is what a client got.
type answer struct {
	status   int
	header   http.Header
	body     []byte
	complete bool
	err      error
}

// send sends one request on a new connection and reads the answer.
func send(address, head string, body []byte, limit time.Duration) answer {
	c, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(limit))
	if _, err := c.Write(append([]byte(head), body...)); err != nil {
		return answer{err: err}
	}
	return readAnswer(bufio.NewReader(c))
}

func readAnswer(br *bufio.Reader) answer {
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		return answer{err: err}
	}
	a := answer{status: resp.StatusCode, header: resp.Header}
	buf := make([]byte, 4096)
	for {
		n, err := resp.Body.Read(buf)
		a.body = append(a.body, buf[:n]...)
		if err != nil {
			a.complete = err.Error() == "EOF"
			if !a.complete {
				a.err = err
			}
			return a
		}
	}
}
