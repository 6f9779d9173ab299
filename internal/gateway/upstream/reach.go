package upstream

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/lo"
	"github.com/samber/lo/mutable"
	"go.uber.org/zap"
	"golang.org/x/sync/singleflight"

	"hickorypath/internal/policy/reach"
)

const (
	// ReturnInterval is the interval between two calls of TryOutOfReach.
	ReturnInterval = 250 * time.Millisecond
	// silenceInterval is the least time between two tries of upstreams whose responses have not begun, although requests were sent.
	silenceInterval = 500 * time.Millisecond
)

// serviceReach is what a Table knows of whether the host reaches the upstreams of one service.
type serviceReach struct {
	table   *Table
	service string
	reads   atomic.Uint64 // reads from connections to upstreams of the service that have returned bytes
	probes  singleflight.Group

	mu        sync.Mutex
	state     reach.Service
	silenceAt time.Time // when an upstream was tried because its response had not begun
}

// reachOf returns the serviceReach of a service. The caller holds t.mu.
func (t *Table) reachOf(service string) *serviceReach {
	r := t.reach[service]
	if r == nil {
		r = &serviceReach{table: t, service: service}
		t.reach[service] = r
	}
	return r
}

// IsCut reports whether the host is cut off from most upstreams of a service.
func (t *Table) IsCut(service string) bool {
	if t.cutServices.Load() == 0 {
		return false
	}
	t.mu.RLock()
	r := t.reach[service]
	t.mu.RUnlock()
	return r != nil && r.isCut()
}

func (r *serviceReach) isCut() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.IsCut()
}

// CutServices returns the services from most of whose upstreams the host is cut off, nil for none.
func (t *Table) CutServices() (services []string) {
	if t.cutServices.Load() == 0 {
		return nil
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	for name, r := range t.reach {
		r.mu.Lock()
		if r.state.IsCut() && len(t.byService[name]) > 0 {
			services = append(services, name)
		}
		r.mu.Unlock()
	}
	return services
}

// upstreams returns the instances of the service that are not known to leave, with their identifiers in the order in which they are
// to be tried: at random, those of the host's zone and of other zones in turn. A zone that is cut off reaches its own.
func (r *serviceReach) upstreams() (list map[string]*Instance, ids []string) {
	list = map[string]*Instance{}
	var own, others []string
	for _, i := range r.table.Service(r.service) {
		i.mu.Lock()
		leaves, zone := i.entry.Draining || !i.removedAt.IsZero(), i.entry.Zone
		i.mu.Unlock()
		switch {
		case leaves:
			continue
		case zone == r.table.zone:
			own = append(own, i.id)
		default:
			others = append(others, i.id)
		}
		list[i.id] = i
	}
	mutable.Shuffle(own)
	mutable.Shuffle(others)
	return list, lo.Interleave(own, others)
}

// recordOpened records that a connection to an instance was opened.
func (r *serviceReach) recordOpened(i *Instance) {
	list, ids := r.upstreams()
	r.mu.Lock()
	wasCut := r.state.IsCut()
	changed := r.state.RecordOpened(time.Now(), i.id, ids)
	isCut := r.state.IsCut()
	r.mu.Unlock()
	if changed {
		r.apply(list, wasCut, isCut)
	}
	if changed && isCut { // the others may be back as well
		r.tryOutOfReach()
	}
}

// recordFailed records that a connection to an instance was refused or is not open in time, and tries others of the service.
func (r *serviceReach) recordFailed(i *Instance) {
	list, ids := r.upstreams()
	if _, ok := list[i.id]; !ok {
		return
	}
	r.mu.Lock()
	wasCut := r.state.IsCut()
	tries, changed := r.state.RecordFailed(time.Now(), i.id, ids)
	isCut := r.state.IsCut()
	r.mu.Unlock()
	if changed {
		r.apply(list, wasCut, isCut)
	}
	for _, id := range tries {
		go list[id].try()
	}
}

// apply puts a change of the upstreams within reach into effect.
func (r *serviceReach) apply(list map[string]*Instance, wasCut, isCut bool) {
	r.mu.Lock()
	reached := 0
	for id, i := range list {
		reaches := r.state.Reaches(id)
		if reaches {
			reached++
		}
		i.outOfReach.Store(!reaches)
	}
	r.mu.Unlock()
	if isCut {
		for _, i := range list {
			if i.outOfReach.Load() {
				i.closeIdle()
				i.abandonDials()
			}
		}
	}
	if wasCut == isCut {
		return
	}
	if isCut {
		defer r.tryOutOfReach() // some may be within reach
		r.table.cutServices.Add(1)
		r.table.log.Warn("service out of reach", zap.String("service", r.service), zap.Int("upstreams", len(list)))
	} else {
		r.table.cutServices.Add(-1)
		r.table.log.Info("service within reach again", zap.String("service", r.service), zap.Int("upstreams", len(list)), zap.Int("reached", reached))
	}
	if f := r.table.OnCutChange; f != nil {
		f(r.service, isCut)
	}
}

// TryOutOfReach tries some upstreams of each service that is out of reach. It is to be called every ReturnInterval.
func (t *Table) TryOutOfReach() {
	if t.cutServices.Load() == 0 {
		return
	}
	t.mu.RLock()
	all := slices.Collect(maps.Values(t.reach))
	t.mu.RUnlock()
	for _, r := range all {
		r.tryOutOfReach()
	}
}

func (r *serviceReach) tryOutOfReach() {
	list, ids := r.upstreams()
	r.mu.Lock()
	if !r.state.IsCut() {
		r.mu.Unlock()
		return
	}
	tries := r.state.Return(time.Now(), ids)
	isGone := len(ids) == 0
	if isGone {
		r.state = reach.Service{}
	}
	r.mu.Unlock()
	if isGone {
		r.apply(list, true, false)
	}
	for _, id := range tries {
		go list[id].try()
	}
}

// noteSilence records that a request that was sent to an instance has no response yet and no other upstream of the service has sent
// anything since. It tries whether the instance still answers.
func (r *serviceReach) noteSilence(i *Instance) {
	now := time.Now()
	r.mu.Lock()
	due := !r.state.IsCut() && now.Sub(r.silenceAt) >= silenceInterval
	if due {
		r.silenceAt = now
	}
	r.mu.Unlock()
	if due {
		i.try()
	}
}

// try opens a connection to the instance, which shows whether it is within reach, and keeps the connection for a request.
func (i *Instance) try() {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	raw, err := i.dial(ctx)
	if err != nil {
		return
	}
	c := i.newConn(raw)
	c.unbind = func() bool { return true }
	c.park(time.Now())
}

// WatchSilence watches a request that is sent on the connection now. If neither the instance nor another one of its service sends
// anything for a while, it finds out whether the instance is within reach. The returned function ends the watch.
func (c *Conn) WatchSilence() (stop func()) {
	r := c.instance.reach
	if r == nil {
		return func() {}
	}
	before := r.reads.Load()
	timer := time.AfterFunc(reach.StallTime, func() {
		if r.reads.Load() == before {
			r.noteSilence(c.instance)
		}
	})
	return func() { timer.Stop() }
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.reads.Add(1)
		if r := c.instance.reach; r != nil {
			r.reads.Add(1)
		}
	}
	return n, err
}

// Reads returns how many reads from the connection have returned bytes.
func (c *Conn) Reads() uint64 { return c.reads.Load() }

// ServiceReads returns how many reads from connections to the upstreams of a service have returned bytes.
func (t *Table) ServiceReads(service string) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reachOf(service).reads.Load()
}
