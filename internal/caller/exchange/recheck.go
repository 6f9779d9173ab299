package exchange

import (
	"errors"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/policy/suspect"
	"hickorypath/internal/upstream/dispatch"
)

// errSuperseded ends an attempt that has sent nothing, since its upstream does not take it any more.
var errSuperseded = errors.New("the upstream takes no requests any more")

// maxSuperseded bounds the attempts of a request that end with errSuperseded.
const maxSuperseded = 12

// recheck returns an error if the attempt of a grant may not be sent now. Time has passed since its upstream was picked, in which it
// waited for a connection. The claim comes last, since it must be valid when the request is sent.
func (s *Session) recheck(g dispatch.Grant, p suspect.Fingerprint, onTrial bool) error {
	isSuspect, err := s.runner.deps.Suspects.Check(s.runner.deps.Clock.Now(), p)
	if err != nil {
		return err
	}
	if isSuspect && !onTrial || !s.pool.MayStillSend(g) {
		return kind.Wrap(errSuperseded, kind.Unavailable, "%s no longer takes the request", g.Target().ID()).WithRan(kind.RanNo)
	}
	return s.checkClaim()
}

// mayPickAgain reports whether an error ended an attempt before anything was sent, so that the request gets another upstream.
func (s *Session) mayPickAgain(err error) bool {
	if !errors.Is(err, errSuperseded) || s.superseded >= maxSuperseded {
		return false
	}
	s.superseded++
	return true
}
