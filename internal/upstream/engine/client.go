// Package engine is the HTTP client for model engines: chat completions with and without streaming, load
// reports, prefix cache events and cancellation. Each attempt has an id that the engine must echo in its
// answer. When a stream is idle for longer than the engine's past latencies explain, the client probes the
// engine on a new connection.
package engine

import (
	"bytes"
	"cmp"
	"context"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"hickorypath/internal/core/clock"
	"hickorypath/internal/core/kind"
	"hickorypath/internal/policy/advisory"
	"hickorypath/internal/upstream/httpclient"
)

// Options holds the dependencies and timeouts of a Client. Clock is required; the other fields have defaults.
type Options struct {
	Clock clock.Clock
	Dial  httpclient.DialFunc
	// ControlDial opens the connections for probes and cancellations; by default Dial does.
	ControlDial httpclient.DialFunc
	Log         *zap.Logger

	MinProbeDelay      time.Duration // minimum idle time between two events before the engine is probed
	MinFirstProbeDelay time.Duration // minimum wait for the first event before the engine is probed
	StallTimeout       time.Duration // maximum idle time of a stream whose engine answers probes
	ControlTimeout     time.Duration // timeout of a probe and of the other control calls
	MaxBody            int64         // maximum size of an answer that is not streamed, in bytes
}

const idleTimeout = 30 * time.Second

func (o Options) withDefaults() Options {
	if o.Dial == nil {
		o.Dial = httpclient.NewDialFunc()
	}
	if o.ControlDial == nil {
		o.ControlDial = o.Dial
	}
	o.Log = cmp.Or(o.Log, zap.NewNop())
	o.MinProbeDelay = cmp.Or(o.MinProbeDelay, 300*time.Millisecond)
	o.MinFirstProbeDelay = cmp.Or(o.MinFirstProbeDelay, time.Second)
	o.StallTimeout = cmp.Or(o.StallTimeout, 10*time.Second)
	o.ControlTimeout = cmp.Or(o.ControlTimeout, 500*time.Millisecond)
	o.MaxBody = cmp.Or(o.MaxBody, defaultMaxBody)
	return o
}

// Client calls engines by address. It is safe for concurrent use.
type Client struct {
	options  Options
	pooled   *httpclient.Transport // reuses connections
	unpooled *httpclient.Transport // opens a connection for each call
	control  *httpclient.Transport // opens a connection for each probe or cancellation
	history  *history
	counters counters
}

// New returns a Client for the given options.
func New(o Options) *Client {
	o = o.withDefaults()
	return &Client{
		options:  o,
		pooled:   httpclient.NewTransport(o.Dial, idleTimeout, false),
		unpooled: httpclient.NewTransport(o.Dial, idleTimeout, true),
		control:  httpclient.NewTransport(o.ControlDial, idleTimeout, true),
		history:  newHistory(),
	}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
	c.unpooled.CloseIdleConnections()
	c.control.CloseIdleConnections()
}

// Call describes one attempt of a chat completion.
type Call struct {
	AttemptID      string      // the engine must echo it
	Body           []byte      // JSON body
	Header         http.Header // the caller's headers; only those in the allow-list are forwarded
	CallerKey      string      // a header value that contains this key is not forwarded
	CacheSalt      string      // keeps the cached prefixes of different customers apart
	Stream         bool        // Body asks for a streamed answer
	NewConnection  bool        // do not reuse a pooled connection
	Priority       int         // 0 is the highest
	ResumeOffset   int         // output tokens already received; the answer resumes after them
	PriorAttemptID string      // the attempt that this one resumes
	IsBegun        bool        // the caller has got events of an engine of version Version, which only engines of that version continue
	Version        string      // software version that began the answer, empty if the engine stated none

	// OnAdvisory receives what the engine states about itself in its answer; it may be nil.
	OnAdvisory func(advisory.Statement)
	// BeforeSend is called when the attempt has its connection. If it returns an error, nothing is sent, and that is the error of the
	// call. It may be nil.
	BeforeSend func() error
}

// Chat sends the call and returns the answer as a Stream. Errors have kind Unavailable or Rejected (the
// engine did not run the request), Invalid (the same if the answer echoes the attempt id or states it),
// Lost, UpstreamStalled, ResponseMismatch, Failed, Timeout or Canceled.
func (c *Client) Chat(ctx context.Context, addr string, call Call) (*Stream, error) {
	s := c.newStream(ctx, addr, call)
	req, err := s.newRequest(call)
	if err != nil {
		s.Close()
		return nil, kind.Wrap(err, kind.Internal, "request to engine %s", addr).WithRan(kind.RanNo)
	}
	s.startWatchdog()
	res, err := s.account.RoundTrip(s.ctx, c.transport(call.NewConnection), req, s.recordLate) //nolint:bodyclose // Stream.Close closes it
	if err != nil {
		err = s.classifyError(err)
		s.Close()
		return nil, err
	}
	s.setResponse(res)
	if err := s.checkResponse(); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (c *Client) transport(newConnection bool) *httpclient.Transport {
	if newConnection {
		return c.unpooled
	}
	return c.pooled
}

func (s *Stream) newRequest(call Call) (*http.Request, error) {
	s.account.SetBeforeSend(call.BeforeSend)
	url := "http://" + s.addr + "/v1/chat/completions"
	req, err := http.NewRequestWithContext(s.ctx, http.MethodPost, url, bytes.NewReader(call.Body))
	if err != nil {
		return nil, err
	}
	req.Header = chatHeader(call)
	return req, nil
}

// chatHeader returns all headers of the request. It drops Idempotency-Key because net/http retries
// requests that have this header.
func chatHeader(call Call) http.Header {
	h := httpclient.ForwardHeaders(call.Header, call.CallerKey)
	h.Del("Idempotency-Key")
	h.Del("Accept")
	h.Set("Content-Type", "application/json")
	h.Set("User-Agent", userAgent)
	h.Set(httpclient.HeaderRequestID, call.AttemptID)
	h.Set(httpclient.HeaderPriority, strconv.Itoa(call.Priority))
	if call.CacheSalt != "" {
		h.Set(httpclient.HeaderCacheSalt, call.CacheSalt)
	}
	if call.ResumeOffset > 0 {
		h.Set(httpclient.HeaderOffset, strconv.Itoa(call.ResumeOffset))
	}
	if call.PriorAttemptID != "" {
		h.Set(httpclient.HeaderPriorID, call.PriorAttemptID)
	}
	return h
}
