package fleet

import (
	"math"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"hickorypath/internal/host/replication"
	"hickorypath/internal/policy/advisory"
	"hickorypath/internal/upstream/dispatch"
)

const (
	// brittleTopic is the topic of pools whose upstreams are brittle. The version is the time of the statement.
	brittleTopic = "brittle"
	// rejectionTopic is the topic of brittle upstreams that have rejected a request for want of room. The version is the time of that.
	rejectionTopic = "rejection"
)

const (
	// brittleInterval is how often a record in brittleTopic is renewed while upstreams go on stating it.
	brittleInterval = time.Second
	brittleExpiry   = 15 * time.Minute
	// rejectionExpiry is longer than hosts heed a rejection.
	rejectionExpiry = 10 * time.Second
)

// statedPool is what the upstreams of a pool stated together.
type statedPool struct {
	brittleness advisory.Brittleness
	publishedAt time.Time // when the other hosts were told last that they are brittle
}

// poolTarget is an upstream in the list of targets.
type poolTarget struct{ pool, addr string }

// rejectionRecord is the value of a record in rejectionTopic.
type rejectionRecord struct {
	Addr string `cbor:"a"`
}

// brittleNews is what the other hosts are to be told after a response.
type brittleNews struct {
	pool      string // whose upstreams are brittle, or no longer; empty if they need not be told
	record    advisory.BrittleRecord
	rejection bool
}

// pool returns the state of a pool. The caller holds a.mu.
func (a *advisories) pool(name string) *statedPool {
	p := a.pools[name]
	if p == nil {
		p = &statedPool{}
		a.pools[name] = p
	}
	return p
}

// observeBrittle records whether a response states that its upstream is brittle, and a rejection by a brittle upstream. The caller holds a.mu.
func (a *advisories) observeBrittle(now, sentAt time.Time, t dispatch.Target, s advisory.Statement) (news brittleNews) {
	target, ok := a.targets[t.ID()]
	if !ok || target.addr != t.Addr() {
		return brittleNews{}
	}
	p, state := a.pool(target.pool), a.at(t.ID(), t.Addr()).state
	held := p.brittleness.Holds(now)
	if s.Brittle.IsStated() {
		state.ObserveBrittle(now)
		p.brittleness.Observe(now)
	} else if state.ObserveSound(sentAt) {
		p.brittleness.ObserveSound(sentAt)
	}
	holds := p.brittleness.Holds(now)
	if holds != held || s.Brittle.IsStated() && now.Sub(p.publishedAt) >= brittleInterval {
		p.publishedAt, news.pool = now, target.pool
		news.record, _ = p.brittleness.Record(now)
	}
	if news.rejection = s.Rejected && state.IsBrittle(now, p.brittleness); news.rejection {
		state.ObserveRejection(now)
	}
	return news
}

// room returns how many requests this host may have at a time at an upstream of a pool that runs slots requests.
func (a *advisories) room(now time.Time, pool, upstream string, slots int) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	p, target := a.pools[pool], a.targets[upstream]
	if p == nil || !p.brittleness.Holds(now) || target.pool != pool {
		return math.MaxInt
	}
	state := a.at(upstream, target.addr).state
	if !state.IsBrittle(now, p.brittleness) {
		return math.MaxInt
	}
	u := a.upstreams[upstream]
	u.givenUp = slices.DeleteFunc(u.givenUp, func(until time.Time) bool { return !now.Before(until) })
	return state.BrittleShare(now, a.members.Fleet(), max(slots, 1)) - len(u.givenUp)
}

// canceledWorkTime is how long a request that was given up may still take room at its upstream, which learns of it from the closed
// connection.
const canceledWorkTime = 250 * time.Millisecond

// IsBrittle reports whether the upstreams of a pool are brittle, so that each host may use a part of them only.
func (f *Fleet) IsBrittle(pool string) bool {
	a := f.advisories
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.pools[pool]
	return p != nil && p.brittleness.Holds(f.options.Clock.Now())
}

