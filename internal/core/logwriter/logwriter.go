// Package logwriter provides an io.Writer for log lines that never blocks the goroutine that logs.
//
// Lines are appended to a bounded buffer, and one goroutine writes the buffer to the output. When the output is too slow
// and the buffer is full, further lines are dropped and counted.
package logwriter

import (
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// maxPendingBytes bounds the buffer of lines that are not yet written.
	maxPendingBytes = 256 << 10
	// flushTimeout bounds the wait of Sync for a slow output when the process ends.
	flushTimeout = 200 * time.Millisecond
)

// Writer is a non-blocking log output. It is safe for concurrent use.
type Writer struct {
	out     io.Writer
	dropped *metrics.Counter

	mu      sync.Mutex
	pending []byte
	spare   []byte
	writing bool // run is writing the previous buffer to out
	wake    chan struct{}
	written chan struct{} // receives a value after each completed write to out
}

// New returns a Writer that writes to out and starts its goroutine, which runs until the process ends.
func New(out io.Writer) *Writer {
	w := &Writer{
		out: out, dropped: metrics.GetOrCreateCounter("hickorypath_log_lines_dropped_total"),
		wake: make(chan struct{}, 1), written: make(chan struct{}, 1),
	}
	go w.run()
	return w
}

// Write appends one line to the buffer. It never returns an error: a line that does not fit into the buffer is dropped.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	if len(w.pending)+len(line) > maxPendingBytes {
		w.mu.Unlock()
		w.dropped.Inc()
		return len(line), nil
	}
	w.pending = append(w.pending, line...)
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Sync waits until all buffered lines are written, for at most flushTimeout. It never returns an error.
func (w *Writer) Sync() error {
	timeout := time.NewTimer(flushTimeout)
	defer timeout.Stop()
	for {
		w.mu.Lock()
		done := len(w.pending) == 0 && !w.writing
		w.mu.Unlock()
		if done {
			return nil
		}
		select {
		case <-w.written:
		case <-timeout.C:
			return nil // the output is too slow, and the process must not wait longer
		}
	}
}

func (w *Writer) run() {
	for range w.wake {
		w.mu.Lock()
		batch := w.pending
		w.pending, w.writing = w.spare[:0], true
		w.mu.Unlock()
		_, _ = w.out.Write(batch) // there is no other place to report an error of the log output
		w.mu.Lock()
		w.spare, w.writing = batch[:0], false
		w.mu.Unlock()
		select {
		case w.written <- struct{}{}:
		default:
		}
	}
}
