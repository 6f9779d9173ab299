package review

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"
)

// usageWindow is the length of a usage window.
const usageWindow = 5 * time.Second

// TestDrill restores the store from a copy that is some seconds old, in a drill, while all hosts lose power. No window may be
// reported with two different counts.
func TestDrill(t *testing.T) {
	w := setUp(t, 3)
	w.config = duesConfig
	serve := func(c *call) bool {
		record("run engine=%s id=%s tenant=%s", c.engine.id, c.id, c.req.Header.Get("Tenant"))
		time.Sleep(20 * time.Millisecond)
		return c.answer(200, "done")
	}
	for range 3 {
		_, err := w.addEngine("libro", "v1", 6, serve)
		must(t, err)
	}
	must(t, w.startAll())
	var stop atomic.Bool
	var served atomic.Int64
	for n := range 6 {
		h := w.hosts[n%len(w.hosts)]
		go func() {
			for ; !stop.Load(); time.Sleep(50 * time.Millisecond) {
				if sendDues(h) == 200 {
					served.Add(1)
				}
			}
		}()
	}
	reported := w.awaitReport(t, 30*time.Second)
	if trouble() {
		time.Sleep(300 * time.Millisecond)
		record("trouble: the store is away, and all hosts lose power")
		w.store.setAway(true)
		for _, h := range w.hosts {
			h.kill()
		}
		time.Sleep(time.Second)
		w.store.restore(time.Since(reported.at) + time.Second)
		w.store.setAway(false)
		w.store.write("op/config", w.config(w.version))
		record("trouble: the store is back from a copy of %.1f s before, and the hosts start", (time.Since(reported.at) + time.Second).Seconds())
		for _, h := range w.hosts {
			must(t, w.start(h, false))
		}
	}
	time.Sleep(14 * time.Second)
	stop.Store(true)
	record("summary served=%d", served.Load())
	if served.Load() == 0 {
		cannotRun(t, "no request was served")
	}
	w.checkUsage(t)
}

// awaitReport waits for the report of a window in which requests ran.
func (w *world) awaitReport(t *testing.T, within time.Duration) duty {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		w.control.mu.Lock()
		for _, d := range w.control.calls {
			if d.path == "/usage" && len(d.counts) > 0 {
				w.control.mu.Unlock()
				return d
			}
		}
		w.control.mu.Unlock()
	}
	cannotRun(t, "no usage was reported")
	return duty{}
}

// checkUsage checks that no window was reported with two counts.
func (w *world) checkUsage(t *testing.T) {
	w.control.mu.Lock()
	defer w.control.mu.Unlock()
	byWindow := map[int64]duty{}
	fences := map[uint64]string{}
	for _, d := range w.control.calls {
		if holder, ok := fences[d.fence]; ok && holder != d.holder {
			record("broken: fence %d of %s and %s", d.fence, holder, d.holder)
			t.Errorf("ONE: two holders send the fence number %d", d.fence)
		}
		fences[d.fence] = d.holder
		if d.path != "/usage" {
			continue
		}
		if first, ok := byWindow[d.window]; !ok {
			byWindow[d.window] = d
		} else if !maps.Equal(first.counts, d.counts) {
			record("broken: window %d is reported as %v and %v", d.window, first.counts, d.counts)
			t.Errorf("ONE: window %d is reported as %v and, %.1f s later, as %v", d.window, first.counts, d.at.Sub(first.at).Seconds(), d.counts)
		}
	}
}

// sendDues sends a request that may not be repeated and returns its status, 0 without an answer.
func sendDues(h *host) int {
	c, err := open(addr(h.ip, frontPort))
	if err != nil {
		return 0
	}
	defer c.Close()
	id := fmt.Sprintf("%016x", rand.Uint64())
	record("send host=%s id=%s", h.name, id)
	r := c.ask(fmt.Sprintf("POST /dues/2f HTTP/1.1\r\nHost: clubs.example\r\nRequest-Id: %s\r\nDeadline-Ms: 1000\r\nAuthorization: Bearer %s\r\n", id, key), "{}", 2*time.Second)
	record("got host=%s id=%s status=%d err=%v", h.name, id, r.status, r.err)
	return r.status
}

// duesConfig is a configuration with one route, whose requests may not be repeated.
func duesConfig(version int) any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{"name": "r-dues", "host": "clubs.example", "prefix": "/dues/", "kind": "non_idempotent", "timeoutMs": 1000, "targetLatencyMs": 150,
			"priority": 2, "service": "libro", "maxAttempts": 1, "authExempt": false, "sticky": false, "resumable": false}},
		"services": []any{map[string]any{"name": "libro", "healthPath": "/health", "maxConns": 100, "protocol": "h1", "tls": false}},
		"limits":   limits, "tenants": tenants,
	}
}
