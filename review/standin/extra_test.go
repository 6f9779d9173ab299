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

// TestExtra lets some engines send an extra response late, where the answer to the next request on the channel is due. Its
// Request-Id is that of the request before, which has been answered. No request that may not be repeated may run twice, and none that
// has run may be answered with a status that says that it has not.
func TestExtra(t *testing.T) {
	w := setUp(t, 3)
	w.config = duesConfig
	var garble atomic.Bool
	var mu sync.Mutex
	runs := map[string]int{}
	for n := range 4 {
		isFaulty := n < 2
		_, err := w.addEngine("libro", "v1", 6, func(c *call) bool {
			if c.prev != "" && isFaulty && garble.Load() && rand.Float64() < 0.03 {
				record("extra engine=%s id=%s where the answer to %s is due", c.engine.id, c.prev, c.id)
				fmt.Fprintf(c.conn, "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", c.prev)
			}
			mu.Lock()
			runs[c.id]++
			mu.Unlock()
			record("run engine=%s id=%s", c.engine.id, c.id)
			time.Sleep(30 * time.Millisecond)
			return c.answer(200, "done "+c.id)
		})
		must(t, err)
	}
	must(t, w.startAll())
	if trouble() {
		time.AfterFunc(3*time.Second, func() { record("trouble: extra responses"); garble.Store(true) })
		time.AfterFunc(8*time.Second, func() { record("trouble: over"); garble.Store(false) })
	}
	var mixed, refused, good atomic.Int64
	statuses := map[string]int{}
	var callers sync.WaitGroup
	end := time.Now().Add(11 * time.Second)
	for n := range 12 {
		h := w.hosts[n%len(w.hosts)]
		callers.Go(func() {
			var c *channel
			for time.Now().Before(end) {
				if c == nil {
					var err error
					if c, err = open(addr(h.ip, frontPort)); err != nil {
						return
					}
				}
				id := fmt.Sprintf("%016x", rand.Uint64())
				record("send host=%s id=%s", h.name, id)
				head := fmt.Sprintf("POST /dues/2f HTTP/1.1\r\nHost: clubs.example\r\nRequest-Id: %s\r\nDeadline-Ms: 1000\r\nAuthorization: Bearer %s\r\n", id, key)
				r := c.ask(head, "{}", 2*time.Second)
				record("got host=%s id=%s status=%d err=%v", h.name, id, r.status, r.err)
				mu.Lock()
				statuses[id] = r.status
				mu.Unlock()
				if r.status == 200 {
					good.Add(1)
					if strings.TrimSpace(string(r.body)) != "done "+id {
						mixed.Add(1)
					}
				}
				if r.err != nil || r.bad != "" || r.fields.Get("Connection") == "close" {
					_ = c.Close()
					c = nil
				}
				time.Sleep(20 * time.Millisecond)
			}
			if c != nil {
				_ = c.Close()
			}
		})
	}
	callers.Wait()
	time.Sleep(200 * time.Millisecond)
	twice := 0
	mu.Lock()
	defer mu.Unlock()
	for id, n := range runs {
		if n > 1 {
			twice++
			record("broken: %s has run %d times", id, n)
		}
		if s := statuses[id]; s == 429 || s == 503 || s == 408 || s == 421 {
			refused.Add(1)
			record("broken: %s has run and was answered %d", id, s)
		}
	}
	record("summary good=%d twice=%d refused=%d mixed=%d", good.Load(), twice, refused.Load(), mixed.Load())
	if good.Load() == 0 {
		cannotRun(t, "no request was served")
	}
	if twice > 0 || refused.Load() > 0 || mixed.Load() > 0 {
		t.Errorf("TWICE: %d requests ran twice; REFUSED: %d have run; MIXED: %d answers of other requests", twice, refused.Load(), mixed.Load())
	}
}
