package budget_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickorypath/internal/policy/budget"
)

// arrival is one arrival of a request at an upstream of a service.
type arrival struct {
	at      time.Duration
	isRetry bool
}

// fleet is a fleet of hosts that fail most requests, in virtual time.
type fleet struct {
	rng      *rand.Rand
	now      time.Duration
	hosts    []*host
	total    int                        // of hosts that exist, running or not
	arrivals map[string][]arrival       // by the service that is reached
	requests map[string][]time.Duration // by the service that the request is for
	moved    bool                       // addresses of service a belong to upstreams of service b
}

// host is one host; a host that starts again gets a new ledger.
type host struct {
	ledger      *budget.Ledger
	known       int // hosts that it knows of, 0 if it has not read them
	pausedUntil time.Duration
	cutUntil    time.Duration // from the upstreams
	weight      int           // its part of the traffic
}

func (f *fleet) start(known int, first bool) *host {
	h := &host{known: known, weight: 1 + f.rng.IntN(5)}
	c := conf
	if !first {
		c.KnownFrom = f.now + c.Window
	}
	h.ledger = budget.NewLedger(c, func() int { return h.known })
	return h
}

// arrive records an arrival of a request for a service.
func (f *fleet) arrive(l *budget.Ledger, r *budget.Request, service string) {
	reached := service
	isRetry := r.Arrivals() > 0
	if f.moved && service == "a" && f.rng.IntN(3) > 0 && (!isRetry || !l.HasMoved(f.now, service)) {
		reached = "b"
	}
	r.Arrive(f.now, service)
	f.arrivals[reached] = append(f.arrivals[reached], arrival{f.now, isRetry})
	if reached != service {
		r.Move(f.now, service, reached)
	}
}

// send sends a request from a host until it is served or no retry is allowed, through other hosts while the host is cut off.
func (f *fleet) send(h *host, service string) {
	f.requests[service] = append(f.requests[service], f.now)
	r := h.ledger.NewRequest()
	defer func() {
		r.Count(f.now, service)
		r.Release()
	}()
	for tries := 0; tries < 8 && r.Arrivals() < 4 && r.MayRetry(f.now, service); tries++ {
		if f.now < h.cutUntil {
			helper := f.hosts[f.rng.IntN(len(f.hosts))]
			if helper == h || f.now < helper.cutUntil {
				continue
			}
			passed := helper.ledger.NewRelayed(r.Arrivals(), r.PassOn())
			for n := f.rng.IntN(2); n < 3 && passed.Arrivals() < 4 && f.rng.IntN(4) > 0 && passed.MayRetry(f.now, service); n++ {
				passed.Count(f.now, service)
				f.arrive(helper.ledger, passed, service)
			}
			passed.Release()
			r.ArriveElsewhere(f.now, service, passed.Arrivals()-r.Arrivals())
			continue
		}
		r.Count(f.now, service)
		f.arrive(h.ledger, r, service)
		if f.rng.IntN(10) == 0 {
			return
		}
	}
}

// disturb changes the fleet at random. A host that knows of too few others does not know the fleet.
func (f *fleet) disturb() {
	h := f.hosts[f.rng.IntN(len(f.hosts))]
	switch f.rng.IntN(7) {
	case 0: // it starts again, and reads the hosts from the store or cannot
		*h = *f.start(f.total*f.rng.IntN(2), false)
	case 1:
		h.pausedUntil = f.now + time.Duration(f.rng.IntN(4000))*time.Millisecond
	case 2:
		h.cutUntil = f.now + time.Duration(f.rng.IntN(8000))*time.Millisecond
	case 3:
		if len(f.hosts) < 10 {
			f.total++
			f.hosts = append(f.hosts, f.start(f.total, false))
			for _, x := range f.hosts {
				if x.known > 0 {
					x.known = f.total
				}
			}
		}
	case 4: // a host that has gone is known of for a while
		if len(f.hosts) > 3 {
			f.hosts = slices.DeleteFunc(f.hosts, func(x *host) bool { return x == h })
		}
	case 5:
		f.moved = !f.moved
	case 6: // the fleet starts anew
		for _, x := range f.hosts {
			*x = *f.start(f.total, false)
		}
	}
}

