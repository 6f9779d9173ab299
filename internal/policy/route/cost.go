package route

import (
	"math"
	"slices"
	"time"
)

const (
	usualGap      = 30 * time.Millisecond // until gaps were observed
	usualPerToken = 200 * time.Microsecond
	usualOutput   = 200  // output tokens that a choice expects
	farFactor     = 1.15 // cost of an upstream in another zone, relative
	reportTrust   = 5 * time.Second
	doubtFactor   = 0.7 // worth of a cache entry after lost events
	queueFactor   = 1.0 // growth of the cost for each batch of requests beyond the slots
)

// cost returns the expected time in seconds of the work on m, of which blocks are cached.
func (t *Table) cost(now time.Time, m *member, w *Work, blocks int) float64 {
	fill := m.fill(t.others(now, m) + 1)
	missing := float64(w.Tokens) * (1 - t.hitShare(now, m, w, blocks))
	ahead := float64(m.pendingTokens())
	first := t.perToken() * (missing + ahead + baseTokens)
	decode := t.usualGap() * usualOutput * (1 + batchFactor*fill)
	cost := (first + decode) * t.slowness(now, m)
	if fill > 1 {
		cost += decode * queueFactor * (fill - 1)
	}
	if !m.near {
		cost *= farFactor
	}
	return cost
}

func (t *Table) perToken() float64 {
	if v := t.model.perToken.value; v > 0 {
		return v
	}
	return usualPerToken.Seconds()
}

func (t *Table) usualGap() float64 {
	if v := t.model.gapTime.value; v > 0 {
		return v
	}
	return usualGap.Seconds()
}

// hitShare returns the share of the prompt that m is expected to have cached.
func (t *Table) hitShare(now time.Time, m *member, w *Work, blocks int) float64 {
	if blocks == 0 {
		return 0
	}
	share := float64(blocks) / float64(len(w.Prefix))
	if now.Before(m.doubt) {
		share *= doubtFactor
	}
	return share
}

func (t *Table) cachedTokens(now time.Time, m *member, w Work) int {
	for _, a := range t.prefixes.match(w.Prefix) {
		if int(a.member) == m.index {
			return int(float64(w.Tokens) * t.hitShare(now, m, &w, a.blocks))
		}
	}
	return 0
}

// others returns the expected number of requests on m that are not this host's: the other hosts' own
// word while fresh, else the report, whose figures lose weight with age.
func (t *Table) others(now time.Time, m *member) float64 {
	if len(t.peers) > 0 {
		return float64(m.peers)
	}
	if !m.reported {
		return 0
	}
	age := now.Sub(m.report.At)
	if age > t.health.Stale() {
		return 0
	}
	others := max(0, m.report.Running+m.report.Waiting-m.ownAt)
	return float64(others) * math.Exp(-age.Seconds()/reportTrust.Seconds())
}

// slowness returns how many times slower than usual m is. A request that has waited long for its
// first token speaks before the token comes.
func (t *Table) slowness(now time.Time, m *member) float64 {
	slow := m.health.Ratio()
	if len(m.first) > 0 {
		oldest := &m.first[0]
		usual := t.perToken() * float64(oldest.tokens+baseTokens*(1+len(m.first)))
		slow = max(slow, now.Sub(oldest.start).Seconds()/usual)
	}
	return max(slow, minSlowness)
}

// minSlowness keeps a fast upstream from drawing all work.
const minSlowness = 0.3

// fill returns the share of the slots in use when others hold some of them.
func (m *member) fill(others float64) float64 {
	return (float64(m.own) + others) / float64(m.slots)
}

// depth returns how many requests wait for their first token.
func (m *member) depth() int { return len(m.first) }

// pendingTokens returns the prompt tokens ahead of a new request.
func (m *member) pendingTokens() int {
	n := 0
	for i := range m.first {
		n += m.first[i].tokens
	}
	return n
}

// settleFirst removes the pending request that started nearest to start and returns its tokens.
func (m *member) settleFirst(start time.Time) int {
	best, least := -1, time.Duration(math.MaxInt64)
	for i := range m.first {
		if d := m.first[i].start.Sub(start).Abs(); d < least {
			best, least = i, d
		}
	}
	if best < 0 {
		return 0
	}
	tokens := m.first[best].tokens
	m.first = slices.Delete(m.first, best, best+1)
	return tokens
}

// forgetFirst removes a request from the pending ones.
func (m *member) forgetFirst(request uint64) {
	for i := range m.first {
		if m.first[i].request == request {
			m.first = slices.Delete(m.first, i, i+1)
			return
		}
	}
}
