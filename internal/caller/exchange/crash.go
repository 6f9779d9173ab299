package exchange

import (
	"context"
	"time"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/upstream/dispatch"
	"hickorypath/internal/upstream/httpclient"
)

// finishRun ends a run in the SuspectTracker and reports whether the pool should treat its upstream as crashed
// and send it no requests for some time. The only upstream of a pool is never treated so: a request that finds
// this upstream down fails at once, and a later request detects when the upstream is back.
func (s *Session) finishRun(ctx context.Context, grant dispatch.Grant, run uint64, err error) bool {
	return s.checkCrash(ctx, grant, run, err) && s.pool.HasAlternative([]string{grant.Target().ID()})
}

// checkCrash ends a run in the SuspectTracker and reports whether its upstream crashed.
//
// An upstream that refuses connections counts as crashed, but the request that detects this did not cause it. A host
// that reaches no other upstream either is cut off; the upstreams are used again at once when it no longer is.
// After a lost connection the upstream is probed; the probe continues after the caller has disconnected, and the
// run stays in the SuspectTracker until the probe ends. Otherwise a request that crashes upstreams would go
// undetected if its caller disconnects early.
func (s *Session) checkCrash(ctx context.Context, grant dispatch.Grant, run uint64, err error) (crashed bool) {
	if kind.Of(err) != kind.Lost {
		s.runner.endRun(run, err == nil)
		return kind.Of(err) == kind.Unavailable && ctx.Err() == nil && !isUnsent(err) && s.runner.reachesOthers(s.pool.Name(), grant.Target())
	}
	probed := make(chan bool, 1)
	go func() {
		crashed := s.runner.reportCrash(context.WithoutCancel(ctx), s.pool.Name(), grant.Target())
		s.runner.endRun(run, false)
		probed <- crashed
	}()
	select {
	case crashed = <-probed:
		return crashed
	case <-ctx.Done():
		return false
	}
}

// endRun records the end of a run; whole reports whether the response was received completely.
func (r *Runner) endRun(run uint64, whole bool) {
	now := r.deps.Clock.Now()
	r.deps.Suspects.Finish(now, run, whole)
	r.deps.Parts.Finish(now, run, whole)
}

// reportCrash probes an upstream and reports whether it is down. If it crashed, the requests that ran on it
// become suspects on all hosts.
//
// A connection that was merely lost makes no suspects. Neither does an upstream that the platform drains, nor one
// whose whole zone is lost, nor one from which this host is cut off, nor one that fails for want of room. Requests that were sent while the upstream was
// already down do not become suspects either; the SuspectTracker knows when each request was sent. That another host
// detected the crash first does not show that the requests of this host were sent after the crash.
func (r *Runner) reportCrash(ctx context.Context, pool string, t dispatch.Target) bool {
	zone, reaches := make(chan bool, 1), make(chan bool, 1)
	go func() { zone <- r.isZoneLost(ctx, pool, t) }()
	go func() { reaches <- r.reachesOthers(pool, t) }()
	if !r.deps.IsDown(pool, t.ID()) && r.deps.IsAlive(ctx, pool, t.Addr()) {
		return false
	}
	if r.isDraining(pool, t.ID()) {
		return true
	}
	if !<-reaches {
		return false
	}
	if r.deps.HasFallenOver != nil && r.deps.HasFallenOver(pool, t.ID()) {
		return true
	}
	if <-zone {
		r.zones.record(r.deps.Clock.Now(), t.Zone())
		return true
	}
	r.deps.Parts.Crash(r.deps.Clock.Now(), t.ID())
	suspicions, quarantines := r.deps.Suspects.Crash(r.deps.Clock.Now(), t.ID())
	r.deps.ReportCrash(pool, t.ID(), suspicions, quarantines)
	return true
}

// reachesOthers reports whether this host reaches upstreams of a pool other than t, or there are none.
func (r *Runner) reachesOthers(pool string, t dispatch.Target) bool {
	return r.deps.ReachesOthers == nil || r.deps.ReachesOthers(pool, t.Addr())
}

// recordGivenUp records the end of an attempt that may still take room at its upstream, because it failed after it was sent.
func (r *Runner) recordGivenUp(pool string, t dispatch.Target, err error) {
	if err == nil || r.deps.RecordGivenUp == nil || kind.From(err).Ran() == kind.RanNo {
		return
	}
	delay := time.Duration(0)
	if kind.Of(err) == kind.Timeout {
		delay = httpclient.LateResponseTime
	}
	r.deps.RecordGivenUp(pool, t.ID(), delay)
}
