package tcpconn_test

import (
	"errors"
	"io"
	"net"
	"testing"

	"github.com/matryer/is"

	"hickorypath/internal/core/tcpconn"
)

// dial returns both ends of a connection.
func dial(t *testing.T) (c *tcpconn.Conn, other *net.TCPConn) {
	t.Helper()
	is := is.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { is.NoErr(l.Close()) }()
	near, err := net.Dial("tcp4", l.Addr().String())
	is.NoErr(err)
	far, err := l.Accept()
	is.NoErr(err)
	t.Cleanup(func() { _, _ = near.Close(), far.Close() })
	return tcpconn.New(near), far.(*net.TCPConn)
}

// TestCloseBeforeAWriteLooksOrderly plays a connection that is closed, with all bytes read, before the rest of a message is written.
func TestCloseBeforeAWriteLooksOrderly(t *testing.T) {
	is := is.New(t)
	conn, other := dial(t)
	_, err := io.WriteString(other, "part")
	is.NoErr(err)
	is.NoErr(other.Close())
	for err == nil {
		_, err = conn.Write(make([]byte, 1<<10))
	}
	data, err := io.ReadAll(conn)
	is.Equal(string(data), "part")
	is.True(err != nil)
}

// TestEndDuringAWrite guards against a reset that a Read takes for an orderly end, and an orderly end that waits for the Write.
func TestEndDuringAWrite(t *testing.T) {
	const plays, writeBytes = 50, 6 << 20 // more than the buffers of the kernel hold
	cases := []struct {
		name    string
		end     func(other *net.TCPConn) error
		orderly bool
	}{
		{"reset", func(other *net.TCPConn) error { return errors.Join(other.SetLinger(0), other.Close()) }, false},
		{"close with unread bytes", (*net.TCPConn).Close, false},
		{"half close", (*net.TCPConn).CloseWrite, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			for range plays {
				conn, other := dial(t)
				written := make(chan error, 1)
				go func() {
					_, err := conn.Write(make([]byte, writeBytes))
					written <- err
				}()
				_, err := io.ReadFull(other, make([]byte, 1<<10))
				is.NoErr(err)
				_, err = io.WriteString(other, "part")
				is.NoErr(err)
				is.NoErr(c.end(other))
				data, err := io.ReadAll(conn)
				is.Equal(string(data), "part")
				is.Equal(err == nil, c.orderly)
				is.NoErr(conn.Close()) // the write has ended
				is.Equal(errors.Is(<-written, tcpconn.ErrClosed), c.orderly)
			}
		})
	}
}
