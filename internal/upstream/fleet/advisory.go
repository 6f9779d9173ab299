package fleet

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"hickorypath/internal/host/replication"
	"hickorypath/internal/policy/advisory"
	"hickorypath/internal/policy/route"
	"hickorypath/internal/upstream/dispatch"
)

// advisoryTopic is the topic of what upstreams stated about themselves. The version is the time of the statement.
const advisoryTopic = "advisory"

const (
	// advisoryExpiry is the lifetime of a record in advisoryTopic, and advisoryInterval how often it is renewed while the
	// upstream goes on stating the same.
	advisoryExpiry   = 15 * time.Minute
	advisoryInterval = time.Minute
	// memberExpiry is how long a host that has fallen silent counts as one that shares the limits of upstreams.
	memberExpiry = time.Minute
)

// advisories holds what the upstreams of all pools stated about themselves. It is safe for concurrent use.
type advisories struct {
	restricted atomic.Int64 // number of upstreams that have named a limit, leave or asked for a pause; without any, nothing is looked up

	mu        sync.Mutex
	members   *advisory.Members
	upstreams map[string]*statedUpstream // by id
	pools     map[string]*statedPool     // by name
	targets   map[string]poolTarget      // by id
}

// statedUpstream is an upstream at one address; a new one at the same address or id has stated nothing.
type statedUpstream struct {
	addr        string
	state       *advisory.State
	version     string // of its software, empty if it states none
	publishedAt time.Time
	givenUp     []time.Time // of attempts that were given up, until when they count at a brittle upstream

	isVersionKnown bool // the upstream has responded at this address
}

// advisoryRecord is the value of a record in advisoryTopic.
type advisoryRecord struct {
	Addr   string          `cbor:"a"`
	Record advisory.Record `cbor:"r"` // its age at the time of the version
}

func newAdvisories(host string) *advisories {
	return &advisories{members: advisory.NewMembers(host), upstreams: map[string]*statedUpstream{}, pools: map[string]*statedPool{}}
}

// at returns the state of an upstream at an address. The caller holds a.mu.
func (a *advisories) at(id, addr string) *statedUpstream {
	u := a.upstreams[id]
	if u == nil || u.addr != addr {
		u = &statedUpstream{addr: addr, state: advisory.NewState(id + " " + addr)}
		a.upstreams[id] = u
	}
	return u
}

// countRestricted updates a.restricted. The caller holds a.mu.
func (a *advisories) countRestricted(now time.Time) {
	n := int64(0)
	for _, u := range a.upstreams {
		if _, leaves := u.state.LeavingFor(now); leaves || u.state.Limit().IsNamed() || u.state.PausedFor(now) > 0 {
			n++
		}
	}
	a.restricted.Store(n)
}

// addMembers records that hosts are alive.
func (a *advisories) addMembers(now time.Time, hosts []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.members.Add(now, hosts...)
	a.members.Expire(now, memberExpiry)
}

// forget drops the upstreams that are in no list of targets.
func (a *advisories) forget(now time.Time, byPool map[string][]dispatch.Target) {
	a.mu.Lock()
	defer a.mu.Unlock()
	kept := map[string]*statedUpstream{}
	a.targets = map[string]poolTarget{}
	for name, targets := range byPool {
		for _, t := range targets {
			a.targets[t.ID()] = poolTarget{pool: name, addr: t.Addr()}
			if u := a.upstreams[t.ID()]; u != nil && u.addr == t.Addr() {
				kept[t.ID()] = u
			}
		}
	}
	a.upstreams = kept
	a.countRestricted(now)
}

// limiter returns the functions by which a pool heeds what its upstreams have stated.
func (a *advisories) limiter(pool string) route.Limiter {
	return route.Limiter{
		MaySend: func(now time.Time, upstream string) bool {
			return a.sendsWithin(now, upstream, 0, 1) > 0
		},
		SendsWithin: a.sendsWithin,
		RecordSend: func(upstream string) advisory.Permit {
			if a.restricted.Load() == 0 {
				return advisory.Permit{}
			}
			a.mu.Lock()
			defer a.mu.Unlock()
			if u := a.upstreams[upstream]; u != nil {
				return u.state.RecordSend()
			}
			return advisory.Permit{}
		},
		Renew: a.renew,
		Room:  func(now time.Time, upstream string, slots int) int { return a.room(now, pool, upstream, slots) },
	}
}

