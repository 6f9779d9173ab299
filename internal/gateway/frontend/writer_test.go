package frontend

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickorypath/internal/gateway/h1"
)

// TestNoHeadFollowsABegunResponse guards against a status line inside the body of a response.
func TestNoHeadFollowsABegunResponse(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	got := make(chan string)
	go func() {
		all, _ := io.ReadAll(far) // up to the close below
		got <- string(all)
	}()
	var r h1.Response
	is.NoErr(r.Read(bufio.NewReader(strings.NewReader("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")), 1024, []byte("GET")))
	w := newWriter(near, true, true, []byte("GET"), New(nil, nil, 1, nil, time.Now, nil))
	w.StartChunked(&r, func(h1.Field) bool { return false })
	is.NoErr(w.WriteChunk([]byte("event")))
	is.True(errors.Is(w.WriteResponse(&r, func(h1.Field) bool { return true }, []byte("ok")), ErrStarted))
	w.WriteError(500, nil, "failed")
	is.True(!w.isComplete())
	is.NoErr(near.Close())
	is.True(strings.HasSuffix(<-got, "\r\n\r\n5\r\nevent\r\n"))
}

// TestLateEvictionCutsNoResponse guards against an eviction that comes late, when the connection only waits for the client to read the response, and resets
// it.
func TestLateEvictionCutsNoResponse(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	c := &conn{raw: near, server: New(nil, nil, 1, nil, time.Now, nil), answered: true}
	c.interruptRead()
	go func() { _, _ = far.Write([]byte("r")) }()
	_, err := near.Read(make([]byte, 1))
	is.NoErr(err)
}
