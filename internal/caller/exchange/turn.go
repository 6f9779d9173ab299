package exchange

import (
	"context"
	"slices"
	"time"

	"github.com/samber/lo"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/policy/suspect"
	"hickorypath/internal/upstream/dispatch"
)

// Times of a suspect's wait for its turn.
const (
	turnWait = 30 * time.Second
	turnPoll = 25 * time.Millisecond
)

// turn waits until a request may be sent. A suspect gets the turn in which it runs, any other request a
// zero one at once.
func (s *Session) turn(ctx context.Context, p suspect.Fingerprint, avoid []string) (suspect.Turn, error) {
	deps := s.runner.deps
	end := deps.Clock.Now().Add(turnWait)
	var list []string
	candidates := func() []string {
		list = s.candidates(avoid)
		return list
	}
	var t suspect.Turn
	for {
		now := deps.Clock.Now()
		next, ready, err := deps.Suspects.Await(now, p, t, candidates)
		if ready || kind.Of(err) == kind.Quarantined {
			return next, err
		}
		if err != nil && len(list) == 0 {
			return suspect.Turn{}, err
		}
		t = next
		if now.After(end) {
			deps.Suspects.Leave(deps.Clock.Now(), t)
			return suspect.Turn{}, kind.New(kind.Unavailable, "the request got no turn after a crash within %s", turnWait)
		}
		if err := sleep(ctx, turnPoll); err != nil {
			deps.Suspects.Leave(deps.Clock.Now(), t)
			return suspect.Turn{}, kind.Wrap(err, kind.Canceled, "the caller went away while the request waited").WithRan(kind.RanNo)
		}
	}
}

// candidates returns the upstreams on which a suspect may be tried, durable ones if there are any.
func (s *Session) candidates(avoid []string) []string {
	up := lo.Filter(s.pool.Targets(), func(t dispatch.Target, _ int) bool {
		return !t.Draining() && !t.Down() && !slices.Contains(avoid, t.ID())
	})
	if durable := lo.Reject(up, func(t dispatch.Target, _ int) bool { return t.Reclaimable() }); len(durable) > 0 {
		up = durable
	}
	return lo.Map(up, func(t dispatch.Target, _ int) string { return t.ID() })
}
