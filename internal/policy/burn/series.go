package burn

import "time"

// ring describes the ring buffer of time buckets of one window.
type ring struct {
	window time.Duration
	width  time.Duration // of one bucket
	first  int           // index of the first bucket in a series
	count  int           // number of buckets
}

// rings has one ring for each window of the report, the shortest window first. The current bucket counts as a whole bucket
// although it is not over, so a sum covers its window less a part of one bucket.
var rings = newRings(
	[]time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour, 72 * time.Hour},
	[]time.Duration{time.Minute, 15 * time.Minute, 90 * time.Minute, 12 * time.Hour},
)

// bucketCount is the number of buckets of all rings in a series.
const bucketCount = 5 + 4 + 4 + 6

// newRings returns the rings for windows with buckets of the given widths.
func newRings(windows, widths []time.Duration) []ring {
	rings := make([]ring, len(windows))
	next := 0
	for i, w := range windows {
		n := int(w / widths[i])
		rings[i] = ring{window: w, width: widths[i], first: next, count: n}
		next += n
	}
	return rings
}

// Windows returns the windows of the report, the shortest first.
func Windows() []time.Duration {
	windows := make([]time.Duration, len(rings))
	for i, r := range rings {
		windows[i] = r.window
	}
	return windows
}

// bucket holds the counts of one time interval. Buckets are encoded in a Snapshot.
type bucket struct {
	Slot    int64   `cbor:"1,keyasint"` // start of the interval, in units of the bucket width since 1970
	Calls   uint32  `cbor:"2,keyasint,omitempty"`
	Met     uint32  `cbor:"3,keyasint,omitempty"`
	Output  uint64  `cbor:"4,keyasint,omitempty"`
	Good    uint64  `cbor:"5,keyasint,omitempty"`
	Wasted  uint64  `cbor:"6,keyasint,omitempty"`
	Durable float64 `cbor:"7,keyasint,omitempty"` // paid seconds of upstreams that are not reclaimable
	Cheap   float64 `cbor:"8,keyasint,omitempty"` // paid seconds of reclaimable upstreams
}

// add adds the counts of n to c.
func (c *bucket) add(n bucket) {
	c.Calls += n.Calls
	c.Met += n.Met
	c.Output += n.Output
	c.Good += n.Good
	c.Wasted += n.Wasted
	c.Durable += n.Durable
	c.Cheap += n.Cheap
}

// series holds the buckets of one row for all windows. In the rows of customers, usage is nil to save memory, because there
// can be many customers.
type series struct {
	slots [bucketCount]uint32
	calls [bucketCount]uint32
	met   [bucketCount]uint32
	usage *[bucketCount]usage
}

// usage is the part of a bucket that only the rows of classes and pools have.
type usage struct {
	output, good, wasted uint64  // tokens
	durable, cheap       float64 // seconds
}

// newSeries returns an empty series for a row of the given scope.
func newSeries(s scope) *series {
	if s == scopePair {
		return &series{}
	}
	return &series{usage: new([bucketCount]usage)}
}

// bucket returns the bucket at index i.
func (s *series) bucket(i int) bucket {
	c := bucket{Slot: int64(s.slots[i]), Calls: s.calls[i], Met: s.met[i]}
	if s.usage != nil {
		w := &s.usage[i]
		c.Output, c.Good, c.Wasted, c.Durable, c.Cheap = w.output, w.good, w.wasted, w.durable, w.cheap
	}
	return c
}

// set replaces the bucket at index i.
func (s *series) set(i int, c bucket) {
	s.slots[i], s.calls[i], s.met[i] = uint32(c.Slot), c.Calls, c.Met
	if s.usage != nil {
		s.usage[i] = usage{output: c.Output, good: c.Good, wasted: c.Wasted, durable: c.Durable, cheap: c.Cheap}
	}
}

// slotOf returns the number of the interval of the given width that contains now, counted from 1970.
func slotOf(now time.Time, width time.Duration) int64 {
	return now.UnixNano() / int64(width)
}

// add adds the counts of n to the current bucket of each window.
func (s *series) add(now time.Time, n bucket) {
	for i := range rings {
		n.Slot = slotOf(now, rings[i].width)
		s.put(i, n)
	}
}

// put adds the counts of n to the bucket of the same slot in window i. If a later slot already uses the place of the bucket,
// n is out of the window and is dropped.
func (s *series) put(i int, n bucket) {
	r := &rings[i]
	at := r.first + int(n.Slot%int64(r.count))
	old := s.bucket(at)
	switch {
	case old.Slot == n.Slot:
		old.add(n)
		s.set(at, old)
	case old.Slot < n.Slot:
		s.set(at, n)
	}
}

// sum returns the counts of window i at now.
func (s *series) sum(now time.Time, i int) bucket {
	var total bucket
	for _, c := range s.bucketsInWindow(now, i) {
		total.add(c)
	}
	return total
}

// bucketsInWindow returns the buckets of window i at now.
func (s *series) bucketsInWindow(now time.Time, i int) []bucket {
	r := &rings[i]
	last := slotOf(now, r.width)
	var found []bucket
	for at := r.first; at < r.first+r.count; at++ {
		if slot := int64(s.slots[at]); slot > last-int64(r.count) && slot <= last {
			found = append(found, s.bucket(at))
		}
	}
	return found
}

// isEmpty reports whether there is no bucket in any window at now.
func (s *series) isEmpty(now time.Time) bool {
	for i := range rings {
		if len(s.bucketsInWindow(now, i)) > 0 {
			return false
		}
	}
	return true
}
