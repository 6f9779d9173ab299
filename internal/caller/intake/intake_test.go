package intake

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickorypath/internal/policy/memory"
)

// deadlineRecorder records the read deadlines that are set.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
	deadlines []time.Time
}

// SetReadDeadline implements the method that http.ResponseController calls.
func (r *deadlineRecorder) SetReadDeadline(t time.Time) error {
	r.deadlines = append(r.deadlines, t)
	return nil
}

// newOptions returns options for bodies of 8 MiB at most.
func newOptions(a *memory.Account) Options {
	return Options{Account: a, MaxBuffered: func(*http.Request) int64 { return 8 << 20 }}
}

// TestNoDeadlineAfterTheRequest guards against an eviction that comes late and interrupts the next request of the connection. Over HTTP/2 it
// panicked.
func TestNoDeadlineAfterTheRequest(t *testing.T) {
	is := is.New(t)
	var b *body
	h := Handler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { b, _ = r.Body.(*body) }), newOptions(memory.New(1<<20)))
	w := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
	h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/", bytes.NewReader([]byte("body"))))
	before := len(w.deadlines)
	b.interrupt()
	is.Equal(len(w.deadlines), before)
}

// lastByteReader returns the bytes of a body without io.EOF behind the last one, as the body of an HTTP/2 request does.
type lastByteReader struct{ io.Reader }

// TestBodyOfKnownLengthIsWholeAtItsLastByte guards against a request that is evicted while it is under way, since its handler has read all bytes but
// not the io.EOF behind them.
func TestBodyOfKnownLengthIsWholeAtItsLastByte(t *testing.T) {
	is := is.New(t)
	a := memory.New(1 << 20)
	h := Handler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, err := io.ReadFull(r.Body, make([]byte, 4))
		is.NoErr(err)
		is.Equal(a.Used(memory.Unfinished), int64(0))
		is.True(a.Used(memory.Request) > 0)
	}), newOptions(a))
	r := httptest.NewRequest(http.MethodPost, "/", lastByteReader{bytes.NewReader([]byte("body"))})
	r.ContentLength = 4
	h.ServeHTTP(httptest.NewRecorder(), r)
}

// TestBodyIsGrantedHalfOfWhatIsFree guards against a body that is refused on an idle host although three times its bytes fit, since its memory was
// rounded up to the next power of two.
func TestBodyIsGrantedHalfOfWhatIsFree(t *testing.T) {
	is := is.New(t)
	const size = 1 << 20
	h := Handler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, err := io.ReadAll(r.Body)
		is.NoErr(err)
	}), newOptions(memory.New(2*(copies*size+size/2))))
	h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/", bytes.NewReader(make([]byte, size))))
}
