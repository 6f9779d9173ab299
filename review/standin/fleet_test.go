package review

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// host is one process of the program under test.
type host struct {
	name, zone, ip string
	cmd            *exec.Cmd
	settings       string
	log            string
	done           chan struct{}
}

// world is a small deployment.
type world struct {
	dir     string
	net     string // the first three numbers of the loopback addresses
	store   *kvStore
	control *control
	hosts   []*host
	engines []*engine
	version int
	config  func(version int) any
	tables  struct{ store, control string }
}

const (
	frontPort, readyPort, controlPort = 8227, 8220, 8229
	firstInternal, lastInternal       = 7340, 7355
)

var zones = []string{"norte-a", "norte-b", "norte-c", "norte-d"}

// newWorld returns a deployment whose store and control API are up.
func newWorld(hosts int) (*world, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, store: newStore(), control: &control{}}
	for range 50 {
		w.net = fmt.Sprintf("127.%d.%d", 20+rand.N(200), 1+rand.N(250))
		l, err := net.Listen("tcp4", w.net+".2:8223")
		if err != nil {
			continue
		}
		go func() { _ = http.Serve(l, w.store) }()
		break
	}
	c, err := net.Listen("tcp4", w.net+".3:8223")
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(c, w.control) }()
	go w.store.run()
	w.tables.store, w.tables.control = w.net+".2:8223", w.net+".3:8223"
	for n := range hosts {
		w.hosts = append(w.hosts, &host{name: fmt.Sprintf("edge-%s-%d", zones[n%len(zones)], n/len(zones)+1), zone: zones[n%len(zones)], ip: fmt.Sprintf("%s.%d", w.net, 10+n)})
	}
	return w, nil
}

// addEngine starts an engine at an address of its own.
func (w *world) addEngine(service, version string, slots int, serve func(c *call) bool) (*engine, error) {
	n := len(w.engines)
	e := &engine{id: fmt.Sprintf("i-%s-%d-%08x", service, n, rand.Uint32()), service: service, address: fmt.Sprintf("%s.%d:8080", w.net, 100+n), zone: zones[n%len(zones)], version: version, slots: slots, store: w.store, serve: serve}
	w.engines = append(w.engines, e)
	return e, e.start()
}

// writeConfig writes a new version of the configuration, as the operator.
func (w *world) writeConfig() {
	w.version += 3
	w.store.write("op/config", w.config(w.version))
}

// start starts the process of a host.
func (w *world) start(h *host, first bool) error {
	settings := map[string]any{
		"node": h.name, "role": "gateway", "machineClass": "edge", "serves": []string{"edge"}, "ip": h.ip, "zone": h.zone, "region": "norte",
		"zones":         map[string]string{zones[0]: "norte", zones[1]: "norte", zones[2]: "norte", zones[3]: "norte"},
		"listen":        map[string]string{"front": addr(h.ip, frontPort), "ready": addr(h.ip, readyPort), "control": addr(h.ip, controlPort)},
		"internalPorts": []int{firstInternal, lastInternal}, "seeds": []string{}, "bootstrap": first, "inFailureBudget": false,
		"limits":  map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"dataDir": nil, "discovery": "platform", "entry": "vip", "heartbeatMs": 1200,
		"bounds":   map[string]any{"seedLagS": 3, "addrReuseS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250, "outerMs": 5000, "strictRevoke": false, "revokeMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetMinRetries": 54, "requireFencing": false, "leaseMs": 3000, "thawMs": 300, "usageWindowS": 5, "usageTolerance": 0.05, "usageLateS": 10, "recoveryS": 12, "passMs": 120, "retryAfterS": 10},
		"platform": map[string]any{"address": w.tables.store, "form": "kv", "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576, "ttlMinMs": 1000},
		"cloud":    map[string]any{"address": w.tables.control, "ratePerS": 50.0, "duties": []string{"usage_report", "autoscale"}, "dutiesPerS": 50.0},
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	h.settings, h.log = filepath.Join(w.dir, h.name+".json"), filepath.Join(w.dir, h.name+".log")
	if err := os.WriteFile(h.settings, data, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	root := os.Getenv("ROOT")
	h.cmd = exec.Command(filepath.Join(root, "target/hickorypath"), "gateway")
	h.cmd.Dir, h.cmd.Stdout, h.cmd.Stderr = root, log, log
	h.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "HICKORYPATH_BOOT=" + h.settings}
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.cmd.Start(); err != nil {
		return err
	}
	done, cmd := make(chan struct{}), h.cmd
	h.done = done
	go func() { _ = cmd.Wait(); close(done) }()
	return nil
}

func addr(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

// startAll writes the first configuration, starts all hosts and waits until they are ready.
func (w *world) startAll() error {
	w.writeConfig()
	for _, h := range w.hosts {
		if err := w.start(h, true); err != nil {
			return err
		}
	}
	return w.awaitReady(15 * time.Second)
}

func (w *world) awaitReady(within time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for _, h := range w.hosts {
		for end := time.Now().Add(within); ; time.Sleep(50 * time.Millisecond) {
			resp, err := client.Get("http://" + addr(h.ip, readyPort) + "/ready")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == 200 {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", h.name)
			}
		}
	}
	return nil
}

// kill kills the process of a host and waits for its end.
func (h *host) kill() {
	if h.cmd != nil {
		_ = h.cmd.Process.Kill()
		<-h.done
	}
}

func (h *host) signal(s syscall.Signal) { _ = h.cmd.Process.Signal(s) }

// close ends all processes.
func (w *world) close() {
	for _, h := range w.hosts {
		h.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
}
