// Package service is the HTTP client for plain services. A call that may not be repeated is not sent on a
// connection that has been idle for long, since such a connection may be dead. Each error states whether the
// service may have run the call.
package service

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"hickorypath/internal/core/bodyend"
	"hickorypath/internal/core/kind"
	"hickorypath/internal/policy/advisory"
	"hickorypath/internal/upstream/httpclient"
)

// Options holds the dependencies and timeouts of a Client. Zero values get defaults.
type Options struct {
	Dial        httpclient.DialFunc
	IdleTimeout time.Duration // how long a connection may be idle before a repeatable call
}

const (
	defaultIdleTimeout       = 5 * time.Second
	nonRepeatableIdleTimeout = 1 * time.Second // how long a connection may be idle before a call that may not be repeated
)

// Client calls services by address. It is safe for concurrent use.
type Client struct {
	repeatable    *httpclient.Transport
	nonRepeatable *httpclient.Transport // reuses only connections that have been idle for less than a second
	unpooled      *httpclient.Transport // opens a connection for each call
	crossed       atomic.Int64
}

// New returns a Client for the given options.
func New(o Options) *Client {
	if o.Dial == nil {
		o.Dial = httpclient.NewDialFunc()
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = defaultIdleTimeout
	}
	return &Client{
		repeatable:    httpclient.NewTransport(o.Dial, o.IdleTimeout, false),
		nonRepeatable: httpclient.NewTransport(o.Dial, nonRepeatableIdleTimeout, false),
		unpooled:      httpclient.NewTransport(o.Dial, nonRepeatableIdleTimeout, true),
	}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.repeatable.CloseIdleConnections()
	c.nonRepeatable.CloseIdleConnections()
	c.unpooled.CloseIdleConnections()
}

// Crossed returns the number of answers that were, or may have been, those of other attempts.
func (c *Client) Crossed() int64 { return c.crossed.Load() }

// Call describes one attempt of a call to a service.
type Call struct {
	AttemptID     string // sent to the service, which may echo it
	Method        string
	Path          string
	Query         string      // raw, without the question mark
	Header        http.Header // the caller's headers; only those in the allow-list are forwarded
	CallerKey     string      // no header value or query parameter that contains this key is forwarded
	Body          io.Reader
	BodyLength    int64 // length of Body in bytes, -1 if unknown
	Repeatable    bool  // the caller may send the same call again
	NewConnection bool  // do not reuse a pooled connection

	// OnAdvisory receives what the service states about itself in its response; it may be nil.
	OnAdvisory func(advisory.Statement)
	// BeforeSend is called when the attempt has its connection. If it returns an error, nothing is sent, and that is the error of the
	// call. It may be nil.
	BeforeSend func() error
}

// Do sends the call once and returns the response, whose body the caller must close. Errors have kind
// Unavailable or Rejected (the service did not run the call), Lost, ResponseMismatch, Timeout or Canceled, or
// Invalid if the request cannot be built.
func (c *Client) Do(ctx context.Context, addr string, call Call) (*http.Response, error) {
	a := &attempt{client: c, addr: addr, call: call, parent: ctx}
	a.ctx, a.cancel = context.WithCancel(ctx)
	req, err := a.newRequest()
	if err != nil {
		a.cancel()
		return nil, kind.Wrap(err, kind.Invalid, "request to service %s", addr)
	}
	res, err := a.account.RoundTrip(a.ctx, c.transport(call), req, a.recordLate)
	if err != nil {
		err = a.classifyError(err)
		a.cancel()
		return nil, err
	}
	if err := a.checkResponse(res); err != nil {
		a.cancel()
		_ = res.Body.Close()
		return nil, err
	}
	res.Body = &responseBody{ReadCloser: res.Body, attempt: a, end: newTracker(res)}
	return res, nil
}

func (c *Client) transport(call Call) *httpclient.Transport {
	switch {
	case call.NewConnection:
		return c.unpooled
	case call.Repeatable:
		return c.repeatable
	}
	return c.nonRepeatable
}

// attempt is a call in progress.
type attempt struct {
	client  *Client
	addr    string
	call    Call
	parent  context.Context
	ctx     context.Context
	cancel  context.CancelFunc
	account httpclient.SendTracker
}

