package exchange

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"hickorypath/internal/core/bodyend"
	"hickorypath/internal/core/kind"
	"hickorypath/internal/gateway/config"
	"hickorypath/internal/gateway/h1"
	"hickorypath/internal/gateway/relay"
	"hickorypath/internal/gateway/upstream"
	"hickorypath/internal/policy/advisory"
	"hickorypath/internal/policy/memory"
)

// attempt records one attempt of a request for the access log and the metrics.
type attempt struct {
	upstream     string
	helper       string         // host through which the request was sent; empty for none
	version      string         // software version of the upstream
	reportAge    time.Duration  // age of the load that the upstream last reported; negative if it never reported one
	tokensAhead  int            // unread prompt tokens known to be at the instance before this request
	cachedTokens int            // prompt tokens expected in the instance's cache, copied ones included
	limit        advisory.Limit // request rate that the upstream had named when the request was sent
	copySource   string         // instance from which the upstream was told to copy cached tokens; empty for none
	connected    time.Duration  // time until a connection was there
	sent         bool           // at least one byte was written, to an upstream
	arrivals     int            // at upstreams, as the host states through which it was sent; negative if it does not state it
	moved        bool           // another upstream answered, which has the address now
	pauseLeft    time.Duration  // what was left of a pause of the upstream when the first byte was written; 0 without a pause
	leaving      bool           // the response states that the upstream leaves
	pause        time.Duration  // for which the response asks the host to send nothing; 0 for none
	framing      string         // how the response is delimited; empty without a response
	unfinished   int            // bytes of the event in which a stream ended
	unsent       int            // bytes of the request that were not written when its response began
	lateResponse bool           // the connection is kept open after the deadline, for a late response
	silent       time.Duration  // for which nothing had arrived when errCutOff ended the attempt; 0 for other ends
	superseded   bool           // given up before anything was sent, since the upstream or the configuration had changed
	failed       bool
	result       kind.Kind
	duration     time.Duration
}

// try makes one attempt at an instance and releases the reservation. The error states whether the request may
// have run.
func (e *exchange) try(ctx context.Context, i *upstream.Instance, r *reservation) error {
	begin := e.x.opts.Now()
	a := attempt{upstream: i.ID(), version: i.Entry().Version, reportAge: -1, tokensAhead: r.tokensAhead, cachedTokens: r.cachedTokens, limit: i.Limit()}
	if r.copySource != nil {
		a.copySource = r.copySource.ID()
	}
	if l := i.Load(); !l.At.IsZero() {
		a.reportAge = begin.Sub(l.At)
	}
	ctx, end := e.startAttempt(ctx)
	err := e.send(ctx, i, &a, r)
	end()
	r.releaseAfter(err, &a)
	a.duration = e.x.opts.Now().Sub(begin)
	if a.superseded = errors.Is(err, errSuperseded); err != nil && !a.superseded {
		a.failed, a.result = true, kind.Of(err)
		if kind.From(err).Ran() != kind.RanNo {
			e.possibleRuns++
		}
	}
	e.attempts = append(e.attempts, a)
	return err
}

// send sends the request to an instance and relays the response to the client.
func (e *exchange) send(ctx context.Context, i *upstream.Instance, a *attempt, r *reservation) error {
	now := e.x.opts.Now()
	c, err := i.Acquire(ctx, now, e.route.IsRepeatable(), e.timeLeft())
	if errors.Is(err, upstream.ErrUnwanted) {
		return e.supersede(i)
	}
	if err != nil {
		if ctx.Err() == nil && !errors.Is(err, upstream.ErrNoTime) {
			i.RecordFailure(e.x.opts.Now())
		}
		return kind.Wrap(err, kind.Unavailable, "no connection to %s", i.ID())
	}
	e.setConn(c) // before the check, so that a cut is found by either
	defer e.setConn(nil)
	if err := e.recheck(i, r); err != nil {
		c.Return(e.x.opts.Now())
		return err
	}
	body := e.request.Body()
	head := e.x.opts.Codec.EncodeRequest(nil, &e.request.Request, len(body), e.forwardInfo(i, r.copySource))
	sentAt := e.x.opts.Now()
	a.connected, a.pauseLeft = sentAt.Sub(now), i.PausedFor(sentAt)
	defer c.WatchSilence(time.Duration(r.expectedDelayMs * float64(time.Millisecond)))()
	n, err := c.Send(head, body, e.deadline)
	if a.sent = n > 0; a.sent {
		e.arrive()
	}
	unsent := len(head) + len(body) - n
	isWhole := unsent == 0
	if hasResponse := isWhole || a.sent && c.HasResponse(e.deadline); !hasResponse {
		c.Close()
		if a.sent { // an upstream may begin before it has read the whole request
			return e.broken(ctx, i, err, false)
		}
		e.blame(ctx, i, err)
		return kind.Wrap(err, kind.Unavailable, "request not sent to %s", i.ID())
	}
	a.unsent = unsent
	err = e.receive(ctx, c, i, sentAt, a, r.firstEvent)
	if errors.Is(err, errCutOff) {
		a.silent = c.SilentFor(e.x.opts.Now(), false)
	}
	switch {
	case err == nil && isWhole:
		c.Release(e.x.opts.Now())
	case kind.Of(err) == kind.Timeout && a.framing == "" && c.Unbind():
		a.lateResponse = true
		go e.x.awaitLateResponse(c, i, sentAt, e.info.ID, string(e.request.Method()))
	default:
		c.Close()
	}
	if err == nil {
		e.recordComplete()
	}
	return err
}

