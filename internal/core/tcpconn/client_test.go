package tcpconn_test

import (
	"errors"
	"io"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"hickorypath/internal/core/tcpconn"
)

// TestCloseResetsOnlyRequestsUnderWay guards against a reset of an idle connection, and an orderly end of one with a request under way.
func TestCloseResetsOnlyRequestsUnderWay(t *testing.T) {
	cases := []struct {
		name    string
		use     func(c *tcpconn.ClientConn)
		orderly bool
	}{
		{"first request", func(*tcpconn.ClientConn) {}, false},
		{"idle", func(c *tcpconn.ClientConn) { c.Begin()() }, true},
		{"later request", func(c *tcpconn.ClientConn) { c.Begin()(); c.Begin() }, false},
		{"later request, the earlier one ends once more", func(c *tcpconn.ClientConn) { end := c.Begin(); end(); c.Begin(); end() }, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			conn, other := dial(t)
			client := tcpconn.NewClient(conn) // which uses the TCP connection
			c.use(client)
			is.NoErr(client.Close())
			_, err := other.Read(make([]byte, 1))
			is.Equal(errors.Is(err, io.EOF), c.orderly)
			is.Equal(errors.Is(err, syscall.ECONNRESET), !c.orderly)
		})
	}
}
