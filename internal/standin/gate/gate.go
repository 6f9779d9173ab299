// Package gate provides a TCP listener whose new connections can be refused or kept waiting, as behind a network partition or at a
// server in need.
package gate

import (
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Listener is a TCP listener that can be opened and shut. It is safe for concurrent use.
type Listener struct {
	*net.TCPListener

	mu        sync.Mutex
	changed   *sync.Cond // signaled when state, closed or accepting changes
	state     state
	closed    bool
	accepting bool       // the next connection will be taken from the queue
	fillers   []net.Conn // connections that fill the queue
}

type state int

const (
	open    state = iota
	full          // the queue of new connections is full: the kernel drops opening packets, which are sent again after a second
	refused       // the kernel resets new connections
)

const (
	usualBacklog = 4096
	// fillTimeout is how long a connection may take to be opened before the queue counts as full.
	fillTimeout = 100 * time.Millisecond
)

// Listen returns an open listener. Only one whose address has a port other than 0 can refuse connections.
func Listen(address string) (*Listener, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	g := &Listener{TCPListener: l.(*net.TCPListener)} //nolint:forcetypeassert // a listener of network tcp4 is one
	g.changed = sync.NewCond(&g.mu)
	return g, nil
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		l.mu.Lock()
		for l.state != open && !l.closed {
			l.changed.Wait()
		}
		l.accepting = true
		l.mu.Unlock()
		c, err := l.TCPListener.Accept()
		l.mu.Lock()
		l.accepting = false
		l.changed.Broadcast()
		for l.state == full && !l.closed {
			l.changed.Wait()
		}
		l.mu.Unlock()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return c, err
		}
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.mu.Lock()
	l.closed = true
	l.changed.Broadcast()
	l.mu.Unlock()
	return l.TCPListener.Close()
}

// control calls f with the socket of the listener.
func (l *Listener) control(f func(fd int) error) error {
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	var callErr error
	err = raw.Control(func(fd uintptr) { callErr = f(int(fd)) })
	return errors.CombineErrors(err, callErr)
}

func (l *Listener) setState(s state) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = s
	l.changed.Broadcast()
}

// Fill fills the queue of new connections, so that further ones wait until Open is called.
func (l *Listener) Fill() error {
	l.setState(full)
	if err := l.control(func(fd int) error { return syscall.Listen(fd, 0) }); err != nil {
		return err
	}
	for {
		c, err := net.DialTimeout("tcp4", l.Addr().String(), fillTimeout)
		if err != nil {
			return nil //nolint:nilerr // the queue is full
		}
		l.mu.Lock()
		l.fillers = append(l.fillers, c)
		for l.accepting && !l.closed { // until the connection is taken from the queue
			l.changed.Wait()
		}
		l.mu.Unlock()
	}
}

// Refuse refuses new connections until Open is called.
func (l *Listener) Refuse() error {
	l.setState(refused)
	return l.control(func(fd int) error { return syscall.Shutdown(fd, syscall.SHUT_RDWR) })
}

// Open accepts new connections again.
func (l *Listener) Open() error {
	l.mu.Lock()
	for _, c := range l.fillers {
		_ = c.Close()
	}
	l.fillers = nil
	l.mu.Unlock()
	err := l.control(func(fd int) error { return syscall.Listen(fd, usualBacklog) })
	l.setState(open)
	return err
}
