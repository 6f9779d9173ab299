package service_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/policy/advisory"
	"hickorypath/internal/upstream/service"
)

// TestRejectionBeforeTheBodyIsReadIsLost guards against a service that rejects a long request before it has read it, and whose
// rejection, with the pause for which it asks, is not read.
func TestRejectionBeforeTheBodyIsReadIsLost(t *testing.T) {
	const bodyBytes, calls = 4 << 20, 20
	cases := []struct {
		name  string
		close bool // the service closes the connection after its response
	}{{"closes", true}, {"keeps the connection", false}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			is.NoErr(err)
			t.Cleanup(func() { _ = l.Close() })
			go func() {
				for {
					conn, err := l.Accept()
					if err != nil {
						return
					}
					go reject(conn, c.close, bodyBytes)
				}
			}()
			client := service.New(service.Options{})
			defer client.Close()
			read := 0
			for range calls {
				_, err := client.Do(t.Context(), l.Addr().String(), service.Call{ //nolint:bodyclose // the call fails
					AttemptID: "a", Method: http.MethodPost, Path: "/", Header: http.Header{}, Body: strings.NewReader(strings.Repeat("x", bodyBytes)), BodyLength: bodyBytes,
					OnAdvisory: func(s advisory.Statement) {
						if s.Pause.Length() == 4*time.Second {
							read++
						}
					},
				})
				is.Equal(kind.Of(err), kind.Rejected)
			}
			is.Equal(read, calls)
		})
	}
}

// reject reads the heads of requests and rejects them. It then closes the connection, or names the attempt, as the next request may come on the
// same connection, and reads on later.
func reject(conn net.Conn, closes bool, bodyBytes int64) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		for line := ""; line != "\r\n"; {
			var err error
			if line, err = r.ReadString('\n'); err != nil {
				return
			}
		}
		id := "X-Request-Id: a\r\n"
		if closes {
			id = ""
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 503 Full\r\n"+id+"X-Ran: no\r\nRetry-After: 4\r\nContent-Length: 0\r\n\r\n")
		if closes {
			return
		}
		<-time.After(100 * time.Millisecond)
		if _, err := io.CopyN(io.Discard, r, bodyBytes); err != nil {
			return
		}
	}
}
