// Package relay sends the requests of callers through another host, while this one is cut off from the upstreams of their pool.
package relay

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"hickorypath/internal/caller/exchange"
	"hickorypath/internal/caller/reply"
	"hickorypath/internal/core/clock"
	"hickorypath/internal/core/kind"
	"hickorypath/internal/upstream/httpclient"
)

const (
	// maxTries is the number of hosts that are asked for one request, and maxRoomTries that for one that is refused here for want of room.
	maxTries, maxRoomTries = 4, 2
	// openTimeout bounds the opening of a stream to a host.
	openTimeout = 400 * time.Millisecond
	// watchInterval is how often a host that relays a request is looked up among those that are alive.
	watchInterval = 200 * time.Millisecond
	// unableTime is how long a host is not asked again for a pool that it did not reach either.
	unableTime = 500 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the time after which callers come back that no host can serve. It is drawn at random.
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = 4 * time.Second
	// maxRefusal is the size of a refusal that is read, in bytes.
	maxRefusal = 64 << 10
)

// Host is another host that is alive.
type Host struct{ ID, Zone string }

// Options are the dependencies of a Client.
type Options struct {
	Zone  string // of this host
	Hosts func() []Host
	Open  func(ctx context.Context, host string) (net.Conn, error) // opens a stream to a host
	Log   *zap.Logger
}

// Client sends requests through other hosts. It is safe for concurrent use.
type Client struct {
	opts Options

	mu     sync.Mutex
	unable map[hostPool]time.Time // until when a host is not asked for a pool
}

type hostPool struct{ host, pool string }

// New returns a Client.
func New(o Options) *Client { return &Client{opts: o, unable: map[hostPool]time.Time{}} }

// Request is a caller's request whose body was read.
type Request struct {
	*http.Request
	Body       []byte
	Pool       string
	Repeatable bool              // it may run more than once
	TimeLeft   time.Duration     // until the response must be complete
	NoWait     bool              // hosts that cannot run the request at once refuse it; see ServeNow
	Progress   exchange.Progress // of a stream that has begun; zero otherwise
}

// NewRequest returns the request of a session, with its body, as it stands now.
func NewRequest(r *http.Request, s *exchange.Session, body []byte) Request {
	progress, _ := s.Progress()
	return Request{Request: r, Body: body, Pool: s.Pool(), Repeatable: s.IsRepeatable(), TimeLeft: s.TimeLeft(), Progress: progress}
}

// Serve sends a request through other hosts, one after the other until one serves it, and writes the response. The error states
// whether the request ran; nothing was written then. Like an http.Handler it panics to abort a response that breaks off.
func (c *Client) Serve(w http.ResponseWriter, r Request) error {
	var last *kind.Error
	tried := make([]string, 0, maxTries)
	ran := kind.RanNo
	tries := maxTries
	if r.NoWait {
		tries = maxRoomTries
	}
	for range tries {
		host, ok := c.pick(r.Pool, tried)
		if !ok {
			break
		}
		tried = append(tried, host)
		res, err := c.try(r, host)
		if err == nil {
			defer res.Body.Close()
			c.respond(w, r, res)
			return nil
		}
		if last = kind.From(err); last.Ran() != kind.RanNo {
			ran = kind.RanMaybe
		}
		if r.Context().Err() != nil || ran != kind.RanNo && !r.Repeatable {
			return last.WithRan(ran)
		}
	}
	err := kind.New(kind.Unavailable, "no host reaches the upstreams of pool %s", r.Pool)
	if ran != kind.RanNo {
		err = kind.New(kind.Lost, "the host that ran the request was lost")
	}
	return err.WithRan(ran).WithRetry(minRetryAfter + rand.N(maxRetryAfter-minRetryAfter))
}

// ServeNow sends a request, which this host has refused, through hosts that can run it at once, like Serve. The error is the refusal if none
// of them could and the request did not run.
func (c *Client) ServeNow(w http.ResponseWriter, r Request, refusal error) error {
	r.NoWait = true
	err := c.Serve(w, r)
	if err != nil && kind.From(err).Ran() == kind.RanNo {
		return refusal
	}
	return err
}

// pick returns a host that may reach a pool: one of the own zone first, and then one of any other.
func (c *Client) pick(pool string, tried []string) (host string, ok bool) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	candidates := lo.Filter(c.opts.Hosts(), func(h Host, _ int) bool {
		return !slices.Contains(tried, h.ID) && now.After(c.unable[hostPool{h.ID, pool}])
	})
	if near := lo.Filter(candidates, func(h Host, _ int) bool { return h.Zone == c.opts.Zone }); len(near) > 0 && len(tried) == 0 {
		candidates = near
	}
	if len(candidates) == 0 {
		return "", false
	}
	return candidates[rand.IntN(len(candidates))].ID, true
}

// recordUnable records that a host does not reach a pool either.
func (c *Client) recordUnable(host, pool string) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, until := range c.unable {
		if now.After(until) {
			delete(c.unable, key)
		}
	}
	c.unable[hostPool{host, pool}] = now.Add(unableTime)
}

