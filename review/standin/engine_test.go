package review

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// call is a request at an engine.
type call struct {
	engine *engine
	conn   net.Conn
	id     string
	req    *http.Request
	body   []byte
	n      int // requests that came before on the same channel
	prev   string
}

// engine is one upstream server.
type engine struct {
	id, service, address, zone, version string
	slots                               int
	store                               *kvStore
	born                                int64
	serve                               func(c *call) (keep bool) // runs and answers a request

	mu    sync.Mutex
	seq   int
	state string
	conns map[net.Conn]bool
	l     net.Listener
	stop  chan struct{}
}

func (e *engine) start() error {
	l, err := net.Listen("tcp4", e.address)
	if err != nil {
		return err
	}
	e.l, e.conns, e.stop, e.state, e.seq = l, map[net.Conn]bool{}, make(chan struct{}), "ready", 0
	e.born = time.Now().UnixMilli()
	go func(stop chan struct{}) {
		for {
			if e.beat() {
				select {
				case <-stop:
					return
				case <-time.After(1200 * time.Millisecond):
				}
				continue
			}
			select {
			case <-stop:
				return
			case <-time.After(300 * time.Millisecond): // the store is away
			}
		}
	}(e.stop)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			e.conns[c] = true
			e.mu.Unlock()
			go e.serveConn(c)
		}
	}()
	return nil
}

// beat writes the engine's entry to the store.
func (e *engine) beat() bool {
	e.mu.Lock()
	e.seq++
	entry := map[string]any{"service": e.service, "address": e.address, "zone": e.zone, "version": e.version, "slots": e.slots, "state": e.state, "coldRemainingMs": 0, "seq": e.seq, "born": e.born}
	e.mu.Unlock()
	return e.store.write("servers/"+e.id, entry)
}

// crash ends the engine: its channels are reset, and it says nothing to the store.
func (e *engine) crash() {
	_ = e.l.Close()
	close(e.stop)
	e.mu.Lock()
	defer e.mu.Unlock()
	for c := range e.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

func (e *engine) serveConn(c net.Conn) {
	defer func() {
		_ = c.Close()
		e.mu.Lock()
		delete(e.conns, c)
		e.mu.Unlock()
	}()
	br := bufio.NewReader(c)
	prev := ""
	for n := 0; ; n++ {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		id := req.Header.Get("Request-Id")
		if want := req.Header.Get("Target-Instance"); want != "" && want != e.id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nServed-By: %s\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", e.id, id)
			continue
		}
		if !e.serve(&call{e, c, id, req, body, n, prev}) {
			return
		}
		prev = id
	}
}

// head writes the head of an answer.
func (c *call) head(status int, fields string) {
	fmt.Fprintf(c.conn, "HTTP/1.1 %d %s\r\nRequest-Id: %s\r\nInstance-Load: 1,0,%d\r\n%s\r\n", status, http.StatusText(status), c.id, c.engine.slots, fields)
}

// answer writes a whole answer.
func (c *call) answer(status int, text string) bool {
	record("answer engine=%s id=%s status=%d", c.engine.id, c.id, status)
	_, err := fmt.Fprintf(c.conn, "HTTP/1.1 %d %s\r\nRequest-Id: %s\r\nResponse-Signature: sig-%s\r\nInstance-Load: 1,0,%d\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), c.id, c.id, c.engine.slots, len(text), text)
	return err == nil
}

// stream writes the events of a stream from the one after Last-Event-Id on.
func (c *call) stream(events int, gap time.Duration) bool {
	first := 0
	if last := c.req.Header.Get("Last-Event-Id"); last != "" {
		first, _ = strconv.Atoi(last)
	}
	c.head(200, "Response-Signature: sig-"+c.id+"\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")
	for n := first + 1; n <= events; n++ {
		time.Sleep(gap)
		e := fmt.Sprintf("id: %d\ndata: %s\n\n", n, c.engine.version)
		if _, err := fmt.Fprintf(c.conn, "%x\r\n%s\r\n", len(e), e); err != nil {
			record("cut engine=%s id=%s after=%d", c.engine.id, c.id, n-1)
			return false
		}
	}
	_, err := fmt.Fprint(c.conn, "0\r\n\r\n")
	record("end engine=%s id=%s", c.engine.id, c.id)
	return err == nil
}
