package suspect

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"hickorypath/internal/core/kind"
)

// Turn is the place of a suspect in the queue of one upstream. The host of the suspect sends the Turn to all other hosts,
// so that at most one suspect at a time is on trial on an upstream.
type Turn struct {
	Fingerprint Fingerprint `cbor:"p"` // of the suspect
	Host        string      `cbor:"h"` // id of the host that runs the suspect
	Upstream    string      `cbor:"u"`
	Joined      time.Time   `cbor:"j"`           // when the suspect joined the queue
	Until       time.Time   `cbor:"t"`           // when the turn expires if its host sends no update
	Running     bool        `cbor:"r,omitempty"` // the suspect was sent to the upstream
	Ended       bool        `cbor:"e,omitempty"`
}

const (
	turnSettleTime = 250 * time.Millisecond // wait after joining, until the turns that joined earlier on other hosts are known
	turnMoveDelay  = 3 * time.Second        // wait in a queue before a suspect moves to a shorter one
	turnExpiry     = 30 * time.Second       // life of a turn without an update, so that a dead host does not block a queue
	turnRenewal    = turnExpiry / 3         // interval at which the host of a running trial updates its turn
)

// isLive reports whether the turn has neither ended nor expired.
func (t Turn) isLive(now time.Time) bool { return !t.Ended && now.Before(t.Until) }

// before reports whether t is ahead of o in the queue of an upstream. The order is the same on all hosts.
func (t Turn) before(o Turn) bool {
	return cmp.Or(t.Joined.Compare(o.Joined), strings.Compare(t.Host, o.Host), cmp.Compare(t.Fingerprint, o.Fingerprint)) < 0
}

// Admit reports whether a request may be sent now. A request that is not a suspect may be sent to any upstream. A suspect
// first joins the queue of one of the given upstreams, and may be sent to the upstream of its turn as soon as it is the
// first in the queue. turn is the turn that the previous call returned, the zero value at the first call. The error is of
// kind Quarantined if the request must not run at all, and of kind Unavailable if it cannot get a turn at present.
func (t *Tracker) Admit(now time.Time, fp Fingerprint, turn Turn, upstreams []string) (next Turn, ready bool, err error) {
	suspect, err := t.Check(now, fp)
	if err != nil || !suspect {
		t.LeaveQueue(now, turn)
		return Turn{}, err == nil, err
	}
	if turn.Upstream != "" && !slices.Contains(upstreams, turn.Upstream) {
		t.LeaveQueue(now, turn)
		turn = Turn{}
	}
	if turn.Upstream == "" {
		turn, err = t.JoinQueue(now, fp, upstreams)
		return turn, false, err
	}
	ready, err = t.MayStart(now, turn)
	switch {
	case err != nil:
		return Turn{}, false, err
	case !ready && now.Sub(turn.Joined) > turnMoveDelay && t.hasShorterQueue(now, turn, upstreams):
		t.LeaveQueue(now, turn)
		turn, err = t.JoinQueue(now, fp, upstreams)
	}
	return turn, ready, err
}

// hasShorterQueue reports whether the whole queue of another upstream is shorter than the part of its queue that is ahead
// of turn.
func (t *Tracker) hasShorterQueue(now time.Time, turn Turn, upstreams []string) bool {
	ahead, queueLengths := 0, map[string]int{}
	for _, o := range t.turns {
		if !o.isLive(now) {
			continue
		}
		queueLengths[o.Upstream]++
		if o.Upstream == turn.Upstream && (o.Running || o.before(turn)) {
			ahead++
		}
	}
	return slices.ContainsFunc(upstreams, func(id string) bool { return queueLengths[id] < ahead && !t.isDown(now, id) })
}

// JoinQueue adds a suspect to the shortest queue of the given upstreams. The error is of kind Unavailable if there is no
// upstream, or if a copy of the request already waits or is on trial: a second trial would give no additional information
// and could crash another upstream.
func (t *Tracker) JoinQueue(now time.Time, fp Fingerprint, upstreams []string) (Turn, error) {
	if turn, ok := t.turns[fp]; ok && turn.isLive(now) || t.hasRunningTrial(fp) {
		return Turn{}, kind.New(kind.Unavailable, "the same request is on trial after a crash").WithRetry(trialRetryDelay)
	}
	upstream, ok := t.shortestQueue(now, fp, upstreams)
	if !ok {
		return Turn{}, kind.New(kind.Unavailable, "no upstream can try the request after a crash")
	}
	turn := Turn{Fingerprint: fp, Host: t.config.Host, Upstream: upstream, Joined: now, Until: now.Add(turnExpiry)}
	t.updateTurn(now, turn)
	return turn, nil
}

