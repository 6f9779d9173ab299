package httpclient

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"
	"golang.org/x/sync/singleflight"

	"hickorypath/internal/core/clock"
	"hickorypath/internal/policy/reach"
)

// ErrOutOfReach is the error of a dial to an upstream of a pool from which this host is cut off.
var ErrOutOfReach = errors.New("this host is cut off from the upstream")

// errStalled is the error of a dial to an upstream that does not answer while others of its pool do.
var errStalled = errors.New("the upstream does not answer")

const (
	// returnInterval is the interval at which upstreams that are out of reach are tried.
	returnInterval = 250 * time.Millisecond
	// silenceInterval is the least time between two tries of upstreams of a pool that send nothing although requests were sent.
	silenceInterval = 500 * time.Millisecond
)

// Endpoint is the address and the availability zone of an upstream.
type Endpoint struct{ Addr, Zone string }

// Reach opens connections to the upstreams of all pools and finds out whether this host is cut off from those of a pool. It is safe
// for concurrent use.
type Reach struct {
	zone string // of this host
	dial DialFunc
	log  *zap.Logger
	cuts atomic.Int32 // number of pools that are out of reach

	disturbed atomic.Int32 // number of pools with upstreams out of reach

	probes singleflight.Group // by pool

	isAlone atomic.Pointer[func() bool] // reports whether there is no other host, through which to reach upstreams

	mu     sync.Mutex
	pools  map[string]*poolReach
	byAddr map[string]*poolReach
}

// poolReach is what a Reach knows of one pool.
type poolReach struct {
	name        string
	own, others []string      // addresses of the upstreams in the host's zone and in others
	reads       atomic.Uint64 // reads from connections to the upstreams that have returned bytes

	// The mu of the Reach guards the following fields.
	state     reach.Service
	isCounted bool      // among the disturbed pools
	silenceAt time.Time // when an upstream was tried because it sent nothing
	openedAt  map[string]time.Time
	returned  time.Time // when the last cut ended
	lastDial  int
	dials     map[int]pendingDial // connections that are being opened, by number
}

type pendingDial struct {
	addr   string
	waits  bool // although the upstream does not answer
	cancel context.CancelCauseFunc
}

// NewReach returns a Reach of a host in an availability zone without pools, that opens connections with dial.
func NewReach(zone string, dial DialFunc, log *zap.Logger) *Reach {
	return &Reach{zone: zone, dial: dial, log: log, pools: map[string]*poolReach{}, byAddr: map[string]*poolReach{}}
}

// SetUpstreams replaces the upstreams of all pools.
func (r *Reach) SetUpstreams(byPool map[string][]Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	pools := make(map[string]*poolReach, len(byPool))
	r.byAddr = map[string]*poolReach{}
	for name, list := range byPool {
		p := r.pools[name]
		if p == nil {
			p = &poolReach{name: name, dials: map[int]pendingDial{}, openedAt: map[string]time.Time{}}
		}
		own, others := lo.FilterReject(list, func(e Endpoint, _ int) bool { return e.Zone == r.zone })
		addr := func(e Endpoint, _ int) string { return e.Addr }
		p.own, p.others = lo.Map(own, addr), lo.Map(others, addr)
		pools[name] = p
		for _, e := range list {
			r.byAddr[e.Addr] = p
		}
		maps.DeleteFunc(p.openedAt, func(addr string, _ time.Time) bool { return r.byAddr[addr] != p })
	}
	for name, p := range r.pools {
		if pools[name] == nil {
			wasCut := p.state.IsCut()
			p.state = reach.Service{}
			r.settle(p, wasCut)
		}
	}
	r.pools = pools
}

// SetAlone sets a function that reports whether there is no other host. A host that is alone goes on opening connections to upstreams
// that are out of reach.
func (r *Reach) SetAlone(isAlone func() bool) { r.isAlone.Store(&isAlone) }

// mayGiveUp reports whether another host may reach what this one does not.
func (r *Reach) mayGiveUp() bool {
	isAlone := r.isAlone.Load()
	return isAlone != nil && !(*isAlone)()
}

