package exchange

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"hickorypath/internal/caller/intake"
	"hickorypath/internal/core/kind"
	"hickorypath/internal/policy/pool"
	"hickorypath/internal/policy/retry"
	"hickorypath/internal/policy/suspect"
	"hickorypath/internal/upstream/dispatch"
	"hickorypath/internal/upstream/service"
)

// Sizes of calls to plain services, in bytes.
const (
	maxBufferedBody  = 256 << 10 // a longer request body is streamed and cannot be sent again
	maxStoredOutcome = 256 << 10 // a longer response is not stored for resends
	noTokens         = 0
)

// ServiceCall is a call to a plain service.
type ServiceCall struct {
	RawQuery   string // as received, not decoded
	Header     http.Header
	Body       io.Reader
	BodyLength int64 // -1 if unknown
}

// RespondFunc receives the response of a plain service on its way to the caller.
type RespondFunc func(status int, header http.Header, body io.Reader) error

// forward is the state of one call to a plain service over all its attempts.
type forward struct {
	*Session
	call           ServiceCall
	buffer         []byte // the start of the request body, all of it if buffered is set
	buffered       bool
	fingerprint    suspect.Fingerprint
	respond        RespondFunc
	ran            kind.Ran
	excluded       []string
	attempts       int
	responding     bool          // the response was passed to the caller, at least in part
	timeToResponse time.Duration // of the current attempt, from sending it to the response header
}

// Forward runs a call to a plain service until it is answered or has failed for good.
func (s *Session) Forward(call ServiceCall, respond RespondFunc) error {
	f := &forward{Session: s, call: call, respond: respond, ran: kind.RanNo}
	if err := f.bufferBody(); err != nil {
		return err
	}
	f.fingerprint = suspect.NewFingerprint(s.customer, s.route.Name()+" "+s.req.Method+" "+s.req.Path+"?"+call.RawQuery, f.buffer)
	done, err := s.runner.deps.Admit(s.customer, s.class.Name(), noTokens)
	if err != nil {
		return err
	}
	defer done(noTokens)
	ctx, cancel := s.deadlineContext()
	defer cancel()
	err = s.runWithClaim(ctx, fmt.Sprintf("%016x", uint64(f.fingerprint)), func() error { return f.run(ctx) })
	if err == nil && s.storedOutcome != nil {
		err = f.sendStored(s.storedOutcome)
	}
	s.summary.Attempts = f.attempts
	if err == nil && s.storedOutcome == nil {
		s.bill(0, 0, 0)
	}
	return err
}

// bufferBody checks the length of the request body and buffers its start. A body that fits into the buffer can be
// sent again.
func (f *forward) bufferBody() error {
	limit := f.BodyLimit()
	if f.call.BodyLength > limit {
		return kind.New(kind.TooLarge, "the body has %d bytes and the route takes %d", f.call.BodyLength, limit)
	}
	head, err := io.ReadAll(io.LimitReader(f.call.Body, min(maxBufferedBody, limit)+1))
	if err != nil {
		return intake.ReadError(err)
	}
	if int64(len(head)) > limit {
		return kind.New(kind.TooLarge, "the body has more than the %d bytes that the route takes", limit)
	}
	f.buffer = head
	f.buffered = len(head) <= maxBufferedBody
	return nil
}

// bodyReader returns the request body for one attempt. A body that does not fit into the buffer can be read only
// once.
func (f *forward) bodyReader() io.Reader {
	if f.buffered {
		return bytes.NewReader(f.buffer)
	}
	rest := &limitedReader{r: f.call.Body, left: f.BodyLimit() - int64(len(f.buffer))}
	return io.MultiReader(bytes.NewReader(f.buffer), rest)
}

// bodyLength returns the length of the request body in bytes, -1 if unknown.
func (f *forward) bodyLength() int64 {
	if f.buffered {
		return int64(len(f.buffer))
	}
	return f.call.BodyLength
}

// run makes attempts until the call is answered, or until the retry budget or the pool allows no further one.
func (f *forward) run(ctx context.Context) error {
	budget := f.runner.deps.RetryBudgets
	budget.RecordRequest(f.pool.Name())
	for {
		before := f.attempts
		err := f.attempt(ctx)
		if err == nil {
			return nil
		}
		err = f.replaceCause(ctx, err)
		if f.buffered && f.mayPickAgain(err) {
			continue
		}
		if f.attempts == before || !f.responding && f.MayRelay(err) {
			return refusalError(err, f.ran)
		}
		decision := budget.Decide(f.pool.Name(), f.runner.deps.Clock.Now(), retry.Attempt{
			Err:        err,
			Ran:        f.ran,
			Repeatable: f.route.Repeatable(),
			Count:      f.attempts,
			Deadline:   f.deadline(),
			Expected:   budget.FirstTokenTimeMedian(f.pool.Name()),
		})
		f.ran = decision.Ran
		if decision.AvoidUpstream && f.summary.Upstream != "" {
			f.excluded = append(f.excluded, f.summary.Upstream)
		}
		if decision.Action == retry.Stop || f.responding || (!f.buffered && f.attempts > 0) || !f.pool.HasAlternative(f.excluded) {
			return kind.From(err).WithRan(decision.Ran)
		}
		if err := sleep(ctx, decision.Delay); err != nil {
			return f.replaceCause(ctx, err)
		}
	}
}

