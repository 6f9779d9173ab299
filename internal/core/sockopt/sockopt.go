// Package sockopt sets TCP socket options that package net does not provide.
package sockopt

import (
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// UserTimeout is how long the other end of a connection may leave sent data unacknowledged until the connection is given up. With it set,
	// Linux also gives up at the first keep-alive probe that is due later than that, whatever the number of probes. Three probes in a row
	// have to be lost then, so that an end which is silent for a second or two is not taken for one that is gone.
	UserTimeout = 3500 * time.Millisecond
	// probeInterval is the time between two keep-alive probes, and until the first. probeCount is what other kernels heed.
	probeInterval = time.Second
	probeCount    = 3
)

// KeepAlive returns the keep-alive probes of connections with a user timeout of UserTimeout.
func KeepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount}
}

// Control sets the user timeout of a socket to UserTimeout. It has the signature of net.Dialer.Control and net.ListenConfig.Control.
func Control(_, _ string, raw syscall.RawConn) error { return SetUserTimeout(raw, UserTimeout) }

// SetUserTimeout sets TCP_USER_TIMEOUT: the kernel closes a connection whose sent data stays unacknowledged for longer
// than d. The error is that of the system call.
func SetUserTimeout(raw syscall.RawConn, d time.Duration) error {
	var setErr error
	err := raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
	return errors.CombineErrors(err, setErr)
}

// ControlBuffers returns a function that sets the sizes of a socket's receive and send buffers to n bytes, of which the kernel takes up to twice
// as much. It has the signature of net.Dialer.Control and net.ListenConfig.Control.
func ControlBuffers(n int) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var setErr error
		err := raw.Control(func(fd uintptr) {
			setErr = errors.CombineErrors(unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, n), unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, n))
		})
		return errors.CombineErrors(err, setErr)
	}
}