// setConn sets the connection on which the current attempt is sent.
func (e *exchange) setConn(c *upstream.Conn) {
	e.x.mu.Lock()
	defer e.x.mu.Unlock()
	e.conn = c
	e.setMovable()
}

// forwardInfo returns the metadata that is sent with the request to instance i.
func (e *exchange) forwardInfo(i, source *upstream.Instance) ForwardInfo {
	s := ForwardInfo{Instance: i.ID(), TimeLeft: e.timeLeft(), Priority: -1, LastEventID: e.info.LastEventID}
	if e.customer != nil {
		s.Customer = e.customer.Name
	}
	if e.service.Engine != nil {
		s.Priority = min(e.rank(), lowestPriority)
	}
	if id := e.progress.lastID; id != "" {
		s.LastEventID = id
	}
	if source != nil {
		s.CopySource = source.Entry().Address
	}
	return s
}

// lowestPriority is the lowest priority that the inference engines support.
const lowestPriority = 9

// blame records a connection failure of an instance, unless the client's disconnect or the end of the request's
// time caused the error.
func (e *exchange) blame(ctx context.Context, i *upstream.Instance, err error) {
	if ctx.Err() == nil && !isTimeout(err) {
		i.RecordFailure(e.x.opts.Now())
	}
}

func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}

// receive reads the response of an instance and relays it to the client.
func (e *exchange) receive(ctx context.Context, c *upstream.Conn, i *upstream.Instance, sentAt time.Time, a *attempt, first func()) error {
	resp, body, err := c.Receive(e.request.Method())
	if err != nil {
		isStale := c.IsReused() && e.x.opts.Now().Sub(sentAt) < staleTime
		return e.broken(ctx, i, err, !isStale)
	}
	a.framing = resp.Framing()
	if e.helper != nil {
		a.arrivals = relay.ParseArrivals(&resp.Head)
		if refusal := relay.ParseRefusal(&resp.Head, e.helper.Name()); refusal != nil {
			return refusal
		}
		a.upstream = relay.ParseSource(&resp.Head).Upstream
	}
	answer := e.x.opts.Codec.DecodeResponse(resp)
	if !answer.concerns(e.info.ID, c.HasServed()) {
		return kind.New(kind.ResponseMismatch, "the response of %s has the id of another request, or none", i.ID())
	}
	a.leaving, a.pause = answer.Advisory.Leaving.IsStated(), answer.Advisory.Pause.Length()
	if e.helper == nil {
		e.x.recordStatements(i, sentAt, answer)
	} else if u := e.x.opts.Table.Get(a.upstream); u != nil {
		answer.Advisory.Pause = advisory.Pause{} // asked of the host in between
		e.x.recordStatements(u, sentAt, answer)
	}
	if e.helper == nil {
		if a.moved = answer.Misdirected; a.moved {
			e.recordMoved(i)
		} else {
			i.RecordAlive(e.x.opts.Now())
		}
	}
	if answer.NotExecuted {
		return kind.New(kind.Rejected, "%s did not run the request: status %d", i.ID(), resp.Status()).WithRetry(e.retryAfter(rejectedRetryAfter))
	}
	i.RecordSuccess()
	if e.helper != nil {
		e.x.opts.Table.RecordAnswer(e.service.Name)
	}
	if e.writer.IsStarted() && !e.progress.canContinueWith(resp) {
		return kind.New(kind.Lost, "%s did not continue the stream: status %d", i.ID(), resp.Status())
	}
	if e.route.Kind == config.Stream && resp.Status() < 300 && resp.HasBody() {
		if !answer.Signed {
			return kind.New(kind.Lost, "%s answered without a signature", i.ID())
		}
		return e.relayStream(ctx, resp, body, i, a, first)
	}
	return e.relayWhole(ctx, resp, answer, body, i)
}

