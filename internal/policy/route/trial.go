package route

import (
	"cmp"
	"slices"
	"time"

	"github.com/samber/lo"
)

// Times of the turns by which the hosts try suspects on an upstream.
const (
	turnLength = 10 * time.Second
	turnGuard  = 500 * time.Millisecond // for clocks that differ, at the begin of a turn
)

// rank numbers the members that may take work in the order of their ids, which is the same on all hosts.
// Members that may not take any would leave some host without one in its turn.
func (t *Table) rank() {
	all := lo.Filter(lo.Values(t.byID), func(m *member, _ int) bool { return !m.leaving })
	slices.SortFunc(all, func(a, b *member) int { return cmp.Compare(a.id, b.id) })
	for i, m := range all {
		m.rank = i
	}
}

// canTry reports whether a lone suspect may be tried on m: not beside another suspect, in this host's
// turn only, and not where m is on trial itself after a crash, unless all members are.
func (t *Table) canTry(now time.Time, m *member) bool {
	if m.suspects > 0 || !t.mayTry(now, m) {
		return false
	}
	return m.health.Settled() || len(t.unsettle) >= len(t.byID)
}

// mayTry reports whether it is this host's turn to run a lone suspect on m. At any time one host at
// most may, so that two hosts do not try two suspects on the same upstream and blame both.
func (t *Table) mayTry(now time.Time, m *member) bool {
	n := int64(len(t.hosts))
	if n < 2 {
		return true
	}
	at := now.UnixNano()
	if time.Duration(at%int64(turnLength)) < turnGuard {
		return false
	}
	turn := at / int64(turnLength)
	return (int64(m.rank)+turn)%n == int64(t.sums.self)
}