// hasRunningTrial reports whether a suspect is running on this host.
func (t *Tracker) hasRunningTrial(fp Fingerprint) bool {
	e := t.entries[fp]
	return e != nil && e.runningTrials > 0
}

// shortestQueue returns the upstream with the shortest queue, of those that are not known to be down, or of all if all are.
// Among queues of the same length a hash decides, so that suspects that join at the same moment on several hosts do not all
// join the same queue.
func (t *Tracker) shortestQueue(now time.Time, fp Fingerprint, upstreams []string) (string, bool) {
	queueLengths := map[string]int{}
	for _, turn := range t.turns {
		if turn.isLive(now) {
			queueLengths[turn.Upstream]++
		}
	}
	candidates := slices.DeleteFunc(slices.Clone(upstreams), func(id string) bool { return t.isDown(now, id) })
	if len(candidates) == 0 {
		candidates = upstreams
	}
	if len(candidates) == 0 {
		return "", false
	}
	return slices.MinFunc(candidates, func(x, y string) int {
		return cmp.Or(cmp.Compare(queueLengths[x], queueLengths[y]), cmp.Compare(tieBreakHash(fp, x), tieBreakHash(fp, y)))
	}), true
}

// isDown reports whether an upstream is known to be down.
func (t *Tracker) isDown(now time.Time, upstream string) bool {
	_, down := t.downSince(now, upstream)
	return down
}

// tieBreakHash orders the upstreams differently for each fingerprint.
func tieBreakHash(fp Fingerprint, upstream string) uint64 {
	return xxhash.Sum64String(upstream) ^ uint64(fp)*0x9e3779b97f4a7c15
}

// MayStart reports whether the suspect of turn is the first in its queue and may be sent. The error is of kind Unavailable
// if the turn was lost to a copy of the request on another host, or has expired.
func (t *Tracker) MayStart(now time.Time, turn Turn) (bool, error) {
	if own, ok := t.turns[turn.Fingerprint]; !ok || own.Host != turn.Host || !own.isLive(now) {
		return false, kind.New(kind.Unavailable, "the same request is on trial on another host").WithRetry(trialRetryDelay)
	}
	if now.Sub(turn.Joined) < turnSettleTime {
		return false, nil
	}
	for _, o := range t.turns {
		if o.Upstream == turn.Upstream && o.Fingerprint != turn.Fingerprint && o.isLive(now) && (o.Running || o.before(turn)) {
			return false, nil
		}
	}
	return true, nil
}

// LeaveQueue ends the turn of a suspect that will not be sent. A zero turn is ignored.
func (t *Tracker) LeaveQueue(now time.Time, turn Turn) {
	if turn.Upstream != "" {
		t.endTurn(now, turn.Fingerprint)
	}
}

// RecordProgress records that a run has received offset output tokens, and reports whether no further calls are needed for
// this run. A run passes its trial when it gets past the point at which the upstream crashed; then its turn ends and the
// next suspect may start. If the request ran only for a short time until the crash, the run must also last longer than
// that. A request that ran on two upstreams when they crashed does not pass before its response is complete.
func (t *Tracker) RecordProgress(now time.Time, requestID uint64, offset int) (done bool) {
	r := t.runs[requestID]
	e := t.entries[r.print]
	if !r.onTrial || e == nil {
		return true
	}
	if offset < e.maxOffset+passTokenMargin || (e.maxRunTime <= shortRun && now.Sub(r.started) < e.maxRunTime+shortRunMargin) {
		t.renewTurn(now, r.print)
		return false
	}
	return t.endTrial(now, requestID)
}

const (
	passTokenMargin = 8                       // tokens that the upstream may have produced but not delivered when it crashed
	shortRun        = 1500 * time.Millisecond // a crash within this time may depend on the time and not on the output
	shortRunMargin  = 250 * time.Millisecond  // added to the run time until the crash, if that was at most shortRun
)

// TrialTime returns how long a run on trial must last to pass if its output tokens are unknown. ok is false if the run is
// not on trial.
func (t *Tracker) TrialTime(requestID uint64) (d time.Duration, ok bool) {
	r := t.runs[requestID]
	e := t.entries[r.print]
	if !r.onTrial || e == nil {
		return 0, false
	}
	return e.maxRunTime + trialTimeMargin, true
}

