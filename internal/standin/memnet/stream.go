package memnet

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	// maxSegment is the largest number of bytes that a connection sends without letting others send.
	maxSegment = 8 << 10
	// window is the number of bytes of a connection that may be on their way or unread.
	window = 64 << 10
)

// stream is one direction of a connection.
type stream struct {
	from, to *Host

	mu       sync.Mutex
	changed  *sync.Cond
	pending  [][]byte // segments on their way, in order
	data     []byte   // received and not read
	unread   int      // bytes in pending and data
	ended    bool     // the sender has closed the connection
	dead     bool     // the receiver has closed the connection
	received bool     // all segments before the end have arrived
}

func newStream(from, to *Host) *stream {
	s := &stream{from: from, to: to}
	s.changed = sync.NewCond(&s.mu)
	return s
}

func (s *stream) write(p []byte, deadline *deadline) (n int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for n < len(p) {
		for s.unread >= window && !s.dead && !s.ended && !deadline.isOver() {
			s.changed.Wait()
		}
		switch {
		case s.ended:
			return n, net.ErrClosed
		case s.dead:
			return n, syscall.EPIPE
		case deadline.isOver():
			return n, timeoutError{}
		}
		segment := append([]byte(nil), p[n:min(len(p), n+maxSegment)]...)
		n += len(segment)
		s.enqueue(segment)
	}
	return n, nil
}

// enqueue sends a segment, nil for the end of the stream. The caller holds s.mu.
func (s *stream) enqueue(segment []byte) {
	s.unread += len(segment)
	s.pending = append(s.pending, segment)
	s.from.net.mu.Lock()
	at := send(s.from, s.to, len(segment))
	s.from.net.mu.Unlock()
	time.AfterFunc(time.Until(at), s.deliver)
}

// cutInterval is how often a segment is sent again that a cut holds back.
const cutInterval = 50 * time.Millisecond

// deliver delivers the first segment on its way.
func (s *stream) deliver() {
	if s.from.net.cuts(s.from, s.to) {
		time.AfterFunc(cutInterval, s.deliver)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	segment := s.pending[0]
	s.pending = s.pending[1:]
	s.data = append(s.data, segment...)
	s.received = segment == nil
	s.changed.Broadcast()
}

func (s *stream) read(p []byte, deadline *deadline) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.data) == 0 && !s.received && !s.dead && !deadline.isOver() {
		s.changed.Wait()
	}
	switch {
	case s.dead:
		return 0, net.ErrClosed
	case deadline.isOver():
		return 0, timeoutError{}
	case len(s.data) == 0:
		return 0, io.EOF
	}
	n := copy(p, s.data)
	s.data = s.data[n:]
	s.unread -= n
	s.changed.Broadcast()
	return n, nil
}

func (s *stream) closeWrite() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ended {
		s.ended = true
		s.enqueue(nil)
		s.changed.Broadcast()
	}
}

func (s *stream) closeRead() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dead = true
	s.changed.Broadcast()
}

// streamConn is one end of a connection between two Hosts. It implements net.Conn.
type streamConn struct {
	read, write   *stream
	local, remote address

	readDeadline, writeDeadline deadline
}

// Read implements net.Conn.
func (c *streamConn) Read(p []byte) (int, error) { return c.read.read(p, &c.readDeadline) }

// Write implements net.Conn.
func (c *streamConn) Write(p []byte) (int, error) { return c.write.write(p, &c.writeDeadline) }

// Close implements net.Conn.
func (c *streamConn) Close() error {
	c.write.closeWrite()
	c.read.closeRead()
	return nil
}

// LocalAddr implements net.Conn.
func (c *streamConn) LocalAddr() net.Addr { return c.local }

// RemoteAddr implements net.Conn.
func (c *streamConn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline implements net.Conn.
func (c *streamConn) SetDeadline(t time.Time) error {
	_ = c.SetReadDeadline(t)
	return c.SetWriteDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (c *streamConn) SetReadDeadline(t time.Time) error {
	c.readDeadline.set(t, c.read.changed.Broadcast)
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *streamConn) SetWriteDeadline(t time.Time) error {
	c.writeDeadline.set(t, c.write.changed.Broadcast)
	return nil
}

// timeoutError is the error of a read or write whose deadline is over.
type timeoutError struct{}

func (timeoutError) Error() string   { return "deadline is over" }
func (timeoutError) Timeout() bool   { return true }
func (timeoutError) Temporary() bool { return true }
func (timeoutError) Unwrap() error   { return os.ErrDeadlineExceeded }

// deadline is the time after which reads or writes fail.
type deadline struct {
	mu    sync.Mutex
	at    time.Time // zero for none
	timer *time.Timer
}

// set sets the deadline and calls wake when it is over, and now, so that waiting calls see it.
func (d *deadline) set(at time.Time, wake func()) {
	d.mu.Lock()
	if d.timer != nil {
		d.timer.Stop()
		d.timer = nil
	}
	d.at = at
	// A timer that is due at once can crash the race detector under testing/synctest (Go 1.26).
	if left := time.Until(at); !at.IsZero() && left > 0 {
		d.timer = time.AfterFunc(left, wake)
	}
	d.mu.Unlock()
	wake()
}

func (d *deadline) isOver() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.at.IsZero() && !time.Now().Before(d.at)
}