// addrs returns the addresses of a pool in the order in which they are to be tried: at random, those of the host's zone and of other
// zones in turn. A zone that is cut off reaches its own. The caller holds the mu of the Reach.
func (p *poolReach) addrs() []string {
	for _, list := range [][]string{p.own, p.others} {
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	return lo.Interleave(p.own, p.others)
}

// IsCut reports whether this host is cut off from most upstreams of a pool, and other hosts may not be.
func (r *Reach) IsCut(pool string) bool {
	if r.cuts.Load() == 0 || !r.mayGiveUp() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.pools[pool]
	return p != nil && p.state.IsCut()
}

// Run tries the upstreams that are out of reach until ctx ends.
func (r *Reach) Run(ctx context.Context) {
	clock.Every(ctx, returnInterval, func() {
		if r.disturbed.Load() == 0 {
			return
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, p := range r.pools {
			r.tryAll(p, p.state.Return(time.Now(), p.addrs()))
			r.settle(p, p.state.IsCut())
		}
	})
}

// Dial opens a connection to an upstream for a request. It has the signature of a DialFunc.
func (r *Reach) Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	return r.dialPool(ctx, network, addr, false)
}

// DialControl opens a connection to an upstream that a request is running on. It waits for an upstream that does not answer, alone or
// with all others of its pool, since sound ones may be silent for a second. It has the signature of a DialFunc.
func (r *Reach) DialControl(ctx context.Context, network, addr string) (net.Conn, error) {
	return r.dialPool(ctx, network, addr, true)
}

func (r *Reach) dialPool(ctx context.Context, network, addr string, waits bool) (net.Conn, error) {
	r.mu.Lock()
	p := r.byAddr[addr]
	if p == nil {
		r.mu.Unlock()
		return r.dial(ctx, network, addr)
	}
	reaches, isCut := p.state.Reaches(addr), p.state.IsCut()
	r.mu.Unlock()
	switch {
	case reaches || waits:
	case !isCut:
		return nil, errStalled
	case r.mayGiveUp():
		return nil, ErrOutOfReach
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	r.mu.Lock()
	p.lastDial++
	n := p.lastDial
	p.dials[n] = pendingDial{addr, waits, cancel}
	r.mu.Unlock()
	c, err := r.dialAndRecord(ctx, p, network, addr)
	r.mu.Lock()
	delete(p.dials, n)
	r.mu.Unlock()
	if cause := context.Cause(ctx); err != nil && (errors.Is(cause, ErrOutOfReach) || errors.Is(cause, errStalled)) {
		return nil, cause
	}
	if err != nil {
		return nil, err
	}
	return &reachConn{Conn: c, reach: r, pool: p, addr: addr}, nil
}

// dialAndRecord opens a connection and records whether the upstream answers.
func (r *Reach) dialAndRecord(ctx context.Context, p *poolReach, network, addr string) (net.Conn, error) {
	begin := time.Now()
	stalled := time.AfterFunc(reach.StallTime, func() { r.recordFailed(p, addr, begin) })
	c, err := r.dial(ctx, network, addr)
	wasInTime := stalled.Stop()
	switch {
	case err == nil:
		r.recordOpened(p, addr)
	case ctx.Err() == nil && wasInTime:
		r.recordFailed(p, addr, begin)
	}
	return c, err
}

func (r *Reach) recordOpened(p *poolReach, addr string) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byAddr[addr] == p {
		p.openedAt[addr] = now
	}
	wasCut := p.state.IsCut()
	changed := p.state.RecordOpened(now, addr, p.addrs())
	if wasCut && !p.state.IsCut() {
		p.returned = now
	}
	r.settle(p, wasCut)
	if changed && p.state.IsCut() { // the others may be back as well
		r.tryAll(p, p.state.Return(now, p.addrs()))
	}
}

// recordFailed records that an upstream has not answered a dial that began at a time, and tries others. It counts only if the upstream has
// not been within reach since.
func (r *Reach) recordFailed(p *poolReach, addr string, begin time.Time) {
	mayGiveUp := r.mayGiveUp()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byAddr[addr] != p || begin.Before(p.openedAt[addr]) || begin.Before(p.returned) {
		return
	}
	wasCut := p.state.IsCut()
	tries, _ := p.state.RecordFailed(time.Now(), addr, p.addrs())
	r.tryAll(p, tries)
	r.settle(p, wasCut)
	if !wasCut && p.state.IsCut() {
		if mayGiveUp {
			p.giveUpDials(ErrOutOfReach)
		}
		r.tryAll(p, p.state.Return(time.Now(), p.addrs())) // some may be within reach
	}
}

// giveUpDials ends the dials to upstreams out of reach, except those that wait for them. The caller holds the mu of the Reach.
func (p *poolReach) giveUpDials(cause error) {
	for _, d := range p.dials {
		if !p.state.Reaches(d.addr) && !d.waits {
			d.cancel(cause)
		}
	}
}

// settle puts a change of what is within reach of a pool, which was cut off before or not, into effect. The caller holds r.mu.
func (r *Reach) settle(p *poolReach, wasCut bool) {
	switch isCut := p.state.IsCut(); {
	case isCut && !wasCut:
		r.cuts.Add(1)
		r.log.Warn("pool out of reach", zap.String("pool", p.name), zap.Int("upstreams", len(p.own)+len(p.others)))
	case wasCut && !isCut:
		r.cuts.Add(-1)
		r.log.Info("pool within reach again", zap.String("pool", p.name))
	}
	isDisturbed := !p.state.IsWhole()
	switch {
	case isDisturbed && !p.isCounted:
		r.disturbed.Add(1)
	case !isDisturbed && p.isCounted:
		r.disturbed.Add(-1)
	}
	p.isCounted = isDisturbed
	if !p.state.IsCut() {
		p.giveUpDials(errStalled)
	}
}

// tryAll tries whether upstreams answer. The caller holds r.mu.
func (r *Reach) tryAll(p *poolReach, addrs []string) {
	for _, addr := range addrs {
		go r.try(p, addr)
	}
}

// try opens a connection to an upstream and closes it, and reports whether it was opened.
func (r *Reach) try(p *poolReach, addr string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	c, err := r.dialAndRecord(ctx, p, "tcp", addr)
	if err == nil {
		_ = c.Close() // it was opened, which is all that was asked
	}
	return err == nil
}

// probedUpstreams is the number of upstreams of which one has to answer to show that the host reaches a pool.
const probedUpstreams = 3

// ReachesOthers reports whether this host reaches upstreams of a pool other than the one with an address, or there are none. It tells
// an upstream that has failed from a host that is cut off, and takes up to reach.StallTime. A host that is alone takes the upstream for
// the one that has failed.
func (r *Reach) ReachesOthers(pool, addr string) bool {
	if !r.mayGiveUp() {
		return true
	}
	if r.IsCut(pool) {
		return false
	}
	// A cut breaks many connections at once.
	reaches, _, _ := r.probes.Do(pool, func() (any, error) { return r.reachesAnyBut(pool, addr), nil })
	return reaches == true
}

// reachesAnyBut opens connections to some upstreams of a pool but the one with an address, and reports whether any was opened in
// time, or there are no others.
func (r *Reach) reachesAnyBut(pool, addr string) bool {
	r.mu.Lock()
	p := r.pools[pool]
	var others []string
	if p != nil {
		others = lo.Without(p.addrs(), addr)
	}
	r.mu.Unlock()
	opened, tries := make(chan bool, probedUpstreams), min(probedUpstreams, len(others))
	for _, other := range others[:tries] {
		go func() { opened <- r.try(p, other) }()
	}
	timeout := time.After(reach.StallTime)
	for range tries {
		select {
		case ok := <-opened:
			if ok {
				return true
			}
		case <-timeout:
			return false
		}
	}
	return tries == 0
}

// noteSilence records that an upstream has sent nothing since a request was sent to it, nor any other one of its pool.
func (r *Reach) noteSilence(p *poolReach, addr string) {
	now := time.Now()
	r.mu.Lock()
	due := r.byAddr[addr] == p && !p.state.IsCut() && now.Sub(p.silenceAt) >= silenceInterval
	if due {
		p.silenceAt = now
	}
	r.mu.Unlock()
	if due {
		r.try(p, addr)
	}
}

// reachConn is a connection to an upstream of a pool.
type reachConn struct {
	net.Conn
	reach   *Reach
	pool    *poolReach
	addr    string
	watched atomic.Bool // whether something is received after a write is being watched
}

// NetConn returns the connection that c uses.
func (c *reachConn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *reachConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.pool.reads.Add(1)
	}
	return n, err
}

// Write implements net.Conn.
func (c *reachConn) Write(p []byte) (int, error) {
	if !c.watched.Swap(true) {
		before := c.pool.reads.Load()
		time.AfterFunc(reach.StallTime, func() {
			c.watched.Store(false)
			if c.pool.reads.Load() == before {
				c.reach.noteSilence(c.pool, c.addr)
			}
		})
	}
	return c.Conn.Write(p)
}
