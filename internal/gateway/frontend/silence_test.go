package frontend_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"hickorypath/internal/gateway/config"
	"hickorypath/internal/gateway/frontend"
	"hickorypath/internal/policy/memory"
	"hickorypath/internal/standin/tcpprobe"
)

// acceptListener passes on the connections that it has accepted.
type acceptListener struct {
	net.Listener
	accepted chan net.Conn
}

// Accept implements net.Listener.
func (l acceptListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.accepted <- c
	}
	return c, err
}

// TestSilentSecondEndsConnections guards against connections that the kernel gives up while a caller, who waits for a response, is silent for a
// second.
func TestSilentSecondEndsConnections(t *testing.T) {
	const silence = 1500 * time.Millisecond
	is := is.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	listener := acceptListener{l, make(chan net.Conn, 1)}
	handled := make(chan struct{})
	s := frontend.New(func(_ context.Context, _ *frontend.Request, w *frontend.Writer) {
		w.WriteError(503, nil, "no")
		close(handled)
	}, func() config.Limits {
		return config.Limits{MaxHeadBytes: 1 << 10, MaxBodyBytes: 1 << 10, HeadTimeout: time.Minute, IdleTimeout: time.Minute}
	}, 10, memory.New(1<<20), time.Now, zap.NewNop())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Serve(t.Context(), listener)
	}()
	c, err := net.Dial("tcp4", l.Addr().String())
	is.NoErr(err)
	defer c.Close()
	_, err = c.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
	is.NoErr(err)
	<-handled // the options are set by then
	options, err := tcpprobe.Read(<-listener.accepted)
	is.NoErr(err)
	is.True(options.Survives(silence))
	is.True(options.UserTimeout > silence)
	is.NoErr(l.Close())
	<-done
}
