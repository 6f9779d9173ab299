package upstream

import (
	"cmp"
	"slices"
	"time"

	"github.com/samber/lo"

	"hickorypath/internal/policy/advisory"
)

// Advisory is what a host tells other hosts that an instance stated about itself.
type Advisory struct {
	_      struct{} `cbor:",toarray"`
	Born   int64    // incarnation of the instance
	Record advisory.Record
}

// Departure is what a host tells other hosts of an instance that leaves.
type Departure struct {
	_    struct{} `cbor:",toarray"`
	Born int64    // incarnation of the instance
	Age  time.Duration
}

// News is what a response has told that was not known of an instance before.
type News struct {
	Limit, Leaving, Brittle bool // it has changed
	Pause                   bool // one has begun
	Rejection               bool // the instance is brittle and has rejected a request
}

// RecordAdvisory records what the instance stated about itself in a response that arrived now to a request sent at sentAt.
func (i *Instance) RecordAdvisory(now, sentAt time.Time, s advisory.Statement) (n News) {
	n.Brittle, n.Rejection = i.recordBrittle(now, sentAt, s)
	i.mu.Lock()
	n.Limit, n.Leaving = i.advisory.Observe(now, sentAt, s), i.advisory.ObserveLeaving(now, sentAt, s.Leaving)
	wasPaused := i.advisory.PausedFor(now) > 0
	i.advisory.ObservePause(now, s.Pause)
	paused := i.advisory.PausedFor(now) > 0
	n.Pause = paused && !wasPaused
	i.mu.Unlock()
	if n.Leaving {
		i.closeIdle()
	}
	if n.Leaving || paused {
		i.abandonDials()
	}
	return n
}

// LeavingFor returns since when this host knows from the instance's responses that it leaves. ok is false if they do not state it.
func (i *Instance) LeavingFor(now time.Time) (d time.Duration, ok bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.advisory.LeavingFor(now)
}

// PausedFor returns for how much longer the instance wants no requests of this host, 0 if it takes them.
func (i *Instance) PausedFor(now time.Time) time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.advisory.PausedFor(now)
}

// Limit returns the request rate that the instance accepts from all hosts together.
func (i *Instance) Limit() advisory.Limit {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.advisory.Limit()
}

// Advisory returns a copy of what the instance stated about itself, for questions that must not change the limits in force.
func (i *Instance) Advisory() *advisory.State {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.advisory.Snapshot()
}

// SetCold bounds the requests of all hosts to the instance while it is cold. The zero value ends the bound.
func (i *Instance) SetCold(c advisory.Cold) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.advisory.SetCold(c)
}

// MaySend reports whether this host's part of the instance's limit allows a request now. The time is that of the fleet.
func (i *Instance) MaySend(now time.Time, f *advisory.Fleet) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.advisory.MaySend(now, f)
}

// SendsWithin returns how many requests this host's part of the instance's limit allows within d from now, but at most limit.
func (i *Instance) SendsWithin(now time.Time, f *advisory.Fleet, d time.Duration, limit int) int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.advisory.SendsWithin(now, f, d, limit)
}

// RecordSend counts a request against the instance's limit, and returns the permission to send it.
func (i *Instance) RecordSend() advisory.Permit {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.advisory.RecordSend()
}

// RenewPermit reports whether a request that was permitted earlier may be sent now, as far as the instance's limit is concerned. The
// time is that of the fleet.
func (i *Instance) RenewPermit(now time.Time, f *advisory.Fleet, p advisory.Permit) (renewed advisory.Permit, ok bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.advisory.Renew(now, f, p)
}

// maxAdvisories bounds the limits in a message, so that it stays a datagram.
const maxAdvisories = 100

// Advisories returns what the instances stated about themselves, by their identifiers, for the other hosts. Of many, each call
// returns the next ones.
func (t *Table) Advisories(now time.Time) map[string]Advisory {
	type told struct {
		id string
		a  Advisory
	}
	var list []told
	for _, i := range t.All() {
		i.mu.Lock()
		r, ok := i.advisory.Record(now)
		born := i.entry.Born
		i.mu.Unlock()
		if ok {
			list = append(list, told{i.id, Advisory{Born: born, Record: r}})
		}
	}
	if len(list) > maxAdvisories {
		slices.SortFunc(list, func(a, b told) int { return cmp.Compare(a.id, b.id) })
		from := int(t.advisoriesTold.Add(maxAdvisories)-maxAdvisories) % len(list)
		list = slices.Concat(list[from:], list[:from])[:maxAdvisories]
	}
	return lo.SliceToMap(list, func(x told) (string, Advisory) { return x.id, x.a })
}

// maxDepartures bounds the departures in a message, so that it stays a datagram.
const maxDepartures = 100

// Departures returns the instances whose responses state that they leave, by their identifiers, for the other hosts. Those whose
// entries show it are left out. Of many, the latest are told.
func (t *Table) Departures(now time.Time) map[string]Departure {
	type told struct {
		id string
		d  Departure
	}
	var list []told
	for _, i := range t.All() {
		i.mu.Lock()
		age, ok := i.advisory.LeavingAge(now)
		if ok && !i.entry.Draining && i.removedAt.IsZero() {
			list = append(list, told{i.id, Departure{Born: i.entry.Born, Age: age}})
		}
		i.mu.Unlock()
	}
	slices.SortFunc(list, func(a, b told) int { return cmp.Compare(a.d.Age, b.d.Age) })
	return lo.SliceToMap(list[:min(len(list), maxDepartures)], func(x told) (string, Departure) { return x.id, x.d })
}

// MergeDepartures records which instances leave, as another host has told, and returns those of which that is new.
func (t *Table) MergeDepartures(now time.Time, told map[string]Departure) (changed []*Instance) {
	for id, d := range told {
		i := t.Get(id)
		if i == nil {
			continue
		}
		i.mu.Lock()
		isNew := i.entry.Born == d.Born && i.advisory.MergeLeaving(now, d.Age)
		i.mu.Unlock()
		if isNew {
			i.closeIdle()
			i.abandonDials()
			changed = append(changed, i)
		}
	}
	return changed
}

// MergeAdvisories records what another host has told of instances, and returns those of which something is new.
func (t *Table) MergeAdvisories(now time.Time, told map[string]Advisory) (changed []*Instance) {
	for id, a := range told {
		i := t.Get(id)
		if i == nil {
			continue
		}
		i.mu.Lock()
		if i.entry.Born == a.Born && i.advisory.Merge(now, a.Record) {
			changed = append(changed, i)
		}
		i.mu.Unlock()
	}
	return changed
}
