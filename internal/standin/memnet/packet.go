package memnet

import (
	"net"
	"time"
)

// maxQueueTime is how long datagrams may wait for a link. Those that would wait longer are lost.
const maxQueueTime = 250 * time.Millisecond

// PacketConn receives the datagrams for an address of a Host. It implements net.PacketConn without deadlines.
type PacketConn struct {
	host    *Host
	local   address
	packets chan []byte
	closed  chan struct{}
}

// ListenPacket returns a PacketConn that receives the datagrams for addr, an address of the host. It replaces an earlier one.
func (h *Host) ListenPacket(addr string) *PacketConn {
	c := &PacketConn{host: h, local: address(addr), packets: make(chan []byte, 1024), closed: make(chan struct{})}
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	h.packets[addr] = c
	return c
}

// ReadFrom implements net.PacketConn.
func (c *PacketConn) ReadFrom(p []byte) (int, net.Addr, error) {
	select {
	case data := <-c.packets:
		return copy(p, data), c.local, nil
	case <-c.closed:
		return 0, nil, net.ErrClosed
	}
}

// WriteTo implements net.PacketConn. A datagram is lost if nobody listens at its address or a link is too busy.
func (c *PacketConn) WriteTo(p []byte, to net.Addr) (int, error) {
	ip, _, err := net.SplitHostPort(to.String())
	if err != nil {
		return 0, err
	}
	n := c.host.net
	n.mu.Lock()
	defer n.mu.Unlock()
	peer := n.hosts[ip]
	if peer == nil || peer.packets[to.String()] == nil {
		return len(p), nil
	}
	now := time.Now()
	if c.host.out.freeAt.Sub(now) > maxQueueTime || peer.in.freeAt.Sub(now) > maxQueueTime {
		return len(p), nil
	}
	receiver, data := peer.packets[to.String()], append([]byte(nil), p...)
	time.AfterFunc(time.Until(send(c.host, peer, len(p))), func() {
		select {
		case receiver.packets <- data:
		default: // the receiver's buffer is full
		}
	})
	return len(p), nil
}

// Close implements net.PacketConn.
func (c *PacketConn) Close() error {
	c.host.net.mu.Lock()
	defer c.host.net.mu.Unlock()
	select {
	case <-c.closed:
	default:
		close(c.closed)
	}
	return nil
}

// LocalAddr implements net.PacketConn.
func (c *PacketConn) LocalAddr() net.Addr { return c.local }

// SetDeadline implements net.PacketConn; it does nothing.
func (c *PacketConn) SetDeadline(time.Time) error { return nil }

// SetReadDeadline implements net.PacketConn; it does nothing.
func (c *PacketConn) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline implements net.PacketConn; it does nothing.
func (c *PacketConn) SetWriteDeadline(time.Time) error { return nil }
