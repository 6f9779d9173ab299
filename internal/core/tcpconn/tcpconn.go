// Package tcpconn has connections that report a reset to all who use them, and that are reset when a request is given up.
//
// The kernel reports a reset once. If a write gets the error, the next read sees an orderly end of the connection, and a
// message that is delimited by that end looks complete although its sender has not finished it.
package tcpconn

import (
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrClosed is the error of a Write that was ended because the other end has closed the connection.
var ErrClosed = errors.New("the other end has closed the connection")

// Conn is a connection whose Read does not report an orderly end if a Write has found the connection broken. Like any net.Conn it is
// safe for concurrent use.
type Conn struct {
	*ClientConn
	ended   atomic.Bool // a read has seen the end of the connection
	writing sync.Mutex  // held during a write; guards broken
	broken  error       // of the first write that found the connection broken
}

// New returns a Conn that uses c.
func New(c net.Conn) *Conn { return &Conn{ClientConn: NewClient(c)} }

// Read implements net.Conn. At the end of the connection it returns the error of the Write that found the connection broken, io.EOF if
// there is none.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.ClientConn.Read(p)
	if errors.Is(err, io.EOF) {
		err = c.end()
	}
	return n, err
}

// end returns the error of a Read at the end of the connection.
func (c *Conn) end() error {
	// A write under way may be the one that gets the error. It is ended, since the other end cannot answer what is still sent.
	c.ended.Store(true)
	_ = c.SetWriteDeadline(pastDeadline) // fails on a closed connection, whose writes have ended
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.broken != nil {
		return c.broken
	}
	return io.EOF
}

// pastDeadline is a deadline that has passed.
var pastDeadline = time.Unix(1, 0)

// Write implements net.Conn. It returns ErrClosed if a Read has seen the end of the connection.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.ClientConn.Write(p)
	switch {
	case err == nil:
	case !errors.Is(err, os.ErrDeadlineExceeded):
		if c.broken == nil {
			c.broken = errors.Wrap(err, "the connection broke during a write")
		}
	case c.ended.Load():
		err = ErrClosed
	}
	return n, err
}
