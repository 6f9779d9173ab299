package exchange

import (
	"time"

	"github.com/cockroachdb/errors"

	"hickorypath/internal/gateway/config"
	"hickorypath/internal/gateway/upstream"
	"hickorypath/internal/policy/reach"
)

// errCutOff ends attempts at upstreams that are out of reach.
var errCutOff = errors.New("the upstream is out of reach")

// hangPollInterval is the time between two checks of an attempt that hangs.
const hangPollInterval = 100 * time.Millisecond

// setMovable records whether another attempt may follow if the current one is given up. The caller holds x.mu.
func (e *exchange) setMovable() {
	e.canMove = e.route.IsRepeatable() && e.possibleRuns+1 < e.route.MaxAttempts && e.arrivals()+1 < maxSends && len(e.attempts)+1 < maxAttempts
}

// handleOutOfReach watches the attempts at instances that have come to be out of reach, as far as others may follow them.
func (x *Exchanger) handleOutOfReach(lost map[string]*upstream.Instance) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for e := range x.attempts {
		if c := e.conn; c != nil && lost[c.Instance().ID()] == c.Instance() && e.canMove {
			x.checkHang(e, c, &reach.Watch{})
		}
	}
}

// checkHang gives up the attempt of e on connection c if it hangs for too long, and otherwise checks it again later, until the attempt has
// ended or its instance is within reach. The caller holds x.mu.
func (x *Exchanger) checkHang(e *exchange, c *upstream.Conn, w *reach.Watch) {
	giveUp, ok := x.attempts[e]
	if !ok || e.conn != c || !c.Instance().IsOutOfReach() {
		return
	}
	now, service := time.Now(), c.Instance().Entry().Service
	isCut := x.opts.Table.IsCut(service)
	silent := c.SilentFor(now, false)
	if all := c.SilentFor(now, true); isCut || all > reach.HangTime { // the whole service is silent
		silent = all
	}
	hang := reach.Hang{Silent: silent, IsStream: e.route.Kind == config.Stream, IsCut: isCut, IsRefused: isCut && x.opts.Table.IsRefusing(service)}
	since, last := x.opts.Table.Answers(service)
	hang.Answered = w.Answered(now, silent, since, last)
	if hang.IsOver() && (!hang.IsUnproven() || e.helpers().MayServe(now, service)) {
		giveUp(errCutOff)
		return
	}
	time.AfterFunc(hangPollInterval, func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		x.checkHang(e, c, w)
	})
}
