package budget

import "time"

// Ledger holds the budgets of one host for all services. It is not safe for concurrent use.
type Ledger struct {
	config  Config
	hosts   func() int // that share the limits; 0 if the number is not known
	budgets map[string]*Budget
	movedAt map[string]time.Duration // by service, when an arrival meant for it was last elsewhere
}

// NewLedger returns a Ledger that has counted nothing. Hosts returns the number of hosts that share the limits, 0 while it is not known.
func NewLedger(c Config, hosts func() int) *Ledger {
	return &Ledger{config: c, hosts: hosts, budgets: map[string]*Budget{}, movedAt: map[string]time.Duration{}}
}

// HasMoved reports whether an arrival meant for a service was at an upstream of another one within the window, because the address has
// moved. Then a retry goes only to an upstream that surely has its address still: the budget of the other service does not allow
// it.
func (l *Ledger) HasMoved(now time.Duration, service string) bool {
	at, ok := l.movedAt[service]
	return ok && now-at < l.config.Window
}

// of returns the budget of a service.
func (l *Ledger) of(service string) *Budget {
	b := l.budgets[service]
	if b == nil {
		b = New(l.config)
		l.budgets[service] = b
	}
	return b
}

// Request accounts for the arrivals of one client request at upstreams. The first one is free and each further one a retry, wherever
// it arrives and whichever host sends it. The zero value is not usable.
type Request struct {
	ledger   *Ledger
	arrivals int
	prepaid  bool   // the next arrival is the first one, or the host that passed the request on has set it aside
	counted  bool   // some host has counted the request, or this one is not to count it
	passed   bool   // the host through which it is sent counts it
	holds    bool   // a retry is set aside
	service  string // for which a retry is set aside
	last     string // service that the last retry was recorded for; empty if the last arrival was none
}

// NewRequest returns the account of a request that no host has sent yet.
func (l *Ledger) NewRequest() *Request { return &Request{ledger: l, prepaid: true} }

// NewRelayed returns the account of a request that another host passes on after a number of arrivals. If it counts, this host counts
// the request.
func (l *Ledger) NewRelayed(arrivals int, counts bool) *Request {
	return &Request{ledger: l, arrivals: arrivals, prepaid: true, counted: !counts}
}

// Arrivals returns how often the request has arrived at upstreams, those included that other hosts have told of.
func (r *Request) Arrivals() int { return r.arrivals }

// Count counts the request for a service, once: by the host that first sends it to an upstream, whose retries are likely to follow.
func (r *Request) Count(now time.Duration, service string) {
	if !r.counted {
		r.counted = true
		r.ledger.of(service).RecordRequest(now)
	}
}

// PassOn reports whether the host to which the request is passed on has to count it, once it sends it.
func (r *Request) PassOn() (counts bool) {
	r.passed, r.counted = !r.counted, true
	return r.passed
}

// MayRetry reports whether the request may be sent to an upstream of a service, and sets a retry aside if it needs one.
func (r *Request) MayRetry(now time.Duration, service string) bool {
	if r.arrivals == 0 || r.prepaid {
		return true
	}
	if r.holds && r.service == service {
		return true
	}
	r.Release()
	r.holds = r.ledger.of(service).Hold(now, r.ledger.hosts())
	r.service = service
	return r.holds
}

// Arrive records an arrival at an upstream of a service, which MayRetry has allowed.
func (r *Request) Arrive(now time.Duration, service string) {
	r.last = ""
	switch {
	case r.holds:
		r.ledger.of(r.service).Use(now)
		r.holds, r.last = false, r.service
	case !r.prepaid:
		r.ledger.of(service).Record(now)
		r.last = service
	}
	r.prepaid = false
	r.arrivals++
}

// Move records that the last arrival, meant for a service, was at an upstream that has the address now, of the service reached; empty if
// that is not known.
func (r *Request) Move(now time.Duration, service, reached string) {
	r.ledger.movedAt[service] = now
	if r.last == "" || r.last == reached || reached == "" {
		return
	}
	r.ledger.of(r.last).Forget(now)
	r.ledger.of(reached).Record(now)
	r.last = reached
}

// ArriveElsewhere records that the request, which was passed on, arrived n times at upstreams of a service. The other host accounts for all arrivals
// but the first; without any it has not counted the request.
func (r *Request) ArriveElsewhere(now time.Duration, service string, n int) {
	r.counted, r.passed = r.counted && (n > 0 || !r.passed), false
	if n <= 0 {
		return
	}
	r.Arrive(now, service)
	r.arrivals += n - 1
}

// Release gives back a retry that is set aside. It is called at the end of the request.
func (r *Request) Release() {
	if r.holds {
		r.ledger.of(r.service).Release()
		r.holds = false
	}
}
