// Package limitcheck holds the request limit that a stand-in upstream names, and checks whether the hosts keep it.
package limitcheck

import (
	"fmt"
	"math"
	"strings"
	"sync"
	"time"
)

// Limit is the limit of one upstream over time, with the requests that the upstream received. The zero value names no limit. It
// is safe for concurrent use.
type Limit struct {
	mu     sync.Mutex
	named  []namedLimit
	calls  []call
	toldAt map[string]time.Time // by host, when it first got a response that named a limit
}

// namedLimit is the limit that the upstream names from a point in time on, until the next one.
type namedLimit struct {
	from   time.Time
	rate   float64 // requests per second that the hosts may send; infinite without a limit
	values []string
}

type call struct {
	host string
	at   time.Time
}

// Name makes the upstream name a limit in its responses with these values of the header field. rate is what the hosts may send,
// in requests per second. Without values, the upstream withdraws the limit.
func (l *Limit) Name(rate float64, values ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(values) == 0 {
		rate = math.Inf(1)
	}
	l.named = append(l.named, namedLimit{from: time.Now(), rate: rate, values: values})
}

// RecordCall records a request and returns the values of the header field for its response, nil for no limit. The part of the
// request id before the first dash names the host that sent the request.
func (l *Limit) RecordCall(id string) (values []string) {
	host, _, _ := strings.Cut(id, "-")
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.calls = append(l.calls, call{host, now})
	values = l.current().values
	if len(values) > 0 && l.toldAt[host].IsZero() {
		if l.toldAt == nil {
			l.toldAt = map[string]time.Time{}
		}
		l.toldAt[host] = now
	}
	return values
}

// Calls returns the number of requests received so far.
func (l *Limit) Calls() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.calls)
}

// HasCallFrom reports whether a request from a host was received.
func (l *Limit) HasCallFrom(host string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.calls {
		if c.host == host {
			return true
		}
	}
	return false
}

// current returns the limit that the upstream names now. The caller holds l.mu.
func (l *Limit) current() namedLimit {
	if len(l.named) == 0 {
		return namedLimit{}
	}
	return l.named[len(l.named)-1]
}

// The rule on limits: from ruleGrace after an upstream first named a limit, it gets in any ruleWindow at most ruleFactor times
// what the limit allows, plus ruleSurplus requests, from the hosts that it told at least toldGrace before.
const (
	ruleGrace   = 3 * time.Second
	ruleWindow  = 4 * time.Second
	ruleFactor  = 1.5
	ruleSurplus = 5
	toldGrace   = 500 * time.Millisecond
)

// IsChecked reports whether requests have arrived over a time that Violation can judge: two windows after the grace time of the
// limit that was named last.
func (l *Limit) IsChecked() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.calls) > 0 && l.calls[len(l.calls)-1].at.Sub(l.current().from) > ruleGrace+2*ruleWindow
}

// Violation describes the window in which the hosts exceeded the rule most; it is empty if they kept the rule. A lower limit
// counts from ruleGrace after it was named.
func (l *Limit) Violation() (worst string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	most := 0.0
	for i, first := range l.calls {
		rate, ok := l.allowedRate(first.at)
		if !ok {
			continue
		}
		n := 0
		for _, c := range l.calls[i:] {
			if c.at.Sub(first.at) > ruleWindow {
				break
			}
			rate = max(rate, l.rateAt(c.at))
			if told, known := l.toldAt[c.host]; known && c.at.Sub(told) >= toldGrace {
				n++
			}
		}
		if allowed := ruleFactor*rate*ruleWindow.Seconds() + ruleSurplus; float64(n)-allowed > most {
			most = float64(n) - allowed
			worst = fmt.Sprintf("%d requests in %s from hosts that it told; allowed %g", n, ruleWindow, allowed)
		}
	}
	return worst
}

// allowedRate returns the highest rate named in the time ruleGrace before t. ok is false if no limit was in force for all that
// time.
func (l *Limit) allowedRate(t time.Time) (rate float64, ok bool) {
	for i, n := range l.named {
		if n.from.After(t) {
			break
		}
		if i+1 < len(l.named) && !l.named[i+1].from.After(t.Add(-ruleGrace)) {
			continue // replaced before
		}
		isFirst := i == 0 || len(l.named[i-1].values) == 0
		if isFirst && n.from.After(t.Add(-ruleGrace)) {
			return 0, false
		}
		rate, ok = max(rate, n.rate), true
	}
	return rate, ok
}

// rateAt returns the rate named at t, 0 before the first limit.
func (l *Limit) rateAt(t time.Time) (rate float64) {
	for _, n := range l.named {
		if !n.from.After(t) {
			rate = n.rate
		}
	}
	return rate
}
