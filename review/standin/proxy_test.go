package review

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
)

// proxy passes the channels of the hosts on to an engine, and can reset them.
type proxy struct {
	l      net.Listener
	target string

	mu    sync.Mutex
	conns map[*net.TCPConn]*net.TCPConn // channels of the hosts, with those to the engine
}

func newProxy(address, target string) (*proxy, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{l: l, target: target, conns: map[*net.TCPConn]*net.TCPConn{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.pass(c.(*net.TCPConn))
		}
	}()
	return p, nil
}

func (p *proxy) pass(c *net.TCPConn) {
	defer c.Close()
	d, err := net.Dial("tcp4", p.target)
	if err != nil {
		_ = c.SetLinger(0)
		return
	}
	defer d.Close()
	p.mu.Lock()
	p.conns[c] = d.(*net.TCPConn)
	p.mu.Unlock()
	go func() {
		_, _ = io.Copy(d, c)
		_ = d.Close()
	}()
	_, _ = io.Copy(c, d)
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// reset resets a share of the open channels, at both ends, and returns their number.
func (p *proxy) reset(share float64) (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c, d := range p.conns {
		if rand.Float64() < share {
			n++
			_, _ = c.SetLinger(0), d.SetLinger(0) // so that Close resets
			_, _ = c.Close(), d.Close()
		}
	}
	return n
}
