package peer_test

import (
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestAbandonedStreamArrivesAfterAPartition guards against a request that a partition holds up and that another host gets after it was given up.
func TestAbandonedStreamArrivesAfterAPartition(t *testing.T) {
	is := is.New(t)
	config := newSecretTLS(t, "a secret of more than 16 bytes")
	var drop atomic.Bool
	dropped := make(chan struct{}, 1)
	from, _ := openEndpoint(t, config, func(c net.PacketConn) net.PacketConn { return droppingConn{c, &drop, dropped} })
	to, _ := openEndpoint(t, config, nil)
	streams := to.Streams()
	send := func(text string) net.Conn {
		c, err := from.OpenStream(t.Context(), "other", to.Addr())
		is.NoErr(err)
		_, err = io.WriteString(c, text)
		is.NoErr(err)
		return c
	}
	receive := func(n int) (string, error) {
		c, err := streams.Accept()
		is.NoErr(err)
		is.NoErr(c.SetReadDeadline(time.Now().Add(wait)))
		data := make([]byte, n)
		n, err = io.ReadFull(c, data)
		return string(data[:n]), err
	}
	send("before")
	text, err := receive(len("before"))
	is.NoErr(err)
	is.Equal(text, "before")

	drop.Store(true)
	abandoned := send("abandoned")
	<-dropped
	is.NoErr(abandoned.Close())
	drop.Store(false)
	send("after")
	for text != "after" {
		if text, err = receive(len("after")); err == nil {
			is.Equal(text, "after")
		}
	}
}
