package gate_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"hickorypath/internal/standin/gate"
)

func TestListener(t *testing.T) {
	cases := []struct {
		name    string
		shut    func(l *gate.Listener) error
		timeout bool // a connection hangs; otherwise it is refused
	}{
		{"full", (*gate.Listener).Fill, true},
		{"refused", (*gate.Listener).Refuse, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l, err := gate.Listen("127.77.0.1:9000")
			is.NoErr(err)
			defer func() { _ = l.Close() }()
			go func() {
				for {
					conn, err := l.Accept()
					if err != nil {
						return
					}
					_, _ = io.WriteString(conn, "x")
					_ = conn.Close()
				}
			}()
			check := func(wantErr bool) {
				conn, err := net.DialTimeout("tcp4", l.Addr().String(), 300*time.Millisecond)
				if wantErr {
					var timeout net.Error
					is.True(errors.As(err, &timeout))
					is.Equal(timeout.Timeout(), c.timeout)
					return
				}
				is.NoErr(err)
				data, err := io.ReadAll(conn)
				is.NoErr(err)
				is.Equal(string(data), "x")
			}
			for range 2 {
				check(false)
				is.NoErr(c.shut(l))
				check(true)
				is.NoErr(l.Open())
			}
			check(false)
		})
	}
}
