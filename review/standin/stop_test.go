package review

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// grace is the bound graceS: so long after SIGTERM comes SIGKILL.
	grace = 8 * time.Second
	// late is how long after SIGTERM a request is sent whose loss nothing in the rule excuses.
	late = 3 * time.Second
	// rollGap is the time between the stops of two hosts.
	rollGap = 1300 * time.Millisecond
)

// TestStop stops and starts two of the three hosts of a zone in turn, under load. No host may read a request and end its channel
// without an answer.
func TestStop(t *testing.T) {
	w := setUp(t, 4)
	for n, h := range w.hosts {
		if n < 3 {
			h.zone, h.name = zones[0], fmt.Sprintf("edge-%s-%d", zones[0], n+1)
		} else {
			h.zone, h.name = zones[1], fmt.Sprintf("edge-%s-1", zones[1])
		}
	}
	w.config = func(version int) any {
		c := duesConfig(version).(map[string]any)
		c["routes"] = append(c["routes"].([]any), map[string]any{"name": "r-recon", "host": "clubs.example", "prefix": "/recon/", "kind": "streaming", "timeoutMs": 15000, "targetLatencyMs": 2500,
			"priority": 2, "service": "asesor", "maxAttempts": 1, "authExempt": false, "sticky": true, "resumable": false, "gapTargetMs": 600})
		c["services"] = append(c["services"].([]any), map[string]any{"name": "asesor", "healthPath": "/health", "maxConns": 360, "protocol": "h1", "tls": false, "engine": map[string]any{"slots": 64, "kvCapacityTokens": 588741, "kvTokenBytes": 35136, "linkMbps": 180000.0}})
		return c
	}
	var mu sync.Mutex
	runs := map[string]bool{}
	for range 4 {
		_, err := w.addEngine("libro", "v1", 6, func(c *call) bool {
			mu.Lock()
			runs[c.id] = true
			mu.Unlock()
			record("run engine=%s id=%s", c.engine.id, c.id)
			time.Sleep(30*time.Millisecond + time.Duration(rand.N(60))*time.Millisecond)
			return c.answer(200, "done")
		})
		must(t, err)
	}
	for range 4 {
		_, err := w.addEngine("asesor", "v1", 64, func(c *call) bool { return c.stream(60, 150*time.Millisecond) })
		must(t, err)
	}
	must(t, w.startAll())
	b := newBalancer(w.hosts)
	stopped := map[*host]time.Time{}
	var roll sync.WaitGroup
	if trouble() {
		for n, h := range w.hosts[:2] {
			roll.Go(func() {
				time.Sleep(4*time.Second + time.Duration(n)*rollGap)
				mu.Lock()
				stopped[h] = time.Now()
				mu.Unlock()
				record("trouble: SIGTERM to %s", h.name)
				h.signal(syscall.SIGTERM)
				select {
				case <-h.done:
				case <-time.After(grace):
					h.kill()
				}
				record("trouble: %s has ended", h.name)
				if err := w.start(h, false); err != nil {
					record("trouble: %v", err)
				}
			})
		}
	}
	var callers sync.WaitGroup
	lost, good, streams := 0, 0, 0
	dues := func(consumer uint64) {
		h := b.pick(zones[0], consumer)
		c, err := open(addr(h.ip, frontPort))
		if err != nil {
			return
		}
		defer c.Close()
		id := fmt.Sprintf("%016x", rand.Uint64())
		sent := time.Now()
		record("send host=%s id=%s", h.name, id)
		r := c.ask(fmt.Sprintf("POST /dues/2f HTTP/1.1\r\nHost: clubs.example\r\nRequest-Id: %s\r\nDeadline-Ms: 1000\r\nAuthorization: Bearer %s\r\n", id, key), "{}", 2*time.Second)
		record("got host=%s id=%s status=%d err=%v", h.name, id, r.status, r.err)
		mu.Lock()
		defer mu.Unlock()
		if r.status == 200 {
			good++
		}
		at, ok := stopped[h]
		if r.status == 0 && runs[id] && ok && sent.Sub(at) > late && time.Since(sent) < 900*time.Millisecond {
			lost++
			record("broken: %s was sent to %s %.2f s after its SIGTERM, has run, and its channel ended without an answer after %.3f s", id, h.name, sent.Sub(at).Seconds(), time.Since(sent).Seconds())
		}
	}
	recon := func(consumer uint64) {
		h := b.pick(zones[0], consumer)
		c, err := open(addr(h.ip, frontPort))
		if err != nil {
			return
		}
		defer c.Close()
		id := fmt.Sprintf("%016x", rand.Uint64())
		r := c.ask(fmt.Sprintf("POST /recon/2f HTTP/1.1\r\nHost: clubs.example\r\nRequest-Id: %s\r\nModel: m\r\nToken-Usage: 460,120\r\nPrefix-Hash: 5c1e07a2:200,%08x:260\r\nDeadline-Ms: 15000\r\nAuthorization: Bearer %s\r\n", id, rand.Uint32(), key), "{}", 16*time.Second)
		record("stream host=%s id=%s status=%d whole=%v err=%v", h.name, id, r.status, r.whole, r.err)
		mu.Lock()
		defer mu.Unlock()
		if r.whole && r.status == 200 {
			streams++
		}
	}
	for end, n := time.Now().Add(17*time.Second), 0; time.Now().Before(end); n++ {
		callers.Go(func() { dues(rand.Uint64()) })
		if n%12 == 0 {
			callers.Go(func() { recon(rand.Uint64()) })
		}
		time.Sleep(duesGap)
	}
	callers.Wait()
	roll.Wait()
	record("summary good=%d streams=%d lost=%d", good, streams, lost)
	if good == 0 || streams == 0 {
		cannotRun(t, "no request was served")
	}
	if lost > 0 {
		t.Errorf("LOST: %d requests that a host had read ended without an answer at its planned stop", lost)
	}
}

// duesGap is the time between two requests that may not be repeated.
const duesGap = 5 * time.Millisecond
