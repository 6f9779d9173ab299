package service

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"hickorypath/internal/standin/memnet"
)

// TestCallerThatReadsNothing sends a long body to a caller that does not read it: writing must fail after some time.
func TestCallerThatReadsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var failed error
		net := memnet.New()
		stop := net.Serve("host:80", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			failed = respond(w, http.StatusOK, http.Header{}, strings.NewReader(strings.Repeat("x", 1<<20)))
		}))
		defer stop()
		conn, err := net.Dial(t.Context(), "tcp", "host:80")
		is.NoErr(err)
		defer conn.Close()
		_, err = conn.Write([]byte("GET / HTTP/1.1\r\nHost: host\r\n\r\n"))
		is.NoErr(err)
		time.Sleep(time.Minute)
		synctest.Wait()
		is.True(failed != nil)
	})
}

// TestMarkOfAnotherRouterIsPassedOn guards against a service that is a router itself and whose refusals look like those of this one.
func TestMarkOfAnotherRouterIsPassedOn(t *testing.T) {
	is := is.New(t)
	w := httptest.NewRecorder()
	w.Header().Set("Hickorypath-Relay-Token", "own")
	header := http.Header{"Hickorypath-Ran": {"no"}, "Hickorypath-Relay-Token": {"other"}, "X-Kept": {"1"}}
	is.NoErr(respond(w, http.StatusServiceUnavailable, header, strings.NewReader("full")))
	is.Equal(w.Header(), http.Header{"Hickorypath-Relay-Token": {"own"}, "X-Kept": {"1"}, "X-Request-Id": {""}})
}

// TestFailedResponseIsNotCompleteForHTTP10 covers callers whose responses end with the connection.
func TestFailedResponseIsNotCompleteForHTTP10(t *testing.T) {
	is := is.New(t)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body := io.MultiReader(strings.NewReader("half"), iotest.ErrReader(errors.New("connection to the service failed")))
		finish(w, r, true, respond(w, http.StatusOK, http.Header{}, body))
	}))
	defer s.Close()
	conn, err := net.Dial("tcp", s.Listener.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	_, err = io.WriteString(conn, "GET / HTTP/1.0\r\nHost: host\r\n\r\n")
	is.NoErr(err)
	_, err = io.ReadAll(conn)
	is.True(err != nil)
}