// rejectedRetryAfter is the retry delay for a client whose request was rejected by every instance that it was
// sent to.
const rejectedRetryAfter = 500 * time.Millisecond

// broken returns the error for a response that did not arrive completely. Unless the client has left or the request ran
// out of time, it records the failure for the instance, and, with isCrash, that the request may have broken the instance.
func (e *exchange) broken(ctx context.Context, i *upstream.Instance, err error, isCrash bool) error {
	if errors.Is(context.Cause(ctx), errCutOff) {
		return kind.Wrap(errCutOff, kind.Lost, "request to %s was given up", i.ID())
	}
	if errors.Is(context.Cause(ctx), errPoison) {
		return kind.Wrap(errPoison, kind.Lost, "request to %s was given up", i.ID())
	}
	if ctx.Err() != nil {
		return kind.Wrap(err, kind.Canceled, "request to %s was canceled", i.ID())
	}
	if isTimeout(err) && e.timeLeft() <= 0 {
		return kind.Wrap(err, kind.Timeout, "no answer from %s in time", i.ID())
	}
	i.RecordFailure(e.x.opts.Now())
	isCrash = isCrash && e.helper == nil && !e.x.hasFallenOver(i) && !isTimeout(err) && !errors.IsAny(err, h1.ErrMalformed, h1.ErrHeadTooLarge)
	if isCrash && i.ReachesOthers() { // a cut breaks the connections to all upstreams
		e.recordCrash(i)
	}
	return kind.Wrap(err, kind.Lost, "connection to %s broke", i.ID())
}

// maxBufferedResponse bounds a response that is buffered until it is complete, in bytes.
const maxBufferedResponse = 4 << 20

// relayWhole buffers a response to its end before it relays it, so that the client never receives a truncated
// one.
func (e *exchange) relayWhole(ctx context.Context, resp *h1.Response, answer ResponseInfo, body *h1.Body, i *upstream.Instance) error {
	buf := newBuffer(e.x.opts.Memory, e.x.opts.Now)
	defer buf.release()
	err := buf.readAll(body, maxBufferedResponse)
	data := buf.data
	switch {
	case errors.Is(err, memory.ErrFull):
		return kind.Wrap(err, kind.Lost, "answer of %s exceeds %d bytes", i.ID(), len(data))
	case err != nil:
		return e.broken(ctx, i, err, true)
	case len(data) > maxBufferedResponse:
		return kind.New(kind.Lost, "answer of %s exceeds %d bytes", i.ID(), maxBufferedResponse)
	}
	if isBodyTruncated(resp, data) {
		return e.broken(ctx, i, io.ErrUnexpectedEOF, true)
	}
	if resp.Status() < 300 && !answer.Signed {
		return kind.New(kind.Lost, "%s answered without a signature", i.ID())
	}
	e.countStarted()
	if kind.PromisesNotRun(resp.Status()) {
		return kind.New(kind.Lost, "%s did not state that it has not run the request: status %d", i.ID(), resp.Status())
	}
	if resp.Status() >= 500 && e.mayRetryFailed() {
		return kind.New(kind.Failed, "%s failed the request: status %d", i.ID(), resp.Status())
	}
	e.recordFirstByte(resp.Status())
	e.describeSource(i)
	if err := e.writer.WriteResponse(resp, e.x.opts.Codec.KeepField, data); err != nil {
		return kind.Wrap(err, kind.Canceled, "response could not be written to the client")
	}
	return nil
}

// isBodyTruncated reports whether a body is truncated according to its content.
func isBodyTruncated(resp *h1.Response, data []byte) bool {
	framed := !resp.EndsWithConnection() || resp.Status() == http.StatusPartialContent
	t := bodyend.New(string(resp.Get("Content-Type")), string(resp.Get("Content-Encoding")), framed)
	_, _ = t.Write(data)
	return t.IsTruncated()
}

// countStarted reports once to OnStarted that an upstream started the request.
func (e *exchange) countStarted() {
	if e.helper == nil && e.possibleRuns == 0 && e.customer != nil && !e.progress.startCounted {
		e.progress.startCounted = true
		e.x.opts.OnStarted(e.customer.Name, e.service.Name)
	}
}

// recordFirstByte records the status and the time of the first response byte sent to the client; only the first
// call counts.
func (e *exchange) recordFirstByte(status int) {
	if e.status == 0 {
		e.status, e.firstByteAfter = status, e.x.opts.Now().Sub(e.arrived)
	}
}
