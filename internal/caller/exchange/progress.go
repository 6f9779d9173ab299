package exchange

import (
	"time"

	"hickorypath/internal/core/kind"
)

// Progress is how far the stream of a chat completion has come on a host that is cut off from the upstreams. Another host takes the stream up
// there.
type Progress struct {
	Tokens    int    // output tokens that the caller has got; negative if that could not be read
	Version   string // software version of the engine that sent them, empty if it stated none
	AttemptID string // the attempt to resume
}

// Progress returns how far the stream of a chat completion has come, for another host. ok is false if it cannot be taken up elsewhere: it
// has not begun, has not failed by a cut, or may not run again.
func (s *Session) Progress() (p Progress, ok bool) { return s.progress, s.progress.Tokens > 0 }

// TimeLeft returns the time until the response must be complete.
func (s *Session) TimeLeft() time.Duration { return s.deadline().Sub(s.runner.deps.Clock.Now()) }

// mayContinueElsewhere reports whether another host may take up the stream, whose last attempt has failed with err.
func (c *chat) mayContinueElsewhere(err error) bool {
	if err == nil || c.deliveredTokens == 0 || !c.body.IsStream() || !c.route.Repeatable() || c.ctx.Err() != nil || !c.IsOutOfReach() {
		return false
	}
	switch kind.Of(err) {
	case kind.Unavailable, kind.Lost, kind.UpstreamStalled:
		return true
	default:
		return false
	}
}

// takeUp continues the stream that another host has begun.
func (c *chat) takeUp(p Progress) {
	if p.Tokens > 0 {
		c.deliveredTokens, c.version, c.priorAttemptID, c.isBegun = p.Tokens, p.Version, p.AttemptID, true
	}
}