// try sends a request through a host. It returns the response, unless another host may serve the request.
func (c *Client) try(r Request, host string) (*http.Response, error) {
	ctx, cancel := context.WithTimeout(r.Context(), openTimeout)
	conn, err := c.opts.Open(ctx, host)
	cancel()
	if err != nil {
		c.recordUnable(host, r.Pool)
		return nil, kind.Wrap(err, kind.Unavailable, "no connection to %s", host).WithRan(kind.RanNo)
	}
	leave := context.AfterFunc(r.Context(), func() { _ = conn.Close() })
	watch := c.watch(conn, host)
	stop := func() { leave(); watch() }
	res, token, err := send(conn, r)
	if err != nil {
		stop()
		_ = conn.Close()
		c.recordUnable(host, r.Pool)
		return nil, kind.Wrap(err, kind.Lost, "%s was lost", host).WithRan(kind.RanMaybe)
	}
	res.Body = &body{ReadCloser: res.Body, conn: conn, stop: stop}
	if fault := readRefusal(res, token, r); fault != nil {
		_ = res.Body.Close()
		if kind.Of(fault) != kind.Overload {
			c.recordUnable(host, r.Pool)
		}
		return nil, fault
	}
	c.opts.Log.Debug("request relayed", zap.String("id", res.Header.Get(reply.HeaderRequestID)), zap.String("helper", host), zap.Int("status", res.StatusCode))
	return res, nil
}

// watch closes a stream when its host is no longer alive: a stream to a host that was killed stays open for long. The returned function
// ends the watch.
func (c *Client) watch(conn net.Conn, host string) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	go clock.Every(ctx, watchInterval, func() {
		if !slices.ContainsFunc(c.opts.Hosts(), func(h Host) bool { return h.ID == host }) {
			_ = conn.Close()
		}
	})
	return cancel
}

// send sends a request on a stream and reads the head of the response. A host may begin before it has read the whole request. The token is
// the one by which the host marks its own refusal.
func send(conn net.Conn, r Request) (res *http.Response, token string, err error) {
	out := r.Clone(r.Context())
	out.RequestURI, out.TransferEncoding, out.Close = "", nil, true
	for _, name := range reply.HopHeaders {
		out.Header.Del(name)
	}
	token = reply.SetRelay(out.Header, r.TimeLeft, r.NoWait, r.Progress)
	if _, ok := out.Header["User-Agent"]; !ok {
		out.Header["User-Agent"] = nil // the caller sent none
	}
	out.Body, out.ContentLength = io.NopCloser(bytes.NewReader(r.Body)), int64(len(r.Body))
	if len(r.Body) == 0 {
		out.Body = http.NoBody
	}
	out.URL.Scheme, out.URL.Host = "http", r.Host
	if err := out.Write(conn); err != nil {
		return nil, "", err
	}
	if res, err = http.ReadResponse(bufio.NewReader(conn), out); err != nil {
		return nil, "", err
	}
	if err := httpclient.CheckHead(res); err != nil { // a host of an earlier version passes malformed heads on
		return nil, "", err
	}
	return res, token, nil
}

// body is the body of a response. Its Close ends the stream.
type body struct {
	io.ReadCloser
	conn net.Conn
	stop func()
}

// Close implements io.Closer.
func (b *body) Close() error {
	b.stop()
	return b.conn.Close()
}

// readRefusal returns the error with which a host has refused a request, if another host may serve it: the request did not run, or may run
// more than once, and the reason lies with that host, or its want of room for a request that does not wait. It also returns an error for a status
// that promises that the request did not run, if the host does not state it: an upstream may have written the response, whatever its body says. The
// body of any other response can still be read.
func readRefusal(res *http.Response, token string, r Request) error {
	if res.StatusCode < http.StatusBadRequest {
		return nil
	}
	ran, isOwn := reply.RefusalRan(res.Header, token)
	if (!isOwn || ran != kind.RanNo) && !r.Repeatable && kind.PromisesNotRun(res.StatusCode) {
		return kind.New(kind.Failed, "another host answered %d and did not state that the request did not run", res.StatusCode).WithRan(kind.RanMaybe)
	}
	data, err := io.ReadAll(io.LimitReader(res.Body, maxRefusal))
	var refusal struct {
		Error struct {
			Kind kind.Kind `json:"kind"`
			Ran  kind.Ran  `json:"ran"`
		} `json:"error"`
	}
	isRefusal := err == nil && json.Unmarshal(data, &refusal) == nil && refusal.Error.Ran == kind.RanNo
	if !isOwn { // of an upstream, or a host of an earlier version
		isRefusal = isRefusal && r.Repeatable
		ran = kind.RanMaybe
	}
	switch {
	case isRefusal && r.NoWait && refusal.Error.Kind == kind.Overload:
		return kind.New(kind.Overload, "another host has no room for the request").WithRan(ran)
	case isRefusal && isFaultOfHost(refusal.Error.Kind):
		return kind.New(kind.Unavailable, "another host cannot serve the request: %s", refusal.Error.Kind).WithRan(ran)
	}
	rest := res.Body.(*body)
	rest.ReadCloser = struct {
		io.Reader
		io.Closer
	}{io.MultiReader(bytes.NewReader(data), rest.ReadCloser), rest.ReadCloser}
	return nil
}

// isFaultOfHost reports whether the reason of a refusal lies with the host. This host has found the key and the route good.
func isFaultOfHost(k kind.Kind) bool {
	switch k {
	case kind.Unavailable, kind.Draining, kind.NoKey, kind.BadKey, kind.NoRoute, kind.NoModel:
		return true
	default:
		return false
	}
}

// respond passes a response on to the caller.
func (c *Client) respond(w http.ResponseWriter, r Request, res *http.Response) {
	for name, values := range res.Header {
		w.Header()[name] = values
	}
	for _, name := range reply.HopHeaders {
		w.Header().Del(name)
	}
	reply.DeleteMark(w.Header())
	w.WriteHeader(res.StatusCode)
	if err := reply.CopyFlush(w, res.Body); err != nil {
		reply.Abort(w, r.Request)
	}
}
