package standin2

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// link is a machine's way to an address of the platform. While it is cut, bytes are held up. They arrive after its end with the next
// retransmission of their sender, unless that has reset the connection. Connections that are opened meanwhile come to nothing.
type link struct {
	target string
	onData func(first []byte) // called with the first bytes of each connection, before they are passed on

	mu     sync.Mutex
	cutAt  time.Time
	healed chan struct{} // closed at the end of the cut; nil without one
}

// firstRetransmission is the time after which a sender repeats what was not acknowledged. It doubles each time.
const firstRetransmission = 200 * time.Millisecond

// newLink returns a link to a target, and the address at which it is used.
func (r *rig) newLink(target string) (*link, string) {
	l, k := r.listen(), &link{target: target}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go k.serve(c)
		}
	}()
	return k, l.Addr().String()
}

// cut cuts the link for a time.
func (k *link) cut(d time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	healed := make(chan struct{})
	k.cutAt, k.healed = time.Now(), healed
	time.AfterFunc(d, func() {
		k.mu.Lock()
		k.healed = nil
		k.mu.Unlock()
		close(healed)
	})
}

// await waits for the end of a cut, and then until the next retransmission of bytes that were sent at a time.
func (k *link) await(sent time.Time) {
	k.mu.Lock()
	healed := k.healed
	k.mu.Unlock()
	if healed == nil {
		return
	}
	<-healed
	at, pause := sent, firstRetransmission
	for at.Before(time.Now()) {
		at, pause = at.Add(pause), 2*pause
	}
	time.Sleep(time.Until(at))
}

func (k *link) isCut() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.healed != nil
}

func (k *link) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	if k.isCut() {
		k.await(time.Now())
		return
	}
	to, err := net.Dial("tcp4", k.target)
	if err != nil {
		return
	}
	defer func() { _ = to.Close() }()
	go func() {
		defer func() { _ = c.Close() }()
		k.pass(c, to, nil)
	}()
	k.pass(to, c, k.onData)
}

// pass passes bytes on. What a sender has sent before it closed the connection is passed on as well, but not before it reset it.
func (k *link) pass(to, from net.Conn, onData func([]byte)) {
	type part struct {
		data []byte
		sent time.Time
	}
	parts, reset := make(chan part, 1024), make(chan struct{})
	go func() {
		defer close(parts)
		for {
			buf := make([]byte, 32<<10)
			n, err := from.Read(buf)
			if n > 0 {
				parts <- part{buf[:n], time.Now()}
			}
			if errors.Is(err, syscall.ECONNRESET) {
				close(reset)
			}
			if err != nil {
				return
			}
		}
	}()
	for p := range parts {
		if onData != nil {
			onData(p.data)
			onData = nil
		}
		k.await(p.sent)
		select {
		case <-reset:
			return
		default:
		}
		if _, err := to.Write(p.data); err != nil {
			return
		}
	}
	if t, ok := to.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
	_, _ = io.Copy(io.Discard, from)
}
