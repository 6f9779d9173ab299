package intake

import (
	"bytes"
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

// TestNoDeadlineAfterTheRequest guards against an eviction that comes late and interrupts the next request of the connection. Over HTTP/2 it
// panicked.
func TestNoDeadlineAfterTheRequest(t *testing.T) {
	is := is.New(t)
	var b *body
	h := Handler(memory.New(1<<20), http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { b, _ = r.Body.(*body) }), func(*http.Request) int64 { return 1 << 20 })
	w := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
	h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/", bytes.NewReader([]byte("body"))))
	before := len(w.deadlines)
	b.interrupt()
	is.Equal(len(w.deadlines), before)
}
