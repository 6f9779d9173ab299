// Package proxy implements a loopback TCP proxy that injects network faults.
package proxy

import (
	"io"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"hickorypath/internal/standin/gate"
)

// Mode selects how a proxy treats its connections, including those already open.
type Mode int

// Proxy modes.
const (
	Pass          Mode = iota // data is forwarded unchanged
	Delay                     // data is forwarded after readDelay
	Blackhole                 // data is held back in both directions and no connection is closed
	HoldRequests              // data from the client is held back; data from the server is forwarded
	HoldResponses             // data from the server is held back; data from the client is forwarded
	Reset                     // open and new connections are reset
)

// FaultModes lists the modes that disturb all clients of a proxy alike.
var FaultModes = []Mode{Delay, Blackhole, HoldResponses, Reset}

// readDelay is the delay of each read in mode Delay.
const readDelay = 150 * time.Millisecond

// Proxy forwards TCP connections to one address.
type Proxy struct {
	target   string
	dialer   net.Dialer
	listener *gate.Listener

	mu          sync.Mutex
	mode        Mode
	modeChanged *sync.Cond // signaled when mode, held or closed changes
	held        int        // reads whose data is held back, or not yet forwarded or dropped after that
	conns       map[net.Conn]bool
	closed      bool
	serving     sync.WaitGroup
}

// New returns a running proxy that forwards to target.
func New(target string) (*Proxy, error) { return NewAt("127.0.0.1:0", target) }

// NewAt returns a running proxy that listens on an address. Only one with a port other than 0 can be cut.
func NewAt(address, target string) (*Proxy, error) {
	return NewFrom(address, target, "")
}

// NewFrom is like NewAt, but the proxy forwards connections from an IP address, that of the client for which it stands, by which the server
// knows it. The address may be empty.
func NewFrom(address, target, source string) (*Proxy, error) {
	l, err := gate.Listen(address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, listener: l, conns: map[net.Conn]bool{}}
	if source != "" {
		p.dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(source)}
	}
	p.modeChanged = sync.NewCond(&p.mu)
	go p.accept()
	return p, nil
}

// Addr returns the address that the proxy listens on.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// SetMode changes the mode of all connections. Reset resets the open connections at once.
func (p *Proxy) SetMode(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m == Reset {
		p.resetAll()
	}
	p.modeChanged.Broadcast()
}

// Cut is what becomes of the connections through a network partition.
type Cut int

// The kinds of cuts.
const (
	CutHangs    Cut = iota // open connections carry nothing, and new ones are not opened
	CutResets              // open connections are reset, and new ones are refused
	CutNew                 // open connections live on, and new ones are refused
	CutNewHangs            // open connections live on, and new ones are not opened
)

// Cut cuts the proxy off from its clients until Heal is called.
func (p *Proxy) Cut(c Cut) error {
	switch c {
	case CutHangs:
		p.SetMode(Blackhole)
		return p.listener.Fill()
	case CutNewHangs:
		return p.listener.Fill()
	case CutResets:
		p.mu.Lock()
		p.resetAll()
		p.mu.Unlock()
	}
	return p.listener.Refuse()
}

// Heal ends a cut.
func (p *Proxy) Heal() error {
	p.SetMode(Pass)
	return p.listener.Open()
}

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.resetAll()
	p.modeChanged.Broadcast()
}

func (p *Proxy) resetAll() {
	for c := range p.conns {
		reset(c)
	}
	clear(p.conns)
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.serving.Go(func() { p.serve(c) })
	}
}

// AwaitHeld waits until data is held back, or none that was read, or the proxy is closed.
func (p *Proxy) AwaitHeld(held bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.held > 0 != held && !p.closed {
		p.modeChanged.Wait()
	}
}

// Wait waits until all connections have ended.
func (p *Proxy) Wait() { p.serving.Wait() }

func (p *Proxy) serve(near net.Conn) {
	if p.waitWhileBlocked(opening) == Reset {
		reset(near)
		return
	}
	far, err := p.dialer.Dial("tcp4", p.target)
	if err != nil {
		reset(near)
		return
	}
	p.mu.Lock()
	p.conns[near], p.conns[far] = true, true
	p.mu.Unlock()
	var wait sync.WaitGroup
	wait.Go(func() { p.copy(far, near, requests) })
	wait.Go(func() { p.copy(near, far, responses) })
	wait.Wait()
	p.mu.Lock()
	delete(p.conns, near)
	delete(p.conns, far)
	p.mu.Unlock()
	_, _ = near.Close(), far.Close() // both directions have ended
}

// step is a part of a connection that a mode can hold back.
type step int

const (
	opening step = iota
	requests
	responses
)

// copy forwards the data of a step as the mode allows.
func (p *Proxy) copy(to, from net.Conn, s step) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && !p.forward(to, from, buf[:n], s) {
			return
		}
		if err != nil {
			if t, ok := to.(*net.TCPConn); ok && err == io.EOF {
				_ = t.CloseWrite()
				return
			}
			reset(to)
			return
		}
	}
}

// forward forwards data that was read, once the mode allows it, and reports whether more can follow.
func (p *Proxy) forward(to, from net.Conn, data []byte, s step) bool {
	p.mu.Lock()
	wasHeld := p.isBlocked(s)
	p.mu.Unlock()
	if wasHeld {
		p.addHeld(1)
		defer p.addHeld(-1)
	}
	if p.waitWhileBlocked(s) == Reset {
		return false
	}
	if wasHeld && isBroken(from) { // the data is lost with its sender's buffer
		reset(to)
		return false
	}
	if _, err := to.Write(data); err != nil {
		reset(from)
		return false
	}
	return true
}

func (p *Proxy) addHeld(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held += n
	p.modeChanged.Broadcast()
}

// isBroken reports whether the other end of a connection has reset it.
func isBroken(c net.Conn) bool {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	broken := false
	err = raw.Control(func(fd uintptr) {
		code, err := unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR)
		broken = err != nil || code != 0
	})
	return err != nil || broken
}

// isBlocked reports whether the mode holds a step back. The caller holds p.mu.
func (p *Proxy) isBlocked(s step) bool {
	return p.mode == Blackhole || p.mode == HoldRequests && s == requests || p.mode == HoldResponses && s == responses
}

// waitWhileBlocked blocks while the mode holds a step back, and returns the mode in effect afterwards. It returns Reset
// once the proxy is closed.
func (p *Proxy) waitWhileBlocked(s step) Mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mode == Delay {
		p.mu.Unlock()
		time.Sleep(readDelay)
		p.mu.Lock()
	}
	for !p.closed && p.isBlocked(s) {
		p.modeChanged.Wait()
	}
	if p.closed {
		return Reset
	}
	return p.mode
}
