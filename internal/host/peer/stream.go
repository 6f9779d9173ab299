package peer

import (
	"context"
	"net"
	"sync"

	"github.com/quic-go/quic-go"

	"hickorypath/internal/core/kind"
)

// maxIncomingStreams is the number of open streams of one connection on which another host may send and receive.
const maxIncomingStreams = 256

// OpenStream opens a stream to the host id at addr, on which both ends send and receive.
func (e *Endpoint) OpenStream(ctx context.Context, id, addr string) (net.Conn, error) {
	l := e.link(id, addr)
	if l == nil {
		return nil, net.ErrClosed
	}
	type result struct {
		conn *quic.Conn
		err  error
	}
	connected := make(chan result, 1)
	go func() { // the handshake ends within handshakeTimeout
		conn, err := l.connect()
		connected <- result{conn, err}
	}()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case r := <-connected:
		if r.err != nil {
			return nil, r.err
		}
		s, err := r.conn.OpenStream()
		if err != nil {
			return nil, kind.Wrap(err, kind.Peer, "%s takes no further stream", id)
		}
		return &clientStream{streamConn{Stream: s, conn: r.conn}}, nil
	}
}

// clientStream is the end of a stream that has opened it and sends a request on it.
type clientStream struct{ streamConn }

// Close ends both directions of the stream. What was written and has not arrived is not sent again: the response is complete, or the
// request is given up.
func (c *clientStream) Close() error {
	c.CancelWrite(0)
	c.CancelRead(0)
	return nil
}

// Streams returns a listener of the streams that other hosts open.
func (e *Endpoint) Streams() net.Listener {
	return &streamListener{endpoint: e, closed: make(chan struct{})}
}

// acceptStreams passes the streams of a connection to the listener until the connection is closed.
func (e *Endpoint) acceptStreams(conn *quic.Conn) {
	for {
		s, err := conn.AcceptStream(e.ctx)
		if err != nil {
			return
		}
		c := &streamConn{Stream: s, conn: conn}
		select {
		case e.streams <- c:
		case <-conn.Context().Done():
			return
		}
	}
}

type streamListener struct {
	endpoint *Endpoint
	closed   chan struct{}
	once     sync.Once
}

// Accept implements net.Listener.
func (l *streamListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.endpoint.streams:
		return c, nil
	case <-l.endpoint.ctx.Done():
	case <-l.closed:
	}
	return nil, net.ErrClosed
}

// Close implements net.Listener. The streams stay open.
func (l *streamListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *streamListener) Addr() net.Addr { return l.endpoint.socket.LocalAddr() }

// streamConn is a stream as a net.Conn.
type streamConn struct {
	*quic.Stream
	conn *quic.Conn
}

// Close ends both directions of the stream. What was written is still sent.
func (c *streamConn) Close() error {
	c.CancelRead(0)
	return c.Stream.Close()
}

// LocalAddr implements net.Conn.
func (c *streamConn) LocalAddr() net.Addr { return c.conn.LocalAddr() }

// RemoteAddr implements net.Conn.
func (c *streamConn) RemoteAddr() net.Addr { return c.conn.RemoteAddr() }
