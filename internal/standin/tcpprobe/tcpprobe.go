// Package tcpprobe tells how long the other end of a TCP connection may be silent until the kernel gives the connection up.
package tcpprobe

import (
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Options are the socket options of a connection that decide when the kernel gives it up.
type Options struct {
	Idle, Interval time.Duration // until the first keep-alive probe, and between two
	Count          int           // of probes
	UserTimeout    time.Duration // TCP_USER_TIMEOUT; 0 for none
}

// Read returns the options of a connection.
func Read(c net.Conn) (o Options, err error) {
	conn, ok := c.(syscall.Conn)
	if !ok {
		return Options{}, errors.Newf("%T is no socket", c)
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return Options{}, err
	}
	get := func(fd uintptr, option int) int {
		n, optErr := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, option)
		err = errors.CombineErrors(err, optErr)
		return n
	}
	controlErr := raw.Control(func(fd uintptr) {
		o = Options{
			Idle:        time.Duration(get(fd, unix.TCP_KEEPIDLE)) * time.Second,
			Interval:    time.Duration(get(fd, unix.TCP_KEEPINTVL)) * time.Second,
			Count:       get(fd, unix.TCP_KEEPCNT),
			UserTimeout: time.Duration(get(fd, unix.TCP_USER_TIMEOUT)) * time.Millisecond,
		}
	})
	return o, errors.CombineErrors(err, controlErr)
}

// step is the resolution of the phases in which a silence may begin.
const step = 10 * time.Millisecond

// Survives reports whether a connection on which nothing is sent survives each silence of the other end of a length, as Linux decides: with a
// user timeout, the first probe that is due later than that since anything arrived gives the connection up, if one was not answered.
func (o Options) Survives(silence time.Duration) bool {
	for begin := time.Duration(0); begin <= o.Idle; begin += step {
		if o.endsIn(begin, begin+silence) {
			return false
		}
	}
	return true
}

// endsIn reports whether the connection is given up if what is sent between two times is not answered. The other end was heard last at 0.
func (o Options) endsIn(begin, end time.Duration) bool {
	lost := 0
	for at := o.Idle; ; at += o.Interval {
		if lost > 0 && (o.UserTimeout > 0 && at >= o.UserTimeout || o.UserTimeout == 0 && lost >= o.Count) {
			return true
		}
		if at < begin || at >= end {
			return false // the probe is answered
		}
		lost++
	}
}
