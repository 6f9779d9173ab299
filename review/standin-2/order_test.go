package standin2

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	streams    = 40
	lastEvent  = 80
	eventGap   = 100 * time.Millisecond
	engineBack = time.Second // an engine that has crashed is back after this time
)

// playOrder lets two of the four servers of a service crash, one after the other, and start again under their ids with a newer version, while
// the store is down. Without the trouble the store stays up.
func playOrder(r *rig) {
	r.store.put("op/config", config(7))
	r.addHost("norte-a", memoryMb)
	r.addHost("norte-b", memoryMb)
	behave := func(e *engine, c net.Conn, q *http.Request, _ []byte) bool {
		return e.answerStream(c, q, 30*time.Millisecond, eventGap, lastEvent)
	}
	var engines []*engine
	for _, name := range []string{"a", "b", "c", "d"} {
		engines = append(engines, r.startEngine("i-"+name, "asesor", "norte-"+name, "v1", behave))
	}
	for _, h := range r.hosts {
		h.boot()
	}
	r.awaitReady(15 * time.Second)
	time.Sleep(2 * time.Second)
	var wg sync.WaitGroup
	var mu sync.Mutex
	joined := 0
	for n := range streams {
		wg.Go(func() {
			time.Sleep(time.Duration(n) * 10 * time.Millisecond)
			id := fmt.Sprintf("s%d", n)
			versions := r.follow(r.hosts[n%2], r.hosts[(n+1)%2], id)
			r.log("stream", map[string]any{"id": id, "versions": versions})
			if len(versions) > 1 {
				mu.Lock()
				joined++
				mu.Unlock()
			}
		})
	}
	time.Sleep(1500 * time.Millisecond)
	if r.trouble {
		r.store.setDown(true)
		r.log("store", map[string]any{"down": true})
	}
	time.Sleep(500 * time.Millisecond)
	r.replace(engines[0], "v2")
	time.Sleep(1500 * time.Millisecond)
	r.replace(engines[1], "v2")
	time.Sleep(time.Second)
	if r.trouble {
		r.store.setDown(false)
		r.log("store", map[string]any{"down": false})
	}
	wg.Wait()
	r.log("end", map[string]any{"streams": streams, "joined": joined})
	if joined > 2 {
		r.breakRule("%d streams hold events of v1 and of v2", joined)
	}
}

// replace crashes an engine and starts it again under its id and at its address, with a version.
func (r *rig) replace(old *engine, version string) *engine {
	r.log("engine", map[string]any{"id": old.id, "crashes": true})
	old.crash()
	time.Sleep(engineBack)
	r.log("engine", map[string]any{"id": old.id, "starts": version})
	return r.serveEngine(listenAt(old.address), old.id, old.service, old.zone, version, old.behave)
}

// follow sends a stream request, and takes the stream up at another host as long as it breaks off. It returns the versions of its events, in
// the order in which they came.
func (r *rig) follow(h, other *host, id string) (versions []string) {
	last, attempt, more := 0, id, ""
	for try := range 4 {
		status := 0
		if c, err := net.DialTimeout("tcp4", h.front, time.Second); err == nil {
			_ = c.SetDeadline(time.Now().Add(15 * time.Second))
			_, _ = c.Write([]byte(head("POST", "/draft/x", attempt, "key-club", 15000, 4, more) + "body"))
			if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil {
				status = resp.StatusCode
				lines := bufio.NewScanner(resp.Body)
				for lines.Scan() {
					var event struct {
						N int    `json:"n"`
						V string `json:"v"`
					}
					data, ok := strings.CutPrefix(lines.Text(), "data: ")
					if !ok || json.Unmarshal([]byte(data), &event) != nil {
						continue
					}
					if last = event.N; len(versions) == 0 || versions[len(versions)-1] != event.V {
						versions = append(versions, event.V)
						r.log("events", map[string]any{"id": attempt, "from": event.N, "version": event.V})
					}
				}
			}
			_ = c.Close()
		}
		r.log("answer", map[string]any{"id": attempt, "status": status, "last": last})
		if last >= lastEvent {
			return versions
		}
		if last > 0 {
			more = fmt.Sprintf("Last-Event-Id: %d\r\nResumes: %s\r\n", last, id)
		}
		attempt, h, other = fmt.Sprintf("%s-%d", id, try+1), other, h
		time.Sleep(300 * time.Millisecond)
	}
	return versions
}
