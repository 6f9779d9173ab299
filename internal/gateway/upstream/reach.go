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
	// silenceInterval is the least time between two tries of upstreams of a service whose responses have not begun in time.
	silenceInterval = 500 * time.Millisecond
	// refusalTime is how long after a refused connection the upstreams of a service count as refusing.
	refusalTime = 2 * time.Second
)

// serviceReach is what a Table knows of whether the host reaches the upstreams of one service.
type serviceReach struct {
	table            *Table
	service          string
	active           activity // of the connections to upstreams of the service
	answers          answers
	refused, stalled activity // when a connection was refused last, and when one was not open in time
	probes           singleflight.Group

	mu        sync.Mutex
	state     reach.Service
	isCounted bool      // among the table's disturbedServices
	returned  time.Time // when the last cut ended
	silenceAt time.Time // when an upstream was tried because its response had not begun
}

// activity tells when bytes arrived last.
type activity struct{ at atomic.Int64 } // Unix nanoseconds

func (a *activity) record(now time.Time) { a.at.Store(now.UnixNano()) }

// silentFor returns how long nothing has arrived.
func (a *activity) silentFor(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, a.at.Load()))
}

// answers keeps when the upstreams of a service answered: with bytes, by opening a connection, or to another host.
type answers struct {
	last  atomic.Int64 // Unix nanoseconds
	since atomic.Int64 // first one of those that came in a row, none later than reach.StallTime after the one before; Unix nanoseconds
}

func (a *answers) record(now time.Time) {
	if now.Sub(time.Unix(0, a.last.Swap(now.UnixNano()))) > reach.StallTime {
		a.since.Store(now.UnixNano())
	}
}

// findReach returns what the table knows of a service, nil if it does not know the service.
func (t *Table) findReach(service string) *serviceReach {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.reach[service]
}

// IsRefusing reports whether connections to the upstreams of a service were refused lately, and none was left unanswered.
func (t *Table) IsRefusing(service string) bool {
	r, now := t.findReach(service), time.Now()
	return r != nil && r.refused.silentFor(now) < refusalTime && r.stalled.silentFor(now) >= refusalTime
}

// RecordAnswer records that upstreams of a service have answered another host.
func (t *Table) RecordAnswer(service string) {
	if r := t.findReach(service); r != nil {
		r.answers.record(time.Now())
	}
}

// Answers returns when the upstreams of a service answered last, and when the first of the answers in a row came that led to it.
func (t *Table) Answers(service string) (since, last time.Time) {
	r := t.findReach(service)
	if r == nil {
		return time.Time{}, time.Time{}
	}
	return time.Unix(0, r.answers.since.Load()), time.Unix(0, r.answers.last.Load())
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
	r := t.findReach(service)
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
	r.answers.record(time.Now())
	list, ids := r.upstreams()
	r.mu.Lock()
	wasCut := r.state.IsCut()
	changed := r.state.RecordOpened(time.Now(), i.id, ids)
	isCut := r.state.IsCut()
	i.openedAt = time.Now()
	if wasCut && !isCut {
		r.returned = i.openedAt
	}
	r.mu.Unlock()
	if changed {
		r.apply(list, wasCut, isCut)
	}
	if changed && isCut { // the others may be back as well
		r.tryOutOfReach()
	}
}

// recordFailed records that a connection to an instance, whose opening began at a time, was refused or is not open in time, and tries
// others of the service. It counts only if the instance has not been within reach since.
func (r *serviceReach) recordFailed(i *Instance, begin time.Time) {
	list, ids := r.upstreams()
	if _, ok := list[i.id]; !ok {
		return
	}
	r.mu.Lock()
	if begin.Before(i.openedAt) || begin.Before(r.returned) {
		r.mu.Unlock()
		return
	}
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
	reached, lost := 0, map[string]*Instance{}
	for id, i := range list {
		reaches := r.state.Reaches(id)
		if reaches {
			reached++
		}
		if wasOut := i.outOfReach.Swap(!reaches); !reaches && !wasOut {
			lost[id] = i
		}
	}
	r.count()
	r.mu.Unlock()
	for _, i := range lost {
		i.closeIdle()
		i.abandonDials()
	}
	if f := r.table.OnOutOfReach; f != nil && len(lost) > 0 {
		f(lost)
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

// count counts the service among those with upstreams out of reach, or no longer. The caller holds r.mu.
func (r *serviceReach) count() {
	isDisturbed := !r.state.IsWhole()
	switch {
	case isDisturbed && !r.isCounted:
		r.table.disturbedServices.Add(1)
	case !isDisturbed && r.isCounted:
		r.table.disturbedServices.Add(-1)
	}
	r.isCounted = isDisturbed
}

// TryOutOfReach tries some of the upstreams that are out of reach. It is to be called every ReturnInterval.
func (t *Table) TryOutOfReach() {
	if t.disturbedServices.Load() == 0 {
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
	wasCut := r.state.IsCut()
	tries := r.state.Return(time.Now(), ids)
	if len(ids) == 0 {
		r.state = reach.Service{}
	}
	isCut := r.state.IsCut()
	r.count()
	r.mu.Unlock()
	if wasCut && !isCut {
		r.apply(list, wasCut, isCut)
	}
	for _, id := range tries {
		go list[id].try()
	}
}

// noteSilence records that a request that was sent to an instance has no response yet and that the instance has sent nothing since. It
// tries whether the instance still answers.
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

// WatchSilence watches a request that is sent on the connection now, and whose response is expected after a time. If the instance sends
// nothing until a while after that, the host finds out whether the instance is within reach. The returned function ends the watch.
func (c *Conn) WatchSilence(expected time.Duration) (stop func()) {
	r, i := c.instance.reach, c.instance
	if r == nil {
		return func() {}
	}
	now := time.Now()
	c.active.record(now)
	wait := reach.StallTime + expected
	timer := time.AfterFunc(wait, func() {
		if i.active.silentFor(time.Now()) >= wait {
			r.noteSilence(i)
		}
	})
	return func() { timer.Stop() }
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if r := c.instance.reach; n > 0 && r != nil {
		now := time.Now()
		c.active.record(now)
		c.instance.active.record(now)
		r.active.record(now)
		r.answers.record(now)
	}
	return n, err
}

// Instance returns the instance at the other end.
func (c *Conn) Instance() *Instance { return c.instance }

// SilentFor returns how long nothing has arrived on the connection since a request was sent on it, nor from its instance, and, with all
// set, from any instance of the service.
func (c *Conn) SilentFor(now time.Time, all bool) time.Duration {
	silent := min(c.active.silentFor(now), c.instance.active.silentFor(now))
	if r := c.instance.reach; all && r != nil {
		silent = min(silent, r.active.silentFor(now))
	}
	return silent
}
