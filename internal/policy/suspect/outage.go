package suspect

import "time"

// crash names one crash of an upstream as one host saw it.
type crash struct {
	upstream string
	at       time.Time
}

// isOf reports whether two hosts' words are of the same crash.
func (c crash) isOf(o crash) bool {
	return c.upstream == o.upstream && c.at.Sub(o.at).Abs() < downExpiry
}

// outage is the time in which an upstream was found down.
type outage struct {
	since, seen time.Time
	blamed      bool // the request that caused it is known
}

// downSince returns since when an upstream is known to be down. What was last seen some time ago does
// not count: the upstream may have come back without an answer to this host.
func (b *Tracker) downSince(now time.Time, upstream string) (since time.Time, known bool) {
	o, known := b.down[upstream]
	if known && now.Sub(o.seen) > downExpiry {
		delete(b.down, upstream)
		return time.Time{}, false
	}
	return o.since, known
}

// downExpiry is below the time that an engine takes to load its model again.
const downExpiry = 15 * time.Second

// crashed takes another host's word that an upstream crashed, and whether it knows the cause.
func (b *Tracker) crashed(upstream string, at time.Time, blamed bool) {
	if upstream == "" {
		return
	}
	o := b.down[upstream]
	if at.After(o.seen.Add(downExpiry)) {
		o = outage{since: at}
	}
	o.seen, o.blamed = maxTime(o.seen, at), o.blamed || blamed
	b.down[upstream] = o
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// exonerate takes back the suspicions of a crash whose cause is known.
func (b *Tracker) exonerate(c crash) {
	if c.upstream == "" {
		return
	}
	for p, e := range b.entries {
		if !e.last.isOf(c) {
			continue
		}
		e.crashes, e.last = e.crashes-1, crash{}
		if e.crashes <= 0 && e.quarantines == 0 {
			delete(b.entries, p)
		}
	}
}