// trialTimeMargin is added to the time that a suspect ran until the crash.
const trialTimeMargin = time.Second

// PassTrial records that a run has lasted for its TrialTime. If its trial goes on, PassTrial returns after which time it has
// to be called again; otherwise it returns 0.
func (t *Tracker) PassTrial(now time.Time, requestID uint64) (again time.Duration) {
	if !t.runs[requestID].onTrial || t.endTrial(now, requestID) {
		return 0
	}
	return turnRenewal
}

// endTrial ends the trial of a run that has passed, and its turn, unless the request ran at more than one crash: its trial
// lasts until its response is complete. endTrial reports whether the trial has ended.
func (t *Tracker) endTrial(now time.Time, requestID uint64) bool {
	r := t.runs[requestID]
	if e := t.entries[r.print]; e != nil && e.crashes > 1 {
		t.renewTurn(now, r.print)
		return false
	}
	r.onTrial, r.passed = false, true
	t.runs[requestID] = r
	t.endTurn(now, r.print)
	return true
}

// renewTurn extends the turn of a suspect of this host that is on trial.
func (t *Tracker) renewTurn(now time.Time, fp Fingerprint) {
	turn, ok := t.turns[fp]
	if ok && turn.Running && turn.Until.Sub(now) <= turnExpiry-turnRenewal {
		t.markTurnRunning(now, fp)
	}
}

// markTurnRunning records that the suspect fp was sent to the upstream of its turn.
func (t *Tracker) markTurnRunning(now time.Time, fp Fingerprint) {
	turn, ok := t.turns[fp]
	if !ok || turn.Host != t.config.Host || turn.Ended {
		return
	}
	turn.Running, turn.Until = true, now.Add(turnExpiry)
	t.updateTurn(now, turn)
}

// endTurn ends the turn of fp if it is a turn of this host.
func (t *Tracker) endTurn(now time.Time, fp Fingerprint) {
	turn, ok := t.turns[fp]
	if !ok || turn.Host != t.config.Host || turn.Ended {
		return
	}
	turn.Ended = true
	t.updateTurn(now, turn)
}

// updateTurn stores a changed turn of this host, and adds it to those that are sent to the other hosts.
func (t *Tracker) updateTurn(now time.Time, turn Turn) {
	t.storeTurn(now, turn)
	t.changedTurns = append(t.changedTurns, turn)
}

// storeTurn stores a turn. If there are MaxEntries turns, it removes those that have ended or expired first.
func (t *Tracker) storeTurn(now time.Time, turn Turn) {
	if len(t.turns) >= t.config.MaxEntries {
		maps.DeleteFunc(t.turns, func(_ Fingerprint, o Turn) bool { return !o.isLive(now) })
	}
	t.turns[turn.Fingerprint] = turn
}

// TakeChangedTurns returns the turns of this host that changed since the last call.
func (t *Tracker) TakeChangedTurns() []Turn {
	out := t.changedTurns
	t.changedTurns = nil
	return out
}

// MergeTurn applies a turn that another host reported. Of two live turns for copies of the same request on different hosts,
// the stored one stays if it is running or the earlier of the two. Reports of one turn may arrive in any order.
func (t *Tracker) MergeTurn(now time.Time, turn Turn) {
	old, ok := t.turns[turn.Fingerprint]
	if turn.Host == t.config.Host || (ok && old.takesPrecedence(now, turn)) {
		return
	}
	t.storeTurn(now, turn)
}

// takesPrecedence reports whether the stored turn t stays when turn o of the same request is reported.
func (t Turn) takesPrecedence(now time.Time, o Turn) bool {
	if t.Host != o.Host {
		return t.isLive(now) && (o.Ended || t.Running || t.before(o))
	}
	if !t.Joined.Equal(o.Joined) {
		return t.Joined.After(o.Joined)
	}
	return t.Ended || (t.Running && !o.Ended && (!o.Running || !o.Until.After(t.Until)))
}

// remoteTrials returns how many suspects of other hosts are on trial on an upstream.
func (t *Tracker) remoteTrials(now time.Time, upstream string) int {
	n := 0
	for _, turn := range t.turns {
		if turn.Host != t.config.Host && turn.Upstream == upstream && turn.Running && turn.isLive(now) {
			n++
		}
	}
	return n
}
