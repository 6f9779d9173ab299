package route

import (
	"math"
	"slices"
	"time"
)

const (
	usualOutput = 60  // output tokens by which the batch of an upstream counts
	farCost     = 0.1 // seconds that an upstream in another zone must be better by
	reportTrust = 5 * time.Second
	doubtFactor = 0.9 // worth of a cache entry after lost events
	failureTime = 10 * time.Second
	failureStep = 0.5 // seconds of cost for each failure in a row
	maxFailures = 8
	queueFactor = 1.0 // growth of the cost for each batch of requests beyond the slots
)

// cost returns the expected time in seconds that the work takes on m, of which blocks are cached, and
// that it takes from the requests which run there already: they wait while its prompt is processed,
// and share the batch with it.
func (t *Balancer) cost(now time.Time, m *member, w *Request, blocks int) float64 {
	others := t.others(now, m)
	busy := float64(m.own) + others
	fill := m.fill(others)
	missing := float64(w.PromptTokens) * (1 - t.hitShare(now, m, w, blocks))
	prompt := t.model.slope() * missing
	first := t.model.expect(missing + float64(m.ahead))
	decode := t.model.usualGap() * usualOutput
	cost := first + prompt*busy + decode*(1+2*batchFactor*fill)
	cost *= t.slowness(now, m)
	if fill >= 1 {
		cost += decode * (1 + queueFactor*fill)
	}
	if !m.near {
		cost += farCost
	}
	return cost + m.failureCost(now)
}

// failureCost keeps work from an upstream whose requests fail at once, which would else look idle and
// draw all of it. It is a preference only: when a caller's faulty requests fail everywhere, all
// upstreams cost alike.
func (m *member) failureCost(now time.Time) float64 {
	if m.failures == 0 || now.Sub(m.failed) > failureTime {
		return 0
	}
	return failureStep * float64(min(m.failures, maxFailures))
}

// hitShare returns the share of the prompt that m is expected to have cached.
func (t *Balancer) hitShare(now time.Time, m *member, w *Request, blocks int) float64 {
	if blocks == 0 {
		return 0
	}
	share := float64(blocks) / float64(len(w.Prefix))
	if now.Before(m.doubt) {
		share *= doubtFactor
	}
	return share
}

func (t *Balancer) cachedTokens(now time.Time, m *member, w Request) int {
	for _, a := range t.prefixes.match(w.Prefix) {
		if int(a.member) == m.index {
			return int(float64(w.PromptTokens) * t.hitShare(now, m, &w, a.blocks))
		}
	}
	return 0
}

// others returns the expected number of requests on m that are not this host's: the other hosts' own
// word while fresh, else the report, whose figures lose weight with age.
func (t *Balancer) others(now time.Time, m *member) float64 {
	if len(t.peers) > 0 {
		return float64(m.peers)
	}
	if !m.reported {
		return 0
	}
	age := now.Sub(m.report.At)
	if age > t.health.MaxReportAge() {
		return 0
	}
	others := max(0, m.report.Running+m.report.Waiting-m.ownAt)
	return float64(others) * math.Exp(-age.Seconds()/reportTrust.Seconds())
}

// slowness returns how many times slower than usual m is. A request that has waited long for its
// first token speaks before the token comes.
func (t *Balancer) slowness(now time.Time, m *member) float64 {
	slow := m.health.Slowdown(now)
	if len(m.first) > 0 {
		oldest := &m.first[0]
		slow = max(slow, now.Sub(oldest.start).Seconds()/t.model.expect(float64(oldest.tokens+oldest.ahead)))
	}
	return max(slow, minSlowness)
}

// minSlowness keeps a fast upstream from drawing all work.
const minSlowness = 0.3

// fill returns the share of the slots in use when others hold some of them.
func (m *member) fill(others float64) float64 {
	return (float64(m.own) + others) / float64(m.slots)
}

// settleFirst removes the pending request that started nearest to start.
func (m *member) settleFirst(start time.Time) (p pending, ok bool) {
	best, least := -1, time.Duration(math.MaxInt64)
	for i := range m.first {
		if d := m.first[i].start.Sub(start).Abs(); d < least {
			best, least = i, d
		}
	}
	if best < 0 {
		return pending{}, false
	}
	return m.removeFirst(best), true
}

// forgetFirst removes a request from the pending ones.
func (m *member) forgetFirst(request uint64) {
	for i := range m.first {
		if m.first[i].request == request {
			m.removeFirst(i)
			return
		}
	}
}

func (m *member) removeFirst(i int) pending {
	p := m.first[i]
	m.first = slices.Delete(m.first, i, i+1)
	m.ahead -= p.tokens
	return p
}
