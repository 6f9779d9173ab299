package upstream

import (
	"maps"
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

// observe records whether a response that arrived now to a request sent at sentAt states that its instance is brittle. A response that
// does not may tell of the other instances of the service.
func (b *serviceBrittleness) observe(now, sentAt time.Time, isBrittle, tellsOfOthers bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if isBrittle {
		b.state.Observe(now)
	} else if tellsOfOthers {
		b.state.ObserveSound(sentAt)
	}
}

// recordBrittle records whether a response that arrived now to a request sent at sentAt states that the instance is brittle, and whether
// it has rejected the request as a brittle one. It reports what is new.
func (i *Instance) recordBrittle(now, sentAt time.Time, s advisory.Statement) (changed, rejected bool) {
	if i.brittle == nil {
		return false, false
	}
	before := i.IsBrittle(now)
	tellsOfOthers := false
	i.mu.Lock()
	if s.Brittle.IsStated() {
		i.advisory.ObserveBrittle(now)
	} else {
		tellsOfOthers = i.advisory.ObserveSound(sentAt)
	}
	i.mu.Unlock()
	i.brittle.observe(now, sentAt, s.Brittle.IsStated(), tellsOfOthers)
	isBrittle := i.IsBrittle(now)
	if rejected = isBrittle && s.Rejected; rejected {
		i.mu.Lock()
		i.advisory.ObserveRejection(now)
		i.mu.Unlock()
	}
	return before != isBrittle, rejected
}

// IsBrittle reports whether the instance fails if it has to reject some requests in a second for want of room.
func (i *Instance) IsBrittle(now time.Time) bool {
	b := i.brittle.get()
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.advisory.IsBrittle(now, b)
}

// BrittleShare returns how many requests this host may have at a time at the instance, which is brittle.
func (i *Instance) BrittleShare(now time.Time, f *advisory.Fleet) int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.advisory.BrittleShare(now, f, max(i.entry.Slots, 1))
}

// HasRejected reports whether the instance has lately rejected a request for want of room, of this host or of another one.
func (i *Instance) HasRejected(now time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	_, ok := i.advisory.RejectionAge(now)
	return ok
}

// MayBeBrittle reports whether some instances of a service may be brittle.
func (t *Table) MayBeBrittle(now time.Time, service string) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	b := t.brittle[service].get()
	return b.Holds(now)
}

// BrittleService is what a host tells other hosts of a service whose instances are brittle or were lately.
type BrittleService struct {
	_      struct{} `cbor:",toarray"`
	Record advisory.BrittleRecord
	Free   int // requests more than it has that the host may have at the instances
}

// BrittleServices returns the services whose instances are brittle or were lately, for the other hosts.
func (t *Table) BrittleServices(now time.Time) (services map[string]BrittleService) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for service := range t.byService {
		b := t.brittle[service].get()
		if r, ok := b.Record(now); ok {
			services = lo.Assign(services, map[string]BrittleService{service: {Record: r}})
		}
	}
	return services
}

// MergeBrittle records which services have brittle instances, as another host has told.
func (t *Table) MergeBrittle(now time.Time, told map[string]BrittleService) {
	for service, s := range told {
		t.mu.RLock()
		b := t.brittle[service]
		t.mu.RUnlock()
		if b != nil {
			b.mu.Lock()
			b.state.Merge(now, s.Record)
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
		if !b.Holds(now) {
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

// sweepBrittle forgets the services without instances that have not been brittle lately. All instances may have failed at once. The caller
// holds t.mu.
func (t *Table) sweepBrittle(now time.Time) {
	maps.DeleteFunc(t.brittle, func(service string, b *serviceBrittleness) bool {
		state := b.get()
		_, isRecent := state.Record(now)
		return len(t.byService[service]) == 0 && !isRecent
	})
}
