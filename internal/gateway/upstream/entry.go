// Package upstream tracks the instances of the upstream services and exchanges HTTP messages with them.
package upstream

import "time"

// Entry describes an instance, as the instance registered itself in the store. Hosts send entries to each other
// encoded by field name.
type Entry struct {
	ID       string
	Service  string
	Address  string
	Zone     string
	Version  string // version of the instance's software; empty if not stated
	Slots    int
	Draining bool
	Cold     time.Duration // how much longer the instance is slow after its start
	Born     int64         // start time of this incarnation, Unix milliseconds; 0 if not stated
	Spot     bool          // the platform may reclaim the instance
	Leaves   time.Duration // time until the instance is gone; 0 if not stated
	Seq      int64         // rises with each write of this incarnation; 0 if not stated
}

// isBefore reports whether e was written before o, an entry of the same instance. It reports false if that is not known.
func (e Entry) isBefore(o Entry) bool {
	if e.Born != o.Born {
		return e.Born > 0 && e.Born < o.Born
	}
	return e.Seq > 0 && e.Seq < o.Seq
}

// isSameIncarnation reports whether e and o, entries of the same instance, are of the same incarnation.
func (e Entry) isSameIncarnation(o Entry) bool {
	return e.Address == o.Address && e.Service == o.Service && e.Born == o.Born
}

// isSameWrite reports whether e and o are known to be the same write of the same instance.
func (e Entry) isSameWrite(o Entry) bool { return e.Born == o.Born && e.Seq > 0 && e.Seq == o.Seq }
