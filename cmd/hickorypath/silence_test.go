package main

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickorypath/internal/core/settings"
	"hickorypath/internal/standin/tcpprobe"
	"hickorypath/internal/upstream/httpclient"
)

// TestSilentSecondEndsConnections guards against connections that the kernel gives up while the other end is silent for a second.
func TestSilentSecondEndsConnections(t *testing.T) {
	const silence = 1500 * time.Millisecond
	dial := func(t *testing.T, f func(addr string) (net.Conn, error)) net.Conn {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		is.New(t).NoErr(err)
		t.Cleanup(func() { _ = l.Close() })
		c, err := f(l.Addr().String())
		is.New(t).NoErr(err)
		return c
	}
	machine := newMachine("127.0.0.1")
	cases := []struct {
		name string
		open func(t *testing.T) net.Conn
	}{
		{"gateway to the store and to other hosts", func(t *testing.T) net.Conn {
			return dial(t, func(addr string) (net.Conn, error) { return machine.dial(t.Context(), addr) })
		}},
		{"gateway to other hosts, relayed requests", func(t *testing.T) net.Conn {
			return dial(t, func(addr string) (net.Conn, error) { return machine.dialHost(t.Context(), addr) })
		}},
		{"serve to upstreams", func(t *testing.T) net.Conn {
			return dial(t, func(addr string) (net.Conn, error) { return httpclient.NewDialFunc()(t.Context(), "tcp", addr) })
		}},
		{"serve to callers and operators", func(t *testing.T) net.Conn {
			l, err := listen(settings.Listener{Listen: "127.0.0.1:0"})
			is.New(t).NoErr(err)
			t.Cleanup(func() { _ = l.Close() })
			c, err := net.Dial("tcp4", l.Addr().String())
			is.New(t).NoErr(err)
			t.Cleanup(func() { _ = c.Close() })
			accepted, err := l.Accept()
			is.New(t).NoErr(err)
			return accepted
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			conn := c.open(t)
			defer conn.Close()
			options, err := tcpprobe.Read(conn)
			is.NoErr(err)
			t.Logf("%+v", options)
			is.True(options.Survives(silence))
			is.True(options.UserTimeout > silence)
		})
	}
}
