package lease

import (
	"io"
	"sync"

	"hickorypath/internal/core/kind"
)

// writeGuard checks the lease before each write of one request and records the result of the writes. The
// record is needed since the HTTP client does not always return the error of a write: its reader may see the
// closed connection first.
type writeGuard struct {
	check func() error

	mu      sync.Mutex
	stopErr error // why no further write is allowed
	sent    bool  // some of the request may have been sent
}

// write writes p to w if the lease is still valid.
func (g *writeGuard) write(w io.Writer, p []byte) (int, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopErr != nil {
		return 0, g.stopErr
	}
	if err := g.check(); err != nil {
		g.stopErr = err
		return 0, err
	}
	g.sent = true
	return w.Write(p)
}

// close blocks all further writes and returns the error to report for a request that failed with err.
func (g *writeGuard) close(err error) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopErr != nil {
		return g.stopErr
	}
	g.stopErr = err
	if !g.sent {
		return kind.Wrap(err, kind.Unavailable, "request not sent")
	}
	return kind.Wrap(err, kind.Lost, "request sent but no response received")
}
