package upstream_test

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickorypath/internal/gateway/upstream"
	"hickorypath/internal/standin/tcpprobe"
)

// silentSecond is how long a sound upstream may send nothing.
const silentSecond = 1500 * time.Millisecond

// TestSilentSecondEndsConnections guards against connections that the kernel gives up while an upstream is silent for a second.
func TestSilentSecondEndsConnections(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	c, err := upstream.NewDialer().Dial(t.Context(), l.Addr().String())
	is.NoErr(err)
	defer c.Close()
	options, err := tcpprobe.Read(c)
	is.NoErr(err)
	is.True(options.Survives(silentSecond))
	is.True(options.UserTimeout > silentSecond) // of data that is not acknowledged
}
