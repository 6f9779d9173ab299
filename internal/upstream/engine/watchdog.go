package engine

import (
	"context"
	"time"

	"hickorypath/internal/core/kind"
)

// startWatchdog starts the timer that checks the stream for idleness.
func (s *Stream) startWatchdog() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.backoff = 1
	s.timer = time.AfterFunc(s.probeDelay(), s.checkIdle)
}

func (s *Stream) stopWatchdog() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer != nil {
		s.timer.Stop()
		s.timer = nil
	}
}

// resetTimer restarts the timer unless the watchdog was stopped.
func (s *Stream) resetTimer(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer != nil {
		s.timer.Reset(d)
	}
}

// probeDelay returns how long the stream may be idle before the engine is probed: as long as the engine's
// past latencies explain, times the backoff.
func (s *Stream) probeDelay() time.Duration {
	o := s.client.options
	if s.Offset() == s.call.ResumeOffset {
		return max(o.MinFirstProbeDelay, s.client.history.firstLimit(s.addr)) * s.backoff
	}
	return max(o.MinProbeDelay, s.client.history.gapLimit(s.addr)) * s.backoff
}

// checkIdle runs in the timer's goroutine. It probes the engine when the stream has been idle for
// probeDelay, and aborts the stream when a second probe confirms a fault.
func (s *Stream) checkIdle() {
	last := s.lastEvent.Load()
	idle := s.idleTime(last)
	if remaining := s.probeDelay() - idle; remaining > 0 {
		s.suspect = false
		s.resetTimer(remaining)
		return
	}
	offset, known, err := s.client.probe(s.ctx, s.addr, s.call.AttemptID)
	if s.lastEvent.Load() != last || s.ctx.Err() != nil {
		s.backoff, s.suspect = 1, false
		s.resetTimer(s.probeDelay())
		return
	}
	cause := s.diagnose(offset, known, err)
	switch {
	case cause != nil && !s.suspect:
		s.suspect = true
		s.resetTimer(recheckDelay)
		return
	case cause != nil:
		s.abort(cause)
		return
	}
	s.suspect = false
	s.backoff *= backoffFactor
	s.resetTimer(max(s.probeDelay()-s.idleTime(last), s.client.options.ControlTimeout))
}

const (
	backoffFactor = 2
	recheckDelay  = 50 * time.Millisecond // time for events to arrive that were in flight during the first probe
)

func (s *Stream) idleTime(last int64) time.Duration {
	return s.client.options.Clock.Boot() - time.Duration(last)
}

// diagnose returns the fault of an idle stream, given the result of a probe, or nil if the stream may
// continue.
func (s *Stream) diagnose(offset int, known bool, err error) *kind.Error {
	idle := s.idleTime(s.lastEvent.Load()).Round(time.Millisecond)
	started := s.Offset() > s.call.ResumeOffset
	switch {
	case err != nil && s.backoff == 1:
		return nil
	case err != nil:
		return kind.Wrap(err, kind.Lost, "engine %s answers neither the stream nor probes", s.addr)
	case !known && (!s.call.Stream || idle < s.noProgressLimit(started)):
		return nil
	case !known:
		return kind.New(kind.UpstreamStalled, "engine %s answers on a new connection, the stream is quiet for %s", s.addr, idle)
	case offset < 0:
		return kind.New(kind.UpstreamStalled, "engine %s does not know the attempt after %s", s.addr, idle)
	case !s.call.Stream:
		return s.diagnoseUnstreamed(offset, idle)
	case offset > s.Offset():
		return kind.New(kind.UpstreamStalled, "engine %s is at offset %d, the stream is quiet at %d", s.addr, offset, s.Offset())
	case idle >= s.client.options.StallTimeout && started:
		return kind.New(kind.UpstreamStalled, "engine %s has stalled for %s", s.addr, idle)
	}
	return nil
}

// diagnoseUnstreamed does the same as diagnose for an answer that is not streamed. Nothing of such an
// answer arrives before its end, so the engine counts as stalled when it has produced no further token
// for StallTimeout.
func (s *Stream) diagnoseUnstreamed(offset int, idle time.Duration) *kind.Error {
	if offset != s.probedOffset {
		s.probedOffset, s.probedIdle = offset, idle
		return nil
	}
	if offset > 0 && idle-s.probedIdle >= s.client.options.StallTimeout {
		return kind.New(kind.UpstreamStalled, "engine %s has been at offset %d for %s", s.addr, offset, idle-s.probedIdle)
	}
	return nil
}

// noProgressLimit returns the idle time after which a connection counts as dead if the engine does not
// report how many tokens it has produced for an attempt.
func (s *Stream) noProgressLimit(started bool) time.Duration {
	o := s.client.options
	if !started {
		return noProgressFirstFactor * max(o.StallTimeout, s.client.history.firstLimit(s.addr))
	}
	return min(o.StallTimeout, noProgressGapFactor*max(o.MinProbeDelay, s.client.history.gapLimit(s.addr)))
}

const (
	noProgressFirstFactor = 3
	noProgressGapFactor   = 8
)

// abort ends the stream: the read in progress fails and Next returns cause. If the stream was silent, abort
// also cancels the attempt at the engine.
func (s *Stream) abort(cause *kind.Error) {
	s.abortErr.CompareAndSwap(nil, cause)
	s.client.counters.silent.Add(1)
	s.cancel()
	if cause.Kind() == kind.UpstreamStalled {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(s.parent), s.client.options.ControlTimeout)
		defer cancel()
		_ = s.client.Cancel(ctx, s.addr, s.call.AttemptID)
	}
}
