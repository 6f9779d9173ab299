package review

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const key = "n2ctnfzs989anu6wsjnb"

// trouble reports whether the case plays its disruption.
func trouble() bool { return env("TROUBLE") != "0" }

// TestResume resets channels between a host and the engines while some engines fail requests. Streams that may be resumed go on at
// other engines; no caller may get bytes that are no answer in the protocol.
func TestResume(t *testing.T) {
	w := setUp(t, 3)
	w.config = func(version int) any {
		return map[string]any{
			"version": version,
			"routes": []any{map[string]any{"name": "r-draft", "host": "clubs.example", "prefix": "/draft/", "kind": "streaming", "timeoutMs": 8000, "targetLatencyMs": 800,
				"priority": 1, "service": "asesor", "maxAttempts": 2, "authExempt": false, "sticky": true, "resumable": true, "gapTargetMs": 250}},
			"services": []any{map[string]any{"name": "asesor", "healthPath": "/health", "maxConns": 360, "protocol": "h1", "tls": false, "engine": map[string]any{"slots": 64, "kvCapacityTokens": 588741, "kvTokenBytes": 35136, "linkMbps": 180000.0}}},
			"limits":   limits, "tenants": tenants,
		}
	}
	var failing atomic.Bool
	serve := func(c *call) bool {
		if failing.Load() && rand.Float64() < 0.45 {
			return c.answer(500, "failed")
		}
		record("run engine=%s id=%s after=%s", c.engine.id, c.id, c.req.Header.Get("Last-Event-Id"))
		return c.stream(40, 50*time.Millisecond)
	}
	var proxies []*proxy
	for range 6 {
		e, err := w.addEngine("asesor", "v1", 64, nil)
		must(t, err)
		must(t, e.l.Close())
		e.serve = serve
		p, err := newProxy(e.address, e.listenBehind(t))
		must(t, err)
		proxies = append(proxies, p)
	}
	must(t, w.startAll())
	if trouble() {
		go func() {
			time.Sleep(4 * time.Second)
			record("trouble: engines fail 0.45 of their requests")
			failing.Store(true)
			for range 12 {
				time.Sleep(300 * time.Millisecond)
				n := 0
				for _, p := range proxies {
					n += p.reset(0.08)
				}
				record("trouble: %d channels of %s are reset", n, w.hosts[0].name)
			}
			failing.Store(false)
			record("trouble: over")
		}()
	}
	var bad, whole atomic.Int64
	var callers sync.WaitGroup
	for n := range 480 {
		h := w.hosts[0] // so that all channels to the engines are of this host
		callers.Go(func() {
			time.Sleep(time.Duration(n) * 25 * time.Millisecond)
			id := fmt.Sprintf("%016x", rand.Uint64())
			c, err := open(addr(h.ip, frontPort))
			if err != nil {
				return
			}
			defer c.Close()
			record("send host=%s id=%s", h.name, id)
			head := fmt.Sprintf("POST /draft/2f HTTP/1.1\r\nHost: clubs.example\r\nRequest-Id: %s\r\nModel: m\r\nToken-Usage: 460,80\r\nPrefix-Hash: 5c1e%04x:200,%08x:260\r\nDeadline-Ms: 8000\r\nAuthorization: Bearer %s\r\n", id, n%34, n+1, key)
			r := c.ask(head, fmt.Sprintf(`{"entry":%d}`, n), 9*time.Second) // no two requests are alike
			record("got host=%s id=%s status=%d events=%d whole=%v err=%v bad=%s", h.name, id, r.status, strings.Count(string(r.body), "\n\n"), r.whole, r.err, r.bad)
			if r.whole && r.status == 200 {
				whole.Add(1)
			}
			if r.bad != "" {
				bad.Add(1)
			}
		})
	}
	callers.Wait()
	record("summary whole=%d bad=%d", whole.Load(), bad.Load())
	if whole.Load() == 0 {
		cannotRun(t, "no stream was served")
	}
	if bad.Load() > 0 {
		t.Errorf("MIXED: %d callers got bytes that are no answer in the protocol", bad.Load())
	}
}
