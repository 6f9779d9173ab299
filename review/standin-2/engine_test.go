package standin2

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// heartbeat is how often an engine writes its entry.
const heartbeat = 1200 * time.Millisecond

// engine is a server of a service. It answers as its behave function says.
type engine struct {
	rig                              *rig
	id, service, address, zone, vers string
	born                             int64
	slots                            int
	behave                           func(e *engine, c net.Conn, r *http.Request, body []byte) bool
	mu                               sync.Mutex
	seq                              int
	draining, stopped, registered    bool
	conns                            map[net.Conn]bool
	listener                         net.Listener
	header                           string // further header lines of every answer
	running                          int
}

func (r *rig) startEngine(id, service, zone, version string, behave func(e *engine, c net.Conn, r *http.Request, body []byte) bool) *engine {
	return r.serveEngine(r.listen(), id, service, zone, version, behave)
}

// serveEngine starts an engine at a listener.
func (r *rig) serveEngine(l net.Listener, id, service, zone, version string, behave func(e *engine, c net.Conn, r *http.Request, body []byte) bool) *engine {
	e := &engine{rig: r, id: id, service: service, address: l.Addr().String(), zone: zone, vers: version, born: time.Now().UnixMilli(), slots: 64, behave: behave, conns: map[net.Conn]bool{}, listener: l, registered: true}
	e.beat()
	go func() {
		for range time.Tick(heartbeat) {
			e.beat()
		}
	}()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			e.conns[c] = true
			e.mu.Unlock()
			go e.serve(c)
		}
	}()
	return e
}

// beat writes the entry of the engine.
func (e *engine) beat() {
	e.mu.Lock()
	if e.stopped || !e.registered {
		e.mu.Unlock()
		return
	}
	e.seq++
	state := "ready"
	if e.draining {
		state = "draining"
	}
	entry := map[string]any{"service": e.service, "address": e.address, "zone": e.zone, "version": e.vers, "slots": e.slots, "state": state, "coldRemainingMs": 0, "seq": e.seq, "born": e.born}
	e.mu.Unlock()
	e.rig.store.put("servers/"+e.id, entry)
}

// crash ends the engine at once.
func (e *engine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stopped = true
	_ = e.listener.Close()
	for c := range e.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (e *engine) serve(c net.Conn) {
	defer func() {
		e.mu.Lock()
		delete(e.conns, c)
		e.mu.Unlock()
		_ = c.Close()
	}()
	br := bufio.NewReaderSize(c, 16<<10)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if id := r.Header.Get("Target-Instance"); id != "" && id != e.id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nServed-By: %s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Request-Id"), e.id)
			continue
		}
		if !e.behave(e, c, r, body) {
			return
		}
	}
}

// run records that the engine began to work on a request.
func (e *engine) run(r *http.Request) {
	e.rig.log("run", map[string]any{"engine": e.id, "service": e.service, "version": e.vers, "id": r.Header.Get("Request-Id"), "path": r.URL.Path, "tenant": r.Header.Get("Tenant"), "after": r.Header.Get("Last-Event-Id")})
}

// head returns the head of an answer without its end.
func (e *engine) head(r *http.Request, status int) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nRequest-Id: %s\r\nResponse-Signature: s.%s.%s\r\nInstance-Load: 1,0,%d\r\n%s", status, http.StatusText(status), r.Header.Get("Request-Id"), e.id, r.Header.Get("Request-Id"), e.slots, e.header)
}

// answerPlain works for a while and answers with a body.
func (e *engine) answerPlain(c net.Conn, r *http.Request, work time.Duration, size int) bool {
	e.run(r)
	time.Sleep(work)
	body := make([]byte, size)
	for i := range body {
		body[i] = 'a' + byte(i%26)
	}
	_, err := fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", e.head(r, 200), len(body), body)
	return err == nil
}

// answerStream sends a stream of events. It goes on after Last-Event-Id.
func (e *engine) answerStream(c net.Conn, r *http.Request, first, gap time.Duration, events int) bool {
	e.run(r)
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	time.Sleep(first)
	if _, err := fmt.Fprintf(c, "%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", e.head(r, 200)); err != nil {
		return false
	}
	for n := after + 1; n <= events; n++ {
		data, _ := json.Marshal(map[string]any{"n": n, "v": e.vers})
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", n, data)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
		time.Sleep(gap)
	}
	_, err := fmt.Fprint(c, "0\r\n\r\n")
	return err == nil
}
