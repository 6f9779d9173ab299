package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"go.uber.org/zap"

	"hickorypath/internal/core/kind"
)

type message struct {
	data     []byte
	reliable bool
}

// link sends messages to one other host. It has a queue and a connection that is opened when needed.
type link struct {
	endpoint    *Endpoint
	queue       chan message
	streamSlots chan struct{} // semaphore with one element for each stream being written
	ctx         context.Context
	cancel      context.CancelFunc

	mu             sync.Mutex
	addr           string
	conn           *quic.Conn
	useNewPort     bool // the next connection must use a new local port
	generation     int  // increases when a connection that is being opened must no longer be used
	extraTransport *quic.Transport
}

func newLink(e *Endpoint, addr string) *link {
	l := &link{endpoint: e, queue: make(chan message, queueLen), streamSlots: make(chan struct{}, maxStreamWrites), addr: addr}
	l.ctx, l.cancel = context.WithCancel(e.ctx)
	return l
}

// setAddr changes the address of the host and closes the connection, unless it leads to the new address.
func (l *link) setAddr(addr string) {
	l.mu.Lock()
	if addr == "" || addr == l.addr {
		l.mu.Unlock()
		return
	}
	l.addr = addr
	l.generation++
	conn := l.conn
	if conn != nil && conn.RemoteAddr().String() == addr {
		conn = nil
	} else {
		l.conn = nil
	}
	l.mu.Unlock()
	if conn != nil {
		_ = conn.CloseWithError(0, "the address has changed")
	}
}

// setConn makes conn, on which the other host was heard last, the connection for sending. The network path of
// any other connection may have failed.
func (l *link) setConn(conn *quic.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn = conn
}

// reset closes the connection and makes the next connection use a new local port.
func (l *link) reset() {
	l.mu.Lock()
	conn := l.conn
	l.conn = nil
	l.useNewPort = true
	l.generation++
	l.mu.Unlock()
	if conn != nil {
		_ = conn.CloseWithError(0, "reset")
	}
}

func (l *link) run() {
	defer l.closeExtraTransport()
	for {
		select {
		case <-l.ctx.Done():
			return
		case m := <-l.queue:
			l.deliver(m)
		}
	}
}

// deliver sends a message, opening a connection if there is none. If the dial fails, the message and all queued
// messages are dropped. A datagram that is too large for the connection is sent on a stream.
func (l *link) deliver(m message) {
	conn, err := l.connect()
	if err != nil {
		failedDials.Inc()
		droppedMessages.Inc()
		l.endpoint.opts.Log.Debug("failed to connect to another host", zap.Error(err))
		l.dropQueued()
		select {
		case <-l.ctx.Done():
		case <-time.After(redialDelay):
		}
		return
	}
	if !m.reliable {
		var tooLarge *quic.DatagramTooLargeError
		if err := conn.SendDatagram(m.data); !errors.As(err, &tooLarge) {
			return
		}
	}
	l.sendStream(conn, m.data)
}

// sendStream writes a message to a new stream in a separate goroutine, so that a stalled stream does not delay
// datagrams. If maxStreamWrites streams are being written already, the message is dropped, as it would be if the
// queue were full.
func (l *link) sendStream(conn *quic.Conn, data []byte) {
	select {
	case l.streamSlots <- struct{}{}:
	default:
		droppedMessages.Inc()
		return
	}
	l.endpoint.wg.Go(func() {
		defer func() { <-l.streamSlots }()
		if err := writeStream(l.ctx, conn, data); err != nil {
			l.endpoint.opts.Log.Debug("failed to write a stream to another host", zap.Error(err))
		}
	})
}

// dropQueued drops the messages that were queued during a failed dial. They are stale, and the next exchange
// between the hosts makes up for their loss.
func (l *link) dropQueued() {
	for {
		select {
		case <-l.queue:
			droppedMessages.Inc()
		default:
			return
		}
	}
}

// connect returns the open connection, or dials a new one. It dials again if the link was reset or its address changed
// during a dial.
func (l *link) connect() (*quic.Conn, error) {
	for {
		l.mu.Lock()
		conn, addr, useNewPort, generation := l.conn, l.addr, l.useNewPort, l.generation
		l.mu.Unlock()
		if conn != nil && conn.Context().Err() == nil {
			return conn, nil
		}
		conn, err := l.dialInTime(addr, useNewPort)
		if err != nil {
			return nil, kind.Wrap(err, kind.Peer, "dial %s", addr)
		}
		l.mu.Lock()
		current := l.generation == generation
		if current {
			l.conn, l.useNewPort = conn, false
		}
		l.mu.Unlock()
		if current {
			l.endpoint.wg.Go(func() { l.endpoint.serve(conn) })
			return conn, nil
		}
		_ = conn.CloseWithError(0, "superseded")
	}
}

func (l *link) dialInTime(addr string, useNewPort bool) (*quic.Conn, error) {
	dials.Inc()
	ctx, cancel := context.WithTimeout(l.ctx, handshakeTimeout)
	defer cancel()
	return l.dial(ctx, addr, useNewPort)
}

// dial opens a connection to addr, from a new local port if useNewPort is set.
func (l *link) dial(ctx context.Context, addr string, useNewPort bool) (*quic.Conn, error) {
	to, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, err
	}
	t := l.endpoint.transport
	if useNewPort {
		if t, err = l.reopenExtraTransport(); err != nil {
			return nil, err
		}
	}
	return t.Dial(ctx, to, l.endpoint.opts.TLS, quicConfig())
}

// reopenExtraTransport replaces the link's extra transport, if any, by one with a socket on a new port.
func (l *link) reopenExtraTransport() (*quic.Transport, error) {
	l.closeExtraTransport()
	local := l.endpoint.socket.LocalAddr().(*net.UDPAddr)
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: local.IP})
	if err != nil {
		return nil, err
	}
	t := &quic.Transport{Conn: l.endpoint.wrap(socket)}
	l.mu.Lock()
	l.extraTransport = t
	l.mu.Unlock()
	return t, nil
}

func (l *link) closeExtraTransport() {
	l.mu.Lock()
	t := l.extraTransport
	l.extraTransport = nil
	l.mu.Unlock()
	if t != nil {
		_ = t.Close()
		_ = t.Conn.Close()
	}
}

func writeStream(ctx context.Context, conn *quic.Conn, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, streamTimeout)
	defer cancel()
	s, err := conn.OpenUniStreamSync(ctx)
	if err != nil {
		return err
	}
	_ = s.SetWriteDeadline(time.Now().Add(streamTimeout))
	if _, err := s.Write(data); err != nil {
		s.CancelWrite(0)
		return err
	}
	return s.Close()
}

func readStream(s *quic.ReceiveStream) ([]byte, error) {
	_ = s.SetReadDeadline(time.Now().Add(streamTimeout))
	data, err := io.ReadAll(io.LimitReader(s, MaxMessage+1))
	if err != nil {
		return nil, err
	}
	if len(data) > MaxMessage {
		s.CancelRead(0)
		return nil, kind.New(kind.Peer, "message exceeds %d bytes", MaxMessage)
	}
	return data, nil
}