// worst returns the largest share of what a window allows that a service gets.
func (f *fleet) worst(service string) (share float64) {
	count := func(from, to time.Duration) (n int) {
		for _, at := range f.requests[service] {
			if at >= from && at < to {
				n++
			}
		}
		return n
	}
	retries := slices.DeleteFunc(slices.Clone(f.arrivals[service]), func(a arrival) bool { return !a.isRetry })
	for i, a := range retries {
		n := 0
		for _, b := range retries[i:] {
			if b.at >= a.at+conf.Window {
				break
			}
			n++
		}
		requests := max(count(a.at, a.at+conf.Window), count(a.at-conf.Window, a.at), count(a.at-conf.Window/2, a.at+conf.Window/2))
		share = max(share, float64(n)/(conf.Ratio*float64(requests)+float64(conf.Minimum)))
	}
	return share
}

// TestServiceGetsMoreRetriesThanItsBudget guards against a service that gets more than its budget in some window, summed over the hosts
// and over what is reached.
func TestServiceGetsMoreRetriesThanItsBudget(t *testing.T) {
	seeds := uint64(200)
	if testing.Short() {
		seeds = 40
	}
	for seed := range seeds {
		f := &fleet{rng: rand.New(rand.NewPCG(seed, 1)), now: time.Hour, total: 6, arrivals: map[string][]arrival{}, requests: map[string][]time.Duration{}}
		for range f.total {
			f.hosts = append(f.hosts, f.start(f.total, true))
		}
		weights := func() (all []*host) {
			for _, h := range f.hosts {
				all = append(all, slices.Repeat([]*host{h}, h.weight)...)
			}
			return all
		}
		for end := f.now + 60*time.Second; f.now < end; f.now += time.Duration(1+f.rng.IntN(40)) * time.Millisecond {
			if f.rng.IntN(100) == 0 {
				f.disturb()
			}
			hosts := weights()
			if h := hosts[f.rng.IntN(len(hosts))]; f.now >= h.pausedUntil {
				f.send(h, []string{"a", "a", "b"}[f.rng.IntN(3)])
			}
		}
		for _, service := range []string{"a", "b"} {
			if share := f.worst(service); share > 1 {
				t.Errorf("seed %d: service %s gets %.2f of what is allowed", seed, service, share)
			}
		}
	}
}

// TestRequestThatComesBackEarnsNothing guards against requests that no host counts, since the one that they were passed on to has not
// sent them.
func TestRequestThatComesBackEarnsNothing(t *testing.T) {
	cases := []struct {
		name           string
		before         int // arrivals before it is passed on
		elsewhere      int // arrivals through the other host
		counted, other bool
	}{
		{"not sent", 0, 0, true, false},
		{"sent", 0, 1, false, true},
		{"counted before, not sent", 1, 0, true, false},
		{"counted before, sent", 1, 2, true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			free := conf
			free.Minimum = 0
			free.Ratio = 10
			l := budget.NewLedger(free, func() int { return 1 })
			r := l.NewRequest()
			for range c.before {
				r.Count(time.Hour, "a")
				r.Arrive(time.Hour, "a")
			}
			other := budget.NewLedger(free, func() int { return 1 })
			passed := other.NewRelayed(r.Arrivals(), r.PassOn())
			for range c.elsewhere {
				passed.Count(time.Hour, "a")
				is.True(passed.MayRetry(time.Hour, "a") || c.before > 0)
				passed.Arrive(time.Hour, "a")
			}
			r.ArriveElsewhere(time.Hour, "a", passed.Arrivals()-r.Arrivals())
			r.Count(time.Hour, "a")
			has := func(l *budget.Ledger) bool {
				probe := l.NewRequest()
				probe.Arrive(time.Hour, "a")
				return probe.MayRetry(time.Hour, "a")
			}
			is.Equal(has(l), c.counted)
			is.Equal(has(other), c.other)
		})
	}
}

// TestMovedRetryIsTakenFromTheWrongService guards against retries that are taken from the budget of the service that they were meant
// for, and not from that of the service that they reached.
func TestMovedRetryIsTakenFromTheWrongService(t *testing.T) {
	is := is.New(t)
	count := func(l *budget.Ledger, service string) (n int) {
		for {
			r := l.NewRequest()
			r.Arrive(time.Hour, service)
			if !r.MayRetry(time.Hour, service) {
				return n
			}
			n++
		}
	}
	for _, moves := range []int{0, 1, 5} {
		l := budget.NewLedger(conf, func() int { return 1 })
		for range moves {
			r := l.NewRequest()
			r.Arrive(time.Hour, "a")
			is.True(r.MayRetry(time.Hour, "a"))
			r.Arrive(time.Hour, "a")
			r.Move(time.Hour, "a", "b")
		}
		is.Equal(l.HasMoved(time.Hour, "a"), moves > 0)
		is.Equal(count(l, "a"), 43)
		is.Equal(count(l, "b"), 43-moves)
	}
}
