// Package memnet implements an in-memory network, so that HTTP clients and servers can communicate under the
// virtual time of testing/synctest.
package memnet

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
)

// Net is an in-memory network of listeners, keyed by address.
type Net struct {
	mu        sync.Mutex
	listeners map[address]*Listener
	hosts     map[string]*Host // by IP address
	dialed    int              // number of dials so far; gives each client connection a unique address
	isCut     func(a, b string) bool
}

// SetCut cuts pairs of hosts off from each other, by their IP addresses: what they send over connections is held back, and new
// connections are not opened. isCut may be nil.
func (n *Net) SetCut(isCut func(a, b string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isCut = isCut
}

// cuts reports whether two hosts are cut off from each other.
func (n *Net) cuts(a, b *Host) bool {
	n.mu.Lock()
	isCut := n.isCut
	n.mu.Unlock()
	return isCut != nil && (isCut(a.ip, b.ip) || isCut(b.ip, a.ip))
}

// New returns a Net without listeners.
func New() *Net { return &Net{listeners: map[address]*Listener{}, hosts: map[string]*Host{}} }

// Listener accepts connections that are dialed to its address until Close is called. It implements net.Listener.
type Listener struct {
	address
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// Listen returns a listener at addr. It replaces an earlier listener at the same address.
func (n *Net) Listen(addr string) *Listener {
	l := &Listener{address: address(addr), conns: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[l.address] = l
	return l
}

// Serve serves HTTP at addr with handler until the returned function is called.
func (n *Net) Serve(addr string, handler http.Handler) (stop func()) {
	l := n.Listen(addr)
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(l) }()
	return func() { _ = server.Close() }
}

// Dial connects to the listener at addr. Its signature is that of http.Transport.DialContext. Without a
// listener it fails with ECONNREFUSED.
func (n *Net) Dial(ctx context.Context, _, addr string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address(addr)]
	n.dialed++
	id := address(fmt.Sprintf("pipe:%d", n.dialed))
	n.mu.Unlock()
	refused := &net.OpError{Op: "dial", Net: "pipe", Addr: address(addr), Err: syscall.ECONNREFUSED}
	if l == nil {
		return nil, refused
	}
	near, far := net.Pipe()
	select {
	case l.conns <- &conn{Conn: far, local: l.address, remote: id}:
		return &conn{Conn: near, local: id, remote: l.address}, nil
	case <-l.closed:
		return nil, refused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return l.address }

type address string

func (address) Network() string  { return "pipe" }
func (a address) String() string { return string(a) }

type conn struct {
	net.Conn
	local, remote address
}

func (c *conn) LocalAddr() net.Addr  { return c.local }
func (c *conn) RemoteAddr() net.Addr { return c.remote }
