package exchange

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"hickorypath/internal/gateway/relay"
	"hickorypath/internal/gateway/upstream"
	"hickorypath/internal/policy/budget"
)

// newAccount returns the account of a request's arrivals at upstreams, which another host may have begun.
func (x *Exchanger) newAccount(o *relay.Order) *budget.Request {
	if o != nil {
		return x.retries.NewRelayed(o.Arrivals, o.Counts)
	}
	return x.retries.NewRequest()
}

// arrivals returns how often the request has arrived at upstreams, those included that other hosts have told of.
func (e *exchange) arrivals() int {
	if e.account == nil {
		return 0
	}
	return e.account.Arrivals()
}

// holdRetry reports whether the retry budget allows another attempt, and sets it aside until it is sent.
func (e *exchange) holdRetry() bool {
	e.x.mu.Lock()
	defer e.x.mu.Unlock()
	ok := e.account.MayRetry(e.x.opts.Elapsed(), e.service.Name)
	if !ok {
		metrics.GetOrCreateCounter(fmt.Sprintf(`hickorypath_retries_refused_total{service=%q}`, e.service.Name)).Inc()
	}
	return ok
}

// arrive records that an attempt was sent to an upstream.
func (e *exchange) arrive() {
	e.x.mu.Lock()
	defer e.x.mu.Unlock()
	now := e.x.opts.Elapsed()
	e.account.Count(now, e.service.Name)
	e.account.Arrive(now, e.service.Name)
	if e.account.Arrivals() > 1 {
		metrics.GetOrCreateCounter(fmt.Sprintf(`hickorypath_retries_total{service=%q}`, e.service.Name)).Inc()
	}
}

// arriveElsewhere records that an attempt through another host arrived n times at upstreams.
func (e *exchange) arriveElsewhere(n int) {
	e.x.mu.Lock()
	defer e.x.mu.Unlock()
	e.account.ArriveElsewhere(e.x.opts.Elapsed(), e.service.Name, n)
}

// passOn reports whether the host through which the request is sent has to count it.
func (e *exchange) passOn() bool {
	e.x.mu.Lock()
	defer e.x.mu.Unlock()
	return e.account.PassOn()
}

// recordMoved records that another upstream answered at the address of instance i, to which an attempt was sent.
func (e *exchange) recordMoved(i *upstream.Instance) {
	reached := ""
	if holder := e.x.opts.Table.RecordMoved(e.x.opts.Now(), i); holder != nil {
		reached = holder.Entry().Service
	}
	e.x.mu.Lock()
	defer e.x.mu.Unlock()
	e.account.Move(e.x.opts.Elapsed(), e.service.Name, reached)
}

// settle counts a request of this host's caller that was never sent, and gives back what is set aside for it.
func (e *exchange) settle() {
	e.x.mu.Lock()
	defer e.x.mu.Unlock()
	if e.order == nil {
		e.account.Count(e.x.opts.Elapsed(), e.service.Name)
	}
	e.account.Release()
}
