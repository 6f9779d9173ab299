package memnet

import (
	"context"
	"net"
	"strconv"
	"syscall"
	"time"
)

// Host is a host of a Net whose network link has a limited bandwidth in each direction. Its connections share the link.
type Host struct {
	net       *Net
	ip        string
	in, out   link
	latency   time.Duration
	packets   map[string]*PacketConn // by address
	bytesSent int
}

// AddHost adds a host with the IP address ip. Its link carries bytesPerSecond in each direction, without a limit if that is 0.
// What it sends arrives at least latency later.
func (n *Net) AddHost(ip string, bytesPerSecond float64, latency time.Duration) *Host {
	h := &Host{net: n, ip: ip, in: link{rate: bytesPerSecond}, out: link{rate: bytesPerSecond}, latency: latency, packets: map[string]*PacketConn{}}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[ip] = h
	return h
}

// BytesSent returns the number of bytes that the host has sent, those of lost datagrams included.
func (h *Host) BytesSent() int {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	return h.bytesSent
}

// Dial connects to the listener at addr, which must be an address of a host that AddHost returned.
func (h *Host) Dial(ctx context.Context, addr string) (net.Conn, error) {
	refused := &net.OpError{Op: "dial", Net: "mem", Addr: address(addr), Err: syscall.ECONNREFUSED}
	ip, _, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, err
	}
	h.net.mu.Lock()
	l, peer := h.net.listeners[address(addr)], h.net.hosts[ip]
	h.net.dialed++
	port := h.net.dialed
	h.net.mu.Unlock()
	if l == nil || peer == nil {
		return nil, refused
	}
	there, back := newStream(h, peer), newStream(peer, h)
	own := address(net.JoinHostPort(h.ip, strconv.Itoa(port)))
	near := &streamConn{read: back, write: there, local: own, remote: l.address}
	far := &streamConn{read: there, write: back, local: l.address, remote: own}
	if h.net.cuts(h, peer) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	select {
	case <-time.After(h.latency + peer.latency): // the handshake
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	select {
	case l.conns <- far:
		return near, nil
	case <-l.closed:
		return nil, refused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// link is one direction of a host's network link.
type link struct {
	rate   float64   // bytes per second; 0 for no limit
	freeAt time.Time // when the bytes that are queued have passed
}

// pass queues n bytes at t and returns when they have passed the link.
func (l *link) pass(t time.Time, n int) time.Time {
	if l.freeAt.Before(t) {
		l.freeAt = t
	}
	if l.rate > 0 {
		l.freeAt = l.freeAt.Add(time.Duration(float64(n) / l.rate * float64(time.Second)))
	}
	return l.freeAt
}

// send queues n bytes from one host to another and returns when they arrive. The caller holds the Net's mu.
func send(from, to *Host, n int) time.Time {
	from.bytesSent += n
	return to.in.pass(from.out.pass(time.Now(), n).Add(from.latency), n)
}
