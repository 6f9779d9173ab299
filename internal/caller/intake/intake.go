// Package intake bounds what callers can take of a host before their requests are read whole: memory for bodies, time, and
// connections.
package intake

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/policy/memory"
)

const (
	// copies is how often the bytes of a body are held: as received, as parsed, and as sent to an upstream.
	copies = 3
	// growthParts is the reciprocal of the share by which a hold grows beyond the bytes that were received. A doubled one would refuse bodies that fit.
	growthParts = 8
	// streamMemory is what a request on an HTTP/2 connection holds beside its body: its head and the stacks of the server. Other connections carry one
	// request at a time, and the bound on connections covers it.
	streamMemory = 64 << 10
	// stallTimeout is how long a body may take for memory.ProgressBytes of it. There is no bound on the whole body.
	stallTimeout = 30 * time.Second
	// minRetryAfter and maxRetryAfter bound the delay after which a caller should come back whose request found no memory. It is drawn at
	// random, so that the callers of a crowd do not come back together.
	minRetryAfter = 250 * time.Millisecond
	maxRetryAfter = time.Second
)

// Options configures a Handler.
type Options struct {
	Account     *memory.Account
	MaxBuffered func(*http.Request) int64              // how many bytes of the body of a request are kept at a time
	Refuse      func(w http.ResponseWriter, err error) // responds to a request for which there is no memory
}

// Handler returns a handler that calls next with requests that draw the memory of their bodies on an account.
func Handler(next http.Handler, o Options) http.Handler {
	a := o.Account
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn := connOf(r)
		if r.ProtoMajor > 1 {
			stream := a.Open(time.Now(), memory.Request, clientOf(r), nil)
			defer stream.Close()
			if err := stream.Grow(time.Now(), streamMemory); err != nil {
				o.Refuse(w, overloadError(err))
				return
			}
		}
		if r.Body == nil || r.Body == http.NoBody {
			if !conn.begin(nil) {
				panic(http.ErrAbortHandler) // no response, not an empty one
			}
			defer conn.end(nil)
			next.ServeHTTP(w, r)
			return
		}
		b := &body{ReadCloser: r.Body, rc: http.NewResponseController(w), conn: conn, length: r.ContentLength, most: copies * o.MaxBuffered(r)}
		b.hold = a.Open(time.Now(), memory.Unfinished, clientOf(r), b.interrupt)
		defer b.hold.Close()
		defer b.release()
		conn.beginRead(b.hold)
		defer conn.end(b.hold)
		b.setReadDeadline(time.Now().Add(stallTimeout))
		r.Body = b
		next.ServeHTTP(w, r)
	})
}

// clientOf returns the address from which a request came, without the port.
func clientOf(r *http.Request) string {
	client, _, _ := net.SplitHostPort(r.RemoteAddr)
	return client
}

// body is the body of a request, which holds memory for the bytes that were read.
type body struct {
	io.ReadCloser
	rc       *http.ResponseController
	conn     *conn
	hold     *memory.Hold
	length   int64 // of the whole body, -1 if unknown
	most     int64 // bytes to hold
	granted  int64 // bytes held
	received int64
	progress int64 // bytes received since the last progress of the hold
	ended    bool

	mu          sync.Mutex
	interrupted bool // reads were interrupted to give up the request
	released    bool // the deadline of the connection is no longer that of this request
}

// Read implements io.Reader. An error of kind Overload means that the body was given up because memory is short.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.received += int64(n)
	if b.progress += int64(n); b.progress >= memory.ProgressBytes {
		b.progress = 0
		now := time.Now()
		b.hold.Progress(now)
		b.setReadDeadline(now.Add(stallTimeout))
	}
	if growErr := b.grow(); growErr != nil {
		b.interrupt()
		return 0, overloadError(growErr)
	}
	if isWhole := err == nil && b.received == b.length; (isWhole || err != nil) && !b.ended {
		b.ended = true
		err = b.end(err)
	}
	return n, err
}

// grow adjusts the hold to the bytes that were received.
func (b *body) grow() error {
	want := min(copies*b.received, b.most)
	if want <= b.granted {
		return b.hold.Err()
	}
	size := min(max(want+want/growthParts, memory.FreeSize), b.most)
	if err := b.hold.Grow(time.Now(), size); err != nil {
		return err
	}
	b.granted = size
	return nil
}

// end handles the end of the body, or the failure of a read. The reader may not ask for the io.EOF behind a body of known length, so that its last byte
// is its end, with a nil err.
func (b *body) end(err error) error {
	if err != nil && !errors.Is(err, io.EOF) {
		if b.hold.Err() != nil {
			return overloadError(b.hold.Err())
		}
		return err
	}
	b.setReadDeadline(time.Time{})
	b.release()
	if evicted := b.hold.Complete(); evicted != nil {
		return overloadError(evicted)
	}
	if !b.conn.begin(b.hold) {
		return overloadError(net.ErrClosed)
	}
	return err
}

// setReadDeadline sets the deadline of reads, unless they were interrupted.
func (b *body) setReadDeadline(t time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.interrupted && !b.released {
		_ = b.rc.SetReadDeadline(t) // the connections of other hosts have no deadlines
	}
}

// interrupt ends the current read and all later ones.
func (b *body) interrupt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.interrupted = true; !b.released {
		_ = b.rc.SetReadDeadline(time.Unix(1, 0))
	}
}

// release ends the use of the connection's deadline, at the end of the body or of the request. The connection may carry another request then, and
// over HTTP/2 the deadline of a request that has ended must not be set. The last deadline stays, for the server discards what was not read.
func (b *body) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.released = true
}

func overloadError(err error) error {
	return kind.Wrap(err, kind.Overload, "the host has no memory for the request").WithRan(kind.RanNo).WithRetry(minRetryAfter + rand.N(maxRetryAfter-minRetryAfter))
}

// ReadError returns the error for a request whose body could not be read.
func ReadError(err error) error {
	if kind.Of(err) == kind.Overload {
		return err
	}
	return kind.Wrap(err, kind.Canceled, "the body did not arrive whole").WithRan(kind.RanNo)
}

// connKey is the context key of a function that returns the connection of a request.
type connKey struct{}

func connOf(r *http.Request) *conn {
	if find, ok := r.Context().Value(connKey{}).(func() *conn); ok {
		return find()
	}
	return nil
}

// Context is the ConnContext of a server whose connections are tracked by c. The server calls it before Track.
func (c *Conns) Context(ctx context.Context, raw net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, func() *conn { return c.find(raw) })
}
