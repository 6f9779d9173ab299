package instance

import (
	"net/http"
	"strings"
	"sync"
	"time"
)

// Poison is a part of prompts that crashes each instance that begins to write a response to a request with it. It is shared by the
// instances of a service and safe for concurrent use.
type Poison struct {
	part    string        // identifier, in hexadecimal
	delay   time.Duration // from the arrival of a request until the crash
	onCrash func(s *Server)

	mu       sync.Mutex
	crashes  []time.Time
	arrivals []time.Time // of requests with the part
}

// NewPoison returns a Poison that calls onCrash for each instance that it crashes, after its connections are broken.
func NewPoison(part string, delay time.Duration, onCrash func(s *Server)) *Poison {
	return &Poison{part: part, delay: delay, onCrash: onCrash}
}

// Crashes returns the number of crashes so far, and how long ago the last one was.
func (p *Poison) Crashes() (n int, since time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n = len(p.crashes); n == 0 {
		return 0, 0
	}
	return n, time.Since(p.crashes[n-1])
}

// ArrivalsAfter returns the number of requests with the part that arrived later than d after the n-th crash.
func (p *Poison) ArrivalsAfter(n int, d time.Duration) (late int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, at := range p.arrivals {
		if len(p.crashes) >= n && at.Sub(p.crashes[n-1]) > d {
			late++
		}
	}
	return late
}

// isIn reports whether a request has the part, not as its last one.
func (p *Poison) isIn(r *http.Request) bool {
	parts := strings.Split(r.Header.Get("Prefix-Hash"), ",")
	for _, part := range parts[:len(parts)-1] {
		if id, _, _ := strings.Cut(part, ":"); id == p.part {
			return true
		}
	}
	return false
}

// crash crashes an instance because of a request that has arrived, unless the request is canceled before.
func (p *Poison) crash(s *Server, r *http.Request) {
	p.mu.Lock()
	p.arrivals = append(p.arrivals, time.Now())
	p.mu.Unlock()
	select {
	case <-r.Context().Done():
		return
	case <-time.After(p.delay):
	}
	if s.crashed.Swap(true) {
		return
	}
	s.Close()
	p.mu.Lock()
	p.crashes = append(p.crashes, time.Now())
	p.mu.Unlock()
	p.onCrash(s)
}
