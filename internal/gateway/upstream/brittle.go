package upstream

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"

	"hickorypath/internal/policy/advisory"
)

// serviceBrittleness is what the responses of a service's instances stated last of being brittle.
type serviceBrittleness struct {
	mu    sync.Mutex
	state advisory.Brittleness
}

func (b *serviceBrittleness) get() advisory.Brittleness {
	if b == nil {
		return advisory.Brittleness{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state
}

// recordBrittle records whether a response that arrived now to a request sent at sentAt states that the instance is brittle, and whether
// it has rejected the request as a brittle one. It reports what is new.
func (i *Instance) recordBrittle(now, sentAt time.Time, s advisory.Statement) (changed, rejected bool) {
	before := i.IsBrittle()
	if !s.Brittle.IsStated() {
		i.mu.Lock()
		i.advisory.ObserveSound(sentAt)
		i.mu.Unlock()
	} else if i.brittle != nil {
		i.brittle.mu.Lock()
		i.brittle.state.Observe(now)
		i.brittle.mu.Unlock()
	}
	isBrittle := i.IsBrittle()
	if rejected = isBrittle && s.Rejected; rejected {
		i.mu.Lock()
		i.advisory.ObserveRejection(now)
		i.mu.Unlock()
	}
	return before != isBrittle, rejected
}

// IsBrittle reports whether the instance fails if it has to reject some requests in a second for want of room.
func (i *Instance) IsBrittle() bool {
	b := i.brittle.get()
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.advisory.IsBrittle(b)
}

// BrittleShare returns how many requests this host may have at a time at the instance, which is brittle.
func (i *Instance) BrittleShare(now time.Time, f *advisory.Fleet) int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.advisory.BrittleShare(now, f, max(i.entry.Slots, 1))
}

// HasBrittleShare reports whether this host may ever have a request at the instance, which is brittle.
func (i *Instance) HasBrittleShare(f *advisory.Fleet) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.advisory.HasBrittleShare(f, max(i.entry.Slots, 1))
}

// HasRejected reports whether the instance has lately rejected a request for want of room, of this host or of another one.
func (i *Instance) HasRejected(now time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	_, ok := i.advisory.RejectionAge(now)
	return ok
}

// MayBeBrittle reports whether an instance of a service has stated, to any host, that it is brittle. It may have withdrawn that since.
func (t *Table) MayBeBrittle(service string) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	b := t.brittle[service].get()
	return b.IsKnown()
}

// BrittleServices returns the services with brittle instances, and how long ago that was stated, for the other hosts.
func (t *Table) BrittleServices(now time.Time) (ages map[string]time.Duration) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for service, list := range t.byService {
		b := t.brittle[service].get()
		if b.IsKnown() && slices.ContainsFunc(list, (*Instance).IsBrittle) {
			ages = lo.Assign(ages, map[string]time.Duration{service: b.Age(now)})
		}
	}
	return ages
}

// MergeBrittle records which services have brittle instances, as another host has told.
func (t *Table) MergeBrittle(now time.Time, told map[string]time.Duration) {
	for service, age := range told {
		t.mu.RLock()
		b := t.brittle[service]
		t.mu.RUnlock()
		if b != nil {
			b.mu.Lock()
			b.state.Merge(now, age)
			b.mu.Unlock()
		}
	}
}

// Rejection is what a host tells other hosts of a brittle instance that has lately rejected a request for want of room.
type Rejection struct {
	_    struct{} `cbor:",toarray"`
	Born int64    // incarnation of the instance
	Age  time.Duration
}

// maxRejections bounds the rejections in a message, so that it stays a datagram.
const maxRejections = 100

// Rejections returns the brittle instances that have lately rejected requests for want of room, by their identifiers, for the other hosts.
func (t *Table) Rejections(now time.Time) (told map[string]Rejection) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for service, list := range t.byService {
		b := t.brittle[service].get()
		if !b.IsKnown() {
			continue
		}
		for _, i := range list {
			i.mu.Lock()
			age, ok := i.advisory.RejectionAge(now)
			born := i.entry.Born
			i.mu.Unlock()
			if ok && len(told) < maxRejections {
				told = lo.Assign(told, map[string]Rejection{i.id: {Born: born, Age: age}})
			}
		}
	}
	return told
}

// MergeRejections records which instances have rejected requests, as another host has told.
func (t *Table) MergeRejections(now time.Time, told map[string]Rejection) {
	for id, r := range told {
		if i := t.Get(id); i != nil {
			i.mu.Lock()
			if i.entry.Born == r.Born {
				i.advisory.MergeRejection(now, r.Age)
			}
			i.mu.Unlock()
		}
	}
}

// brittleOf returns the serviceBrittleness of a service. The caller holds t.mu.
func (t *Table) brittleOf(service string) *serviceBrittleness {
	b := t.brittle[service]
	if b == nil {
		b = &serviceBrittleness{}
		t.brittle[service] = b
	}
	return b
}

// sweepBrittle forgets the services that have had no instances for long. All of them may have failed at once. The caller holds t.mu.
func (t *Table) sweepBrittle(now time.Time) {
	maps.DeleteFunc(t.brittle, func(service string, b *serviceBrittleness) bool {
		state := b.get()
		return len(t.byService[service]) == 0 && state.Age(now) > leftRetention
	})
}