// renew reports whether a request may be sent now to an upstream for which it got its permit earlier.
func (a *advisories) renew(now time.Time, upstream string, p advisory.Permit) bool {
	if a.restricted.Load() == 0 {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	u := a.upstreams[upstream]
	if u == nil {
		return true
	}
	if _, leaves := u.state.LeavingFor(now); leaves || u.state.PausedFor(now) > 0 {
		return false
	}
	_, ok := u.state.Renew(now, a.members.Fleet(), p)
	return ok
}

// sendsWithin returns how many requests this host may send to an upstream within d, but at most limit.
func (a *advisories) sendsWithin(now time.Time, upstream string, d time.Duration, limit int) int {
	if a.restricted.Load() == 0 {
		return limit
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	u := a.upstreams[upstream]
	if u == nil {
		return limit
	}
	if _, leaves := u.state.LeavingFor(now); leaves || u.state.PausedFor(now) > d {
		return 0
	}
	return u.state.SendsWithin(now, a.members.Fleet(), d, limit)
}

// isPaused reports whether an upstream has asked this host for a pause.
func (a *advisories) isPaused(now time.Time, upstream string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	u := a.upstreams[upstream]
	return u != nil && u.state.PausedFor(now) > 0
}

// RecordAdvisory records what an upstream stated about itself in the response to a request sent at sentAt, and tells the other
// hosts if it is new.
func (f *Fleet) RecordAdvisory(t dispatch.Target, sentAt time.Time, s advisory.Statement) {
	a, now := f.advisories, f.options.Clock.Now()
	a.mu.Lock()
	u := a.at(t.ID(), t.Addr())
	u.version, u.isVersionKnown = s.Version, true
	changed := u.state.Observe(now, sentAt, s)
	leavingChanged := u.state.ObserveLeaving(now, sentAt, s.Leaving)
	wasPaused := u.state.PausedFor(now) > 0
	u.state.ObservePause(now, s.Pause)
	publish := a.observeBrittle(now, sentAt, t, s)
	a.countRestricted(now)
	limit := u.state.Limit()
	r, ok := u.state.Record(now)
	if ok = ok && (changed || limit.IsNamed() && now.Sub(u.publishedAt) > advisoryInterval); ok {
		u.publishedAt = now
	}
	a.mu.Unlock()
	f.publishBrittle(now, t, s, publish)
	if changed {
		f.logLimit(t.ID(), limit, s.Limit.Unreadable())
	}
	if s.Pause.Length() > 0 && !wasPaused {
		f.publishPause(now, t, s.Pause)
	}
	if s.Pause.Unreadable() != "" {
		f.options.Log.Warn("upstream asks for a pause that cannot be read", zap.String("upstream", t.ID()), zap.String("value", s.Pause.Unreadable()),
			zap.Duration("pause", s.Pause.Length()))
	}
	if leavingChanged {
		f.logLeaving(t.ID(), s.Leaving.IsStated(), s.Leaving.Unreadable())
	}
	if leavingChanged && s.Leaving.IsStated() {
		f.publishDeparture(now, t)
	}
	if !ok {
		return
	}
	value, err := cbor.Marshal(advisoryRecord{Addr: t.Addr(), Record: r})
	if err != nil {
		f.options.Log.Error("cannot encode advisory", zap.Error(err))
		return
	}
	f.options.Replicator.Put(advisoryTopic, t.ID(), uint64(now.UnixNano()), value, now.Add(advisoryExpiry))
}

// Version returns the software version that an upstream stated last; ok is false if it has not responded yet.
func (f *Fleet) Version(t dispatch.Target) (version string, ok bool) {
	a := f.advisories
	a.mu.Lock()
	defer a.mu.Unlock()
	u := a.upstreams[t.ID()]
	if u == nil || u.addr != t.Addr() {
		return "", false
	}
	return u.version, u.isVersionKnown
}

// receiveAdvisory records what another host has been told by an upstream.
func (f *Fleet) receiveAdvisory(record replication.Record) {
	var r advisoryRecord
	if err := cbor.Unmarshal(record.Value(), &r); err != nil {
		f.options.Log.Warn("cannot decode advisory of another host", zap.Error(err))
		return
	}
	now := f.options.Clock.Now()
	r.Record.Age += now.Sub(time.Unix(0, int64(record.Version()))) //nolint:gosec // the time in nanoseconds fits until 2262
	a := f.advisories
	if f.isElsewhere(record.Key(), r.Addr) {
		return
	}
	a.mu.Lock()
	u := a.at(record.Key(), r.Addr)
	changed := u.state.Merge(now, r.Record)
	a.countRestricted(now)
	limit := u.state.Limit()
	a.mu.Unlock()
	if changed {
		f.logLimit(record.Key(), limit, "")
	}
}

// isElsewhere reports whether an upstream is known to have another address.
func (f *Fleet) isElsewhere(upstream, addr string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, targets := range f.targets {
		for _, t := range targets {
			if t.ID() == upstream {
				return t.Addr() != addr
			}
		}
	}
	return false
}

// logLimit logs the new limit of an upstream. unreadable is the value that the upstream stated, if that is no limit.
func (f *Fleet) logLimit(upstream string, limit advisory.Limit, unreadable string) {
	fields := []zap.Field{zap.String("upstream", upstream), zap.Float64("limit", limit.Rate())}
	switch {
	case unreadable != "":
		f.options.Log.Warn("upstream names a limit that cannot be read", append(fields, zap.String("value", unreadable))...)
	case limit.IsNamed():
		f.options.Log.Info("upstream names a limit", fields...)
	default:
		f.options.Log.Info("upstream withdraws its limit", fields[0])
	}
}
