package standin2

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// takeUpAbusers of takeUpClients clients repeat each attempt takeUpRepeats more times, at once.
	takeUpClients, takeUpAbusers = 30, 9
	takeUpRepeats                = 3
	takeUpTime                   = 100 * time.Second
	// takeUpPause is how long a client that does as it is told waits after a refusal.
	takeUpPause = 300 * time.Millisecond
)

// playTakeUp lets clients take streams up at one host, again and again, while servers of two versions serve. Some of them repeat each attempt at
// once, on further connections, and wait after no refusal. Without the trouble all wait and nobody repeats.
func playTakeUp(r *rig) {
	r.store.put("op/config", config(7))
	behave := func(e *engine, c net.Conn, q *http.Request, _ []byte) bool {
		return e.answerStream(c, q, time.Millisecond, time.Millisecond, 3)
	}
	versions := []string{"v1", "v1", "v2"}
	for n, zone := range []string{"norte-a", "norte-b", "norte-c"} {
		r.addHost(zone, memoryMb).boot()
		r.startEngine("i-"+zone, "asesor", zone, versions[n], behave)
	}
	r.awaitReady(15 * time.Second)
	time.Sleep(2 * time.Second)
	h := r.hosts[0]
	var sent atomic.Int64
	var clients sync.WaitGroup
	end := time.Now().Add(takeUpTime)
	for n := range takeUpClients {
		conns, pause := 1, takeUpPause
		if r.trouble && n < takeUpAbusers {
			conns, pause = conns+takeUpRepeats, 0
		}
		for range conns {
			clients.Go(func() {
				for time.Now().Before(end) && h.alive() {
					r.takeUpOn(h, n, pause, &sent, end)
				}
			})
		}
	}
	clients.Wait()
	time.Sleep(200 * time.Millisecond)
	r.log("end", map[string]any{"take-ups": sent.Load()})
	for _, h := range r.hosts {
		if !h.alive() {
			r.breakRule("%s has ended by itself after %d requests: %s", h.name, sent.Load(), h.lastError())
		}
	}
}

// takeUpOn takes a client's streams up on one connection, one after the other. The stream is another one every second.
func (r *rig) takeUpOn(h *host, client int, pause time.Duration, sent *atomic.Int64, end time.Time) {
	c, err := net.DialTimeout("tcp4", h.front, time.Second)
	if err != nil {
		time.Sleep(10 * time.Millisecond)
		return
	}
	defer func() { _ = c.Close() }()
	var refused sync.Once // the record would grow too long with all of them
	for br := bufio.NewReader(c); time.Now().Before(end); {
		id := fmt.Sprintf("t%d", sent.Add(1))
		stream := fmt.Sprintf("s%d-%d", client, time.Now().Unix())
		_ = c.SetDeadline(time.Now().Add(3 * time.Second))
		_, _ = c.Write([]byte(head("POST", "/draft/x", id, "key-club", 3000, 4, "Last-Event-Id: 2\r\nResumes: "+stream+"\r\n") + "body"))
		a := readAnswer(br)
		if a.status != 200 {
			refused.Do(func() {
				r.log("answer", map[string]any{"id": id, "resumes": stream, "status": a.status, "error": fmt.Sprint(a.err)})
			})
		}
		if a.status != 200 {
			time.Sleep(pause)
		}
		if a.err != nil || a.header.Get("Connection") == "close" {
			return
		}
	}
}