// RecordGivenUp records that an attempt at an upstream was given up, whose connection is closed after a delay. If the upstream is brittle, the
// attempt counts until the upstream has noticed.
func (f *Fleet) RecordGivenUp(pool, upstream string, delay time.Duration) {
	a, now := f.advisories, f.options.Clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	p, target := a.pools[pool], a.targets[upstream]
	if p == nil || target.pool != pool {
		return
	}
	if u := a.at(upstream, target.addr); u.state.IsBrittle(now, p.brittleness) {
		u.givenUp = append(u.givenUp, now.Add(delay+canceledWorkTime))
	}
}

// HasFallenOver reports whether an upstream that has failed may have done so for want of room, and not by what it ran.
func (f *Fleet) HasFallenOver(pool, upstream string) bool {
	a, now := f.advisories, f.options.Clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	p, target := a.pools[pool], a.targets[upstream]
	if p == nil || target.pool != pool {
		return false
	}
	state := a.at(upstream, target.addr).state
	_, hasRejected := state.RejectionAge(now)
	return hasRejected && state.IsBrittle(now, p.brittleness)
}

// publishBrittle tells the other hosts what is new after a response of an upstream.
func (f *Fleet) publishBrittle(now time.Time, t dispatch.Target, s advisory.Statement, news brittleNews) {
	if news.pool != "" {
		f.options.Log.Info("upstream states whether it is brittle", zap.String("upstream", t.ID()), zap.Bool("brittle", s.Brittle.IsStated()),
			zap.Int("rejections", s.Brittle.Rejections()), zap.String("unreadable", s.Brittle.Unreadable()))
		f.putRecord(now, brittleTopic, news.pool, news.record, brittleExpiry)
	}
	if news.rejection {
		f.putRecord(now, rejectionTopic, t.ID(), rejectionRecord{Addr: t.Addr()}, rejectionExpiry)
	}
}

// putRecord tells the other hosts what was stated now.
func (f *Fleet) putRecord(now time.Time, topic, key string, value any, expiry time.Duration) {
	data, err := cbor.Marshal(value)
	if err != nil {
		f.options.Log.Error("cannot encode record for other hosts", zap.String("topic", topic), zap.Error(err))
		return
	}
	f.options.Replicator.Put(topic, key, uint64(now.UnixNano()), data, now.Add(expiry)) //nolint:gosec // the time in nanoseconds fits until 2262
}

// ageOf returns how long ago the version of a record was, which is a time.
func (f *Fleet) ageOf(record replication.Record) time.Duration {
	return f.options.Clock.Now().Sub(time.Unix(0, int64(record.Version()))) //nolint:gosec // the time in nanoseconds fits until 2262
}

// receiveBrittle records whether another host has been told that the upstreams of a pool are brittle.
func (f *Fleet) receiveBrittle(record replication.Record) {
	var r advisory.BrittleRecord
	if err := cbor.Unmarshal(record.Value(), &r); err != nil {
		f.options.Log.Warn("cannot decode statement of brittle upstreams", zap.Error(err))
		return
	}
	age := f.ageOf(record)
	r.Age += age
	if r.SoundAge >= 0 {
		r.SoundAge += age
	}
	a := f.advisories
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pool(record.Key()).brittleness.Merge(f.options.Clock.Now(), r)
}

// receiveRejection records that a brittle upstream has rejected a request of another host.
func (f *Fleet) receiveRejection(record replication.Record) {
	var r rejectionRecord
	if err := cbor.Unmarshal(record.Value(), &r); err != nil {
		f.options.Log.Warn("cannot decode rejection of another host", zap.Error(err))
		return
	}
	a := f.advisories
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.targets[record.Key()].addr == r.Addr {
		a.at(record.Key(), r.Addr).state.MergeRejection(f.options.Clock.Now(), f.ageOf(record))
	}
}
