package suspect

import "time"

// recall finds the copies of a new suspect that run here on other upstreams, unless they have come past
// the point of the crash: they are to be stopped before they crash theirs, and wait for their turn.
func (b *Tracker) recall(now time.Time, s Suspicion) {
	for request, r := range b.runs {
		if r.print == s.Fingerprint && r.upstream != s.Upstream && !r.trial && !r.passed && now.Sub(r.started) < s.RunTime+passMargin {
			b.recalled = append(b.recalled, request)
		}
	}
}

// TakeRecalled returns the runs that were recalled since the last call.
func (b *Tracker) TakeRecalled() []uint64 {
	out := b.recalled
	b.recalled = nil
	return out
}