func (a *attempt) newRequest() (*http.Request, error) {
	a.account.SetBeforeSend(a.call.BeforeSend)
	target := "http://" + a.addr + a.call.Path
	if q := httpclient.ForwardQuery(a.call.Query, a.call.CallerKey); q != "" {
		target += "?" + q
	}
	req, err := http.NewRequestWithContext(a.ctx, a.call.Method, target, nonReplayable(a.call.Body))
	if err != nil {
		return nil, err
	}
	req.ContentLength = a.call.BodyLength
	if a.call.Body == nil {
		req.ContentLength = 0
	}
	req.Header = httpclient.ForwardHeaders(a.call.Header, a.call.CallerKey)
	req.Header.Set("User-Agent", "hickorypath")
	req.Header.Set(httpclient.HeaderRequestID, a.call.AttemptID)
	return req, nil
}

// nonReplayable wraps a request body, or an empty body if r is nil, so that net/http sees nothing but its Read
// method. net/http never retries a request whose body cannot be read again.
func nonReplayable(r io.Reader) io.Reader {
	if r == nil {
		r = http.NoBody
	}
	return readerOnly{r}
}

type readerOnly struct{ io.Reader }

// recordLate records what the service states in a response that came after the deadline.
func (a *attempt) recordLate(res *http.Response) {
	if a.call.OnAdvisory != nil && a.account.Concerns(res, a.call.AttemptID) {
		a.call.OnAdvisory(httpclient.Statement(res.StatusCode, res.Header))
	}
}

// checkResponse returns an error if the response is, or may be, that of another attempt, if it states that the call was not run, or if its
// status promises so and the service does not state it.
func (a *attempt) checkResponse(res *http.Response) error {
	if !a.account.Concerns(res, a.call.AttemptID) {
		a.client.crossed.Add(1)
		a.account.CloseConn()
		return kind.New(kind.ResponseMismatch, "service %s answered for another attempt", a.addr)
	}
	if a.call.OnAdvisory != nil {
		a.call.OnAdvisory(httpclient.Statement(res.StatusCode, res.Header))
	}
	promises := kind.PromisesNotRun(res.StatusCode)
	switch notRun := res.Header.Get(httpclient.HeaderRan) == httpclient.RanNo; {
	case notRun && (promises || res.StatusCode >= http.StatusInternalServerError):
		return kind.New(kind.Rejected, "service %s answered %d without running the call", a.addr, res.StatusCode)
	case promises && !notRun:
		return kind.New(kind.Failed, "service %s answered %d and did not state that it has not run the call", a.addr, res.StatusCode).WithRan(kind.RanMaybe)
	}
	return nil
}

func (a *attempt) ranStatus() kind.Ran {
	if a.account.Sent() {
		return kind.RanMaybe
	}
	return kind.RanNo
}

// classifyError converts a transport error to an error with a kind.
func (a *attempt) classifyError(err error) error {
	if refusal := a.account.Refusal(); refusal != nil && !a.account.Sent() {
		return refusal
	}
	switch {
	case errors.Is(a.parent.Err(), context.DeadlineExceeded):
		return kind.Wrap(err, kind.Timeout, "service %s did not answer in time", a.addr).WithRan(a.ranStatus())
	case a.parent.Err() != nil:
		return kind.Wrap(err, kind.Canceled, "call of service %s was canceled", a.addr).WithRan(a.ranStatus())
	case !a.account.Sent():
		return kind.Wrap(err, kind.Unavailable, "service %s cannot be reached", a.addr)
	}
	return kind.Wrap(err, kind.Lost, "connection to service %s failed", a.addr)
}

// newTracker returns a Tracker for the body of a response.
func newTracker(res *http.Response) *bodyend.Tracker {
	framed := res.ContentLength >= 0 || len(res.TransferEncoding) > 0 || res.Body == http.NoBody || res.StatusCode == http.StatusPartialContent
	return bodyend.New(res.Header.Get("Content-Type"), res.Header.Get("Content-Encoding"), framed)
}

// responseBody converts the read errors of a response body to errors with a kind. The end of a truncated body is an error.
type responseBody struct {
	io.ReadCloser
	attempt *attempt
	end     *bodyend.Tracker
}

func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	_, _ = b.end.Write(p[:n])
	if err == io.EOF && b.end.IsTruncated() {
		err = io.ErrUnexpectedEOF
	}
	if err != nil && err != io.EOF {
		err = b.attempt.classifyError(err)
	}
	return n, err
}

func (b *responseBody) Close() error {
	err := b.ReadCloser.Close()
	b.attempt.cancel()
	return err
}
