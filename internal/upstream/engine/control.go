package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/policy/route"
	"hickorypath/internal/upstream/httpclient"
)

// loadReport is the JSON body of the response to GET /load.
type loadReport struct {
	Running int     `json:"running"`
	Waiting int     `json:"waiting"`
	KV      float64 `json:"kv"`
	Age     int     `json:"age"`    // milliseconds since the load was measured
	Offset  *int    `json:"offset"` // tokens produced for the attempt in the query, -1 if the attempt never arrived
}

// CacheEvents lists the changes to an engine's prefix cache after a position in its event log.
type CacheEvents struct {
	Next    int      `json:"next"`    // position to pass in the next call
	Gap     bool     `json:"gap"`     // some changes were lost
	Added   []uint64 `json:"added"`   // blocks now in the cache
	Removed []uint64 `json:"removed"` // blocks no longer in the cache
}

const userAgent = "hickorypath"

// maxControlBody is the maximum number of bytes read from the response to a control call.
const maxControlBody = 4 << 20

// Load fetches the current load of an engine.
func (c *Client) Load(ctx context.Context, addr string) (route.Load, error) {
	var r loadReport
	if err := c.getJSON(ctx, c.pooled, addr, "/load", &r); err != nil {
		return route.Load{}, err
	}
	at := c.options.Clock.Now().Add(-time.Duration(r.Age) * time.Millisecond)
	return route.Load{Running: r.Running, Waiting: r.Waiting, KV: r.KV, At: at}, nil
}

// CacheEvents fetches the changes to an engine's prefix cache after a position.
func (c *Client) CacheEvents(ctx context.Context, addr string, after int) (CacheEvents, error) {
	var e CacheEvents
	err := c.getJSON(ctx, c.pooled, addr, "/events?after="+strconv.Itoa(after), &e)
	return e, err
}

// Cancel asks an engine to stop an attempt. The request uses a new connection.
func (c *Client) Cancel(ctx context.Context, addr, attempt string) error {
	target := "http://" + addr + "/cancel?id=" + url.QueryEscape(attempt)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, nil)
	if err != nil {
		return kind.Wrap(err, kind.Internal, "cancel at engine %s", addr)
	}
	return c.doControl(req, c.control, addr, nil)
}

// probe asks an engine, on a new connection, how many tokens it has produced for an attempt. The offset is
// negative if the attempt never arrived. known is false if the engine does not report offsets.
func (c *Client) probe(ctx context.Context, addr, attempt string) (offset int, known bool, err error) {
	c.counters.probes.Add(1)
	var r loadReport
	err = c.getJSON(ctx, c.control, addr, "/load?id="+url.QueryEscape(attempt), &r)
	if kind.Of(err) == kind.Failed {
		return 0, false, nil // an engine that answers with an error status is alive
	}
	if err != nil || r.Offset == nil {
		return 0, false, err
	}
	return *r.Offset, true, nil
}

func (c *Client) getJSON(ctx context.Context, t *httpclient.Transport, addr, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, c.options.ControlTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		return kind.Wrap(err, kind.Internal, "call of engine %s", addr)
	}
	return c.doControl(req, t, addr, into)
}

func (c *Client) doControl(req *http.Request, t *httpclient.Transport, addr string, into any) error {
	req.Header.Set("User-Agent", userAgent)
	res, err := t.RoundTrip(req)
	if err != nil {
		return kind.Wrap(err, kind.Unavailable, "engine %s does not answer %s", addr, req.URL.Path)
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxControlBody))
	if err != nil {
		return kind.Wrap(err, kind.Unavailable, "engine %s cut off %s", addr, req.URL.Path)
	}
	if res.StatusCode >= http.StatusBadRequest {
		return kind.New(kind.Failed, "engine %s answered %s with %d", addr, req.URL.Path, res.StatusCode)
	}
	if into == nil {
		return nil
	}
	if err := json.Unmarshal(body, into); err != nil {
		return kind.Wrap(err, kind.Failed, "engine %s: %s cannot be read", addr, req.URL.Path)
	}
	return nil
}
