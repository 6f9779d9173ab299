package openai

import (
	"net/http"
	"sync"
	"time"

	"hickorypath/internal/caller/exchange"
	"hickorypath/internal/caller/reply"
)

// writer writes one response to a caller, either as a whole or as server-sent events.
type writer struct {
	mu         sync.Mutex
	w          http.ResponseWriter
	r          *http.Request
	rc         *http.ResponseController
	stream     bool
	started    bool
	lastWrite  time.Time
	buf        []byte // reused for each event
	stop       chan struct{}
	heartbeats sync.WaitGroup
}

// newWriter returns a writer for the response to r. It writes server-sent events if stream is set.
func newWriter(w http.ResponseWriter, r *http.Request, stream bool) *writer {
	return &writer{w: w, r: r, rc: http.NewResponseController(w), stream: stream, stop: make(chan struct{})}
}

// output returns the Output that writes to w.
func (w *writer) output() exchange.Output {
	return exchange.Output{WriteEvent: w.event}
}

// event writes one event of a streamed response, or the whole body of a response that is not streamed.
func (w *writer) event(data []byte) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.started {
		w.start()
	}
	if !w.stream {
		reply.ExtendWriteDeadline(w.rc)
		_, err := w.w.Write(data)
		return err
	}
	return w.send("data: ", data)
}

// isStarted reports whether a part of the response was written.
func (w *writer) isStarted() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.started
}

// start writes the response header. The caller holds the lock.
func (w *writer) start() {
	w.started = true
	if !w.stream {
		w.w.Header().Set("Content-Type", "application/json")
		w.w.WriteHeader(http.StatusOK)
		return
	}
	w.w.Header().Set("Content-Type", "text/event-stream")
	w.w.Header().Set("Cache-Control", "no-cache")
	w.w.WriteHeader(http.StatusOK)
	w.heartbeats.Go(w.heartbeat)
}

// send writes one line and the blank line that ends an event. The caller holds the lock.
func (w *writer) send(field string, data []byte) error {
	reply.ExtendWriteDeadline(w.rc)
	w.buf = append(append(append(w.buf[:0], field...), data...), "\n\n"...)
	if _, err := w.w.Write(w.buf); err != nil {
		return err
	}
	w.lastWrite = time.Now()
	return w.rc.Flush()
}

// heartbeat sends comments on a stream without events, so that proxies and load balancers on the path do not close
// the idle connection.
func (w *writer) heartbeat() {
	tick := time.NewTicker(heartbeatInterval)
	defer tick.Stop()
	for {
		select {
		case <-w.stop:
			return
		case <-tick.C:
			w.sendHeartbeat()
		}
	}
}

// sendHeartbeat sends a comment, unless an event is being written.
func (w *writer) sendHeartbeat() {
	if !w.mu.TryLock() {
		return
	}
	defer w.mu.Unlock()
	if time.Since(w.lastWrite) >= heartbeatInterval {
		_ = w.send(": ", []byte("waiting"))
	}
}

// finish ends the response. If nothing was written yet, it returns err unchanged.
func (w *writer) finish(err error) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.started {
		return err
	}
	defer reply.ExtendWriteDeadline(w.rc) // for the data that is still buffered
	if !w.stream {
		return nil
	}
	if err != nil {
		_ = w.send("data: ", reply.ErrorBody(err))
		reply.Abort(w.w, w.r) // or the caller would mistake the partial response for a complete one
	}
	_ = w.send("data: ", []byte("[DONE]"))
	return nil
}

// close stops the heartbeats. The caller calls it once.
func (w *writer) close() {
	close(w.stop)
	w.heartbeats.Wait()
}