// attempt waits for a slot on an upstream and runs the call there once.
func (f *forward) attempt(ctx context.Context) error {
	turn, err := f.awaitTurn(ctx, f.fingerprint, f.excluded)
	if err != nil {
		return err
	}
	grant, err := f.acquirePool(ctx, pool.Request{
		Customer:          f.customer,
		Class:             f.class.Name(),
		Weight:            f.weight,
		Deadline:          f.deadline(),
		ExcludedUpstreams: f.excluded,
		RequiredUpstream:  turn.Upstream,
		Fingerprint:       uint64(f.fingerprint),
		IsRetry:           f.attempts > 0,
	})
	if err != nil {
		f.runner.deps.Suspects.LeaveQueue(f.runner.deps.Clock.Now(), turn)
		return err
	}
	f.attempts++
	f.summary.Upstream = grant.Target().ID()
	run := f.runner.deps.Suspects.Start(f.runner.deps.Clock.Now(), f.fingerprint, f.summary.Upstream, RunCallbacks{})
	f.runner.deps.Suspects.ScheduleTrialPass(f.runner.deps.Clock.Now, run)
	f.timeToResponse = 0
	err = f.send(ctx, grant, turn.Upstream != "")
	if isUnsent(err) {
		f.finishRun(ctx, grant, run, err)
		f.pool.Cancel(grant)
		return err
	}
	f.runner.recordGivenUp(f.pool.Name(), grant.Target(), err)
	result := pool.Result{Failed: err != nil && ctx.Err() == nil, Crashed: f.finishRun(ctx, grant, run, err)}
	if err == nil {
		result.TimeToFirstToken = f.timeToResponse
		f.runner.deps.RetryBudgets.RecordFirstTokenTime(f.pool.Name(), f.timeToResponse)
	}
	f.pool.Release(grant, result)
	return err
}

// send makes one attempt and passes its response to the caller.
func (f *forward) send(ctx context.Context, grant dispatch.Grant, onTrial bool) error {
	target := grant.Target()
	if err := f.checkClaim(); err != nil {
		return err
	}
	sent := f.runner.deps.Clock.Now()
	res, err := f.runner.deps.Services.Do(ctx, target.Addr(), service.Call{
		AttemptID:  fmt.Sprintf("%s-%d", f.req.ID, f.attempts),
		Method:     f.req.Method,
		Path:       f.req.Path,
		Query:      f.call.RawQuery,
		Header:     f.call.Header,
		CallerKey:  f.req.Bearer,
		Body:       f.bodyReader(),
		BodyLength: f.bodyLength(),
		Repeatable: f.route.Repeatable() && f.buffered,
		OnAdvisory: f.runner.onAdvisory(target),
		BeforeSend: func() error { return f.recheck(grant, f.fingerprint, onTrial) },
	})
	if err != nil {
		return err
	}
	defer res.Body.Close()
	now := f.runner.deps.Clock.Now()
	f.summary.TimeToFirstToken, f.timeToResponse = now.Sub(f.arrived), now.Sub(sent)
	body, err := f.storeOutcome(ctx, res)
	if err != nil {
		return err
	}
	f.responding = true
	if err := f.respond(res.StatusCode, res.Header, body); err != nil {
		return kind.From(err).WithRan(kind.RanYes)
	}
	return nil
}

// storeOutcome stores the response of a call that runs under a claim before the caller receives it, so that a
// resend gets the same response. It returns the body to pass on. A body longer than maxStoredOutcome is not stored.
func (f *forward) storeOutcome(ctx context.Context, res *http.Response) (io.Reader, error) {
	if f.claim == nil {
		return res.Body, nil
	}
	head, err := io.ReadAll(io.LimitReader(res.Body, maxStoredOutcome+1))
	if err != nil {
		return nil, kind.From(err).WithRan(kind.RanYes)
	}
	if len(head) > maxStoredOutcome {
		return io.MultiReader(bytes.NewReader(head), res.Body), nil
	}
	f.finishClaim(ctx, Outcome{Status: res.StatusCode, Header: res.Header, Body: head})
	return bytes.NewReader(head), nil
}

// sendStored answers with the stored response of an earlier run.
func (f *forward) sendStored(o *Outcome) error {
	if kind.PromisesNotRun(o.Status) { // an earlier version stored responses that did not state it
		return kind.New(kind.Failed, "the service answered %d in the earlier run and did not state that it has not run the call", o.Status).WithRan(kind.RanMaybe)
	}
	return f.respond(o.Status, o.Header, bytes.NewReader(o.Body))
}

// limitedReader fails with kind TooLarge as soon as more than left bytes were read.
type limitedReader struct {
	r    io.Reader
	left int64
}

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	n, err := l.r.Read(p)
	l.left -= int64(n)
	if l.left < 0 {
		return 0, kind.New(kind.TooLarge, "the body has more bytes than the route takes").WithRan(kind.RanMaybe)
	}
	return n, err
}
