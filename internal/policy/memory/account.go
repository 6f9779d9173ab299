// Package memory divides a part of a host's memory among what the host holds for clients and upstreams: requests that are being
// read, requests under way, and buffered responses.
//
// Each of them is bounded by itself, which does not bound their sum: many clients that stop just short of the end of a large
// request would use up the memory of the host.
package memory

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Kind says for what memory is held.
type Kind int

// The kinds of holds.
const (
	Unfinished Kind = iota // request that is being read
	Request                // request that was read whole
	Response               // buffered response, or part of one
	kinds
)

// Kinds lists all kinds.
var Kinds = []Kind{Unfinished, Request, Response}

// String returns the kind as it appears in metrics.
func (k Kind) String() string { return [...]string{"unfinished", "request", "response"}[k] }

// Errors of Hold.Grow.
var (
	ErrFull    = errors.New("no memory is left for the request or response")
	ErrEvicted = errors.New("the request was given up in favor of others")
	ErrClosed  = errors.New("the request or response has ended")
)

const (
	// FreeSize is the size in bytes up to which a hold is granted whatever the others take.
	FreeSize = 4 << 10
	// ProgressBytes is how many bytes of a request have to arrive within slowAfter for it not to be slow.
	ProgressBytes = 16 << 10
	slowAfter     = time.Second
)

// Account is the memory that all holds may take together, in bytes. It is safe for concurrent use.
type Account struct {
	total int64

	mu         sync.Mutex
	used       [kinds]int64
	refused    [kinds]uint64
	evicted    uint64
	unfinished map[*Hold]struct{}
}

// New returns an Account of total bytes.
func New(total int64) *Account {
	return &Account{total: total, unfinished: map[*Hold]struct{}{}}
}

// Hold is the memory of one request or response.
type Hold struct {
	account  *Account
	client   string
	evict    func()
	opened   time.Time
	progress atomic.Int64 // when the hold made progress last, in nanoseconds since opened: a jump of the time of day changes nothing

	kind    Kind // account.mu guards the fields from here on
	size    int64
	evicted bool
	closed  bool
}

// Open returns a Hold of size 0 for a client. The holds of one client, which is named by its address, are weighed together. Evict is called
// at most once, from another goroutine than the hold's own, when an unfinished request has to be given up; it must not block.
func (a *Account) Open(now time.Time, k Kind, client string, evict func()) *Hold {
	h := &Hold{account: a, client: client, evict: evict, kind: k, opened: now}
	if k == Unfinished {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.unfinished[h] = struct{}{}
	}
	return h
}

// Progress records that a further ProgressBytes of the request have arrived.
func (h *Hold) Progress(now time.Time) { h.progress.Store(int64(now.Sub(h.opened))) }

// LastProgress returns when the hold was opened or made progress last.
func (h *Hold) LastProgress() time.Time { return h.opened.Add(time.Duration(h.progress.Load())) }

// isSlow reports whether the request has made little progress lately.
func (h *Hold) isSlow(now time.Time) bool {
	return now.Sub(h.LastProgress()) >= slowAfter
}

// Grow changes the size of the hold. It returns ErrFull if the size is not granted, ErrEvicted if the hold was evicted, and ErrClosed after Close.
// Unfinished requests that are slow, or of clients that hold more, are evicted to make room.
func (h *Hold) Grow(now time.Time, size int64) error {
	victims, err := h.grow(now, size)
	for _, v := range victims {
		v.evict()
	}
	return err
}

func (h *Hold) grow(now time.Time, size int64) ([]*Hold, error) {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.evicted {
		return nil, ErrEvicted
	}
	if h.closed {
		return nil, ErrClosed
	}
	var victims []*Hold
	if missing := a.missing(h, size); missing > 0 {
		if victims = a.pickVictims(now, h, size, missing); victims == nil {
			a.refused[h.kind]++
			return nil, ErrFull
		}
		for _, v := range victims {
			a.evicted++
			v.evicted = true
			a.resize(v, 0)
			delete(a.unfinished, v)
		}
	}
	a.resize(h, size)
	return victims, nil
}

func (a *Account) resize(h *Hold, size int64) {
	a.used[h.kind] += size - h.size
	h.size = size
}

// missing returns how much the other holds would have to give up for h to grow to a size. A hold may take half of what the others leave,
// so that large ones always leave room for small ones.
func (a *Account) missing(h *Hold, size int64) int64 {
	if size <= FreeSize || size <= h.size {
		return 0
	}
	others := a.sum() - h.size
	return max(others-(a.total-2*size), 0)
}

func (a *Account) sum() (n int64) {
	for _, used := range a.used {
		n += used
	}
	return n
}

// pickVictims returns unfinished requests to evict so that h can grow to a size, nil if they do not hold enough together. Slow ones go first, of
// the client that holds most, the largest first. Then follow those of clients that hold more than the client of h.
func (a *Account) pickVictims(now time.Time, h *Hold, size, missing int64) []*Hold {
	if size > a.total/2 {
		return nil
	}
	totals := map[string]int64{h.client: size - h.size}
	for v := range a.unfinished {
		totals[v.client] += v.size
	}
	type candidate struct {
		hold  *Hold
		slow  bool
		total int64 // of the client
	}
	var list []candidate
	for v := range a.unfinished {
		if v == h || v.size <= FreeSize {
			continue // it would free next to nothing
		}
		c := candidate{hold: v, slow: v.isSlow(now), total: totals[v.client]}
		if c.slow || c.total > totals[h.client] {
			list = append(list, c)
		}
	}
	slices.SortFunc(list, func(x, y candidate) int {
		if x.slow != y.slow {
			if x.slow {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(y.total, x.total), cmp.Compare(y.hold.size, x.hold.size), x.hold.LastProgress().Compare(y.hold.LastProgress()))
	})
	var victims []*Hold
	for _, c := range list {
		if missing <= 0 {
			break
		}
		if !c.slow && totals[c.hold.client] <= totals[h.client] {
			continue // the client has lost enough
		}
		totals[c.hold.client] -= c.hold.size
		missing -= c.hold.size
		victims = append(victims, c.hold)
	}
	if missing > 0 {
		return nil
	}
	return victims
}

// Complete records that the request was read whole, so that it is not evicted any more. It returns ErrEvicted if it was evicted before.
func (h *Hold) Complete() error {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.evicted {
		return ErrEvicted
	}
	size := h.size
	a.resize(h, 0)
	h.kind = Request
	a.resize(h, size)
	delete(a.unfinished, h)
	return nil
}

// Err returns ErrEvicted if the hold was evicted, and nil otherwise.
func (h *Hold) Err() error {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	if h.evicted {
		return ErrEvicted
	}
	return nil
}

// Close gives back the memory of the hold. Further calls do nothing.
func (h *Hold) Close() {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	h.closed = true
	a.resize(h, 0)
	delete(a.unfinished, h)
}

// Total returns the size of the account in bytes.
func (a *Account) Total() int64 { return a.total }

// Used returns how many bytes the holds of a kind take.
func (a *Account) Used(k Kind) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.used[k]
}

// Refused returns how often a hold of a kind was not granted a size.
func (a *Account) Refused(k Kind) uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.refused[k]
}

// Evicted returns how many unfinished requests were evicted.
func (a *Account) Evicted() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.evicted
}
