package frontend

import (
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"hickorypath/internal/gateway/h1"
)

// writeTimeout bounds one write to a client that does not read.
const writeTimeout = 5 * time.Second

// Writer writes the response to one request. If the response is not completed, the connection is closed without a
// proper end of the message, so that the client detects the failure.
type Writer struct {
	raw        net.Conn
	server     *Server
	method     []byte
	persistent atomic.Bool
	finished   atomic.Bool
	started    bool
	chunks     bool // a response of unknown length is sent in chunks; otherwise it ends with the connection
	ended      bool
	fields     [][2]string // added to the head of the response
	buf        []byte
}

func newWriter(raw net.Conn, persistent, chunks bool, method []byte, s *Server) *Writer {
	w := &Writer{raw: raw, server: s, method: method, chunks: chunks}
	w.persistent.Store(persistent)
	return w
}

// IsStarted reports whether any part of the response was written.
func (w *Writer) IsStarted() bool { return w.started }

// AddFields adds header fields to the response, which must not have started.
func (w *Writer) AddFields(fields [][2]string) { w.fields = append(w.fields, fields...) }

// ErrStarted means that a response has begun, so that nothing but the rest of its body may follow.
var ErrStarted = errors.New("the response has begun")

// WriteError writes a complete response that the router generates itself. It writes nothing if a response has begun.
func (w *Writer) WriteError(status int, fields [][2]string, text string) {
	if w.started {
		return
	}
	w.AddFields(fields)
	w.appendStatusLine(status)
	w.buf = append(w.buf, "Content-Type: text/plain\r\n"...)
	_ = w.writeBody([]byte(text + "\n")) // the connection is closed if the write failed
}

// WriteResponse writes a complete upstream response; keep selects the header fields to relay. It returns ErrStarted and writes
// nothing if a response has begun.
func (w *Writer) WriteResponse(r *h1.Response, keep func(h1.Field) bool, body []byte) error {
	if w.started {
		return ErrStarted
	}
	w.appendStatusLine(r.Status())
	w.appendFields(r, keep)
	return w.writeBody(body)
}

// StartChunked starts a response of unknown length; the head is sent together with the first chunk.
func (w *Writer) StartChunked(r *h1.Response, keep func(h1.Field) bool) {
	w.appendStatusLine(r.Status())
	w.appendFields(r, keep)
	if w.chunks {
		w.buf = append(w.buf, "Transfer-Encoding: chunked\r\n"...)
	}
	w.buf = append(w.buf, "\r\n"...)
}

// WriteChunk writes a chunk of the response.
func (w *Writer) WriteChunk(p []byte) error {
	if len(p) == 0 {
		return nil
	}
	if !w.chunks {
		w.buf = append(w.buf, p...)
		return w.flush()
	}
	w.buf = strconv.AppendInt(w.buf, int64(len(p)), 16)
	w.buf = append(w.buf, "\r\n"...)
	w.buf = append(w.buf, p...)
	w.buf = append(w.buf, "\r\n"...)
	return w.flush()
}

// EndChunked ends a chunked response.
func (w *Writer) EndChunked() error {
	if w.chunks {
		w.buf = append(w.buf, "0\r\n\r\n"...)
	}
	err := w.flush()
	w.ended = err == nil
	return err
}

func (w *Writer) appendStatusLine(status int) {
	if w.server.isDraining() {
		w.persistent.Store(false)
	}
	w.buf = append(w.buf, "HTTP/1.1 "...)
	w.buf = strconv.AppendInt(w.buf, int64(status), 10)
	w.buf = append(w.buf, ' ')
	w.buf = append(w.buf, http.StatusText(status)...)
	w.buf = append(w.buf, "\r\n"...)
	if !w.persistent.Load() {
		w.buf = append(w.buf, "Connection: close\r\n"...)
	}
	for _, f := range w.fields {
		w.buf = append(append(append(append(w.buf, f[0]...), ": "...), f[1]...), "\r\n"...)
	}
}

func (w *Writer) appendFields(r *h1.Response, keep func(h1.Field) bool) {
	for _, f := range r.Fields() {
		if !keep(f) {
			continue
		}
		w.buf = append(append(append(append(w.buf, f.Name()...), ": "...), f.Value()...), "\r\n"...)
	}
}

func (w *Writer) writeBody(body []byte) error {
	w.buf = append(w.buf, "Content-Length: "...)
	w.buf = strconv.AppendInt(w.buf, int64(len(body)), 10)
	w.buf = append(w.buf, "\r\n\r\n"...)
	if string(w.method) == http.MethodHead {
		body = nil
	}
	if len(body) <= copiedBodySize {
		w.buf, body = append(w.buf, body...), nil
	}
	err := w.flush()
	if err == nil && len(body) > 0 {
		_, err = w.raw.Write(body)
	}
	w.ended = err == nil
	return err
}

// copiedBodySize is the size up to which a body is copied behind its head, to be written with one system call. A larger one would be held
// twice.
const copiedBodySize = 16 << 10

func (w *Writer) flush() error {
	w.started = true
	_ = w.raw.SetWriteDeadline(w.server.now().Add(writeTimeout))
	_, err := w.raw.Write(w.buf)
	w.buf = w.buf[:0]
	return err
}

// finish ends the response after the handler returned; a response that was not completed closes the connection.
// Where the end of the connection would look like the end of the response, the connection is reset. finish reports whether
// another request may follow.
func (w *Writer) finish() bool {
	if !w.ended {
		w.persistent.Store(false)
		if t, ok := w.raw.(*net.TCPConn); ok && w.started && !w.chunks {
			_ = t.SetLinger(0) // Close still ends the connection
		}
	}
	w.finished.Store(true)
	return w.persistent.Load()
}

func (w *Writer) isFinished() bool { return w.finished.Load() }

// isPersistent reports whether the connection stays open after the response.
func (w *Writer) isPersistent() bool { return w.persistent.Load() }

// isComplete reports whether the response was written completely.
func (w *Writer) isComplete() bool { return w.ended }
