// Package client implements a client of the HTTP API for operators; the command line uses it.
//
// The client chooses an id for each change of the document and sends it with the change, so that the client can
// query the outcome of the change when the response is lost.
package client

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"hickorypath/internal/core/clock"
	"hickorypath/internal/core/kind"
	"hickorypath/internal/core/tcpconn"
	"hickorypath/internal/operator/api"
)

// maxResponseBytes bounds the part of a response body that the client reads.
const maxResponseBytes = 64 << 20

// Options holds the dependencies of a Client.
type Options struct {
	URL   string // base URL of the admin address, such as http://127.0.0.1:8090
	Token string // the operator's secret
	HTTP  *http.Client
	Pause func(ctx context.Context, d time.Duration) // waits between two queries for the outcome of a change
}

// Client calls the operators' API of one environment.
type Client struct {
	url   string
	token string
	http  *http.Client
	pause func(ctx context.Context, d time.Duration)
}

// New returns a Client. HTTP defaults to a client with a timeout of 60 s, Pause to clock.Pause.
func New(o Options) *Client {
	c := &Client{url: strings.TrimSuffix(o.URL, "/"), token: o.Token, http: o.HTTP, pause: o.Pause}
	if c.http == nil {
		c.http = &http.Client{Transport: tcpconn.NewDefaultTransport(), Timeout: 60 * time.Second}
	}
	if c.pause == nil {
		c.pause = clock.Pause
	}
	return c
}

// URL returns the base URL of the API without a trailing slash.
func (c *Client) URL() string { return c.url }

// APIError is an error response of the API.
type APIError struct {
	detail api.Detail
}

// Kind returns the kind of the error.
func (f *APIError) Kind() kind.Kind { return f.detail.Kind }

// Change returns the id by which to query the outcome of the change, empty when the outcome is known.
func (f *APIError) Change() string { return f.detail.Change }

// Faults returns the faults of a rejected document.
func (f *APIError) Faults() []api.Fault { return f.detail.Faults }

// Error implements error. The text lists the faults of a rejected document, one a line.
func (f *APIError) Error() string {
	if len(f.detail.Faults) == 0 {
		return fmt.Sprintf("%s: %s", f.detail.Kind, f.detail.Message)
	}
	lines := make([]string, len(f.detail.Faults))
	for i, fault := range f.detail.Faults {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns an error of the same kind, so that kind.Of finds the kind.
func (f *APIError) Unwrap() error {
	return kind.New(f.detail.Kind, "%s", f.detail.Message).WithRan(f.detail.Ran)
}

// request is an HTTP request to the API.
type request struct {
	method string
	path   string
	query  url.Values
	header http.Header
	body   []byte
}

// do sends a request and decodes the JSON response into out, unless out is nil.
func (c *Client) do(ctx context.Context, in request, out any) (http.Header, error) {
	header, data, err := c.send(ctx, in)
	if err != nil || out == nil {
		return header, err
	}
	if err := json.Unmarshal(data, out); err != nil {
		return header, kind.Wrap(err, kind.Lost, "cannot decode the response of %s", c.url)
	}
	return header, nil
}

func (c *Client) send(ctx context.Context, in request) (http.Header, []byte, error) {
	target := c.url + in.path
	if len(in.query) > 0 {
		target += "?" + in.query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, in.method, target, bytes.NewReader(in.body))
	if err != nil {
		return nil, nil, kind.Wrap(err, kind.Invalid, "%q is not a valid API address", c.url)
	}
	for name, values := range in.header {
		req.Header[name] = values
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, nil, sendError(c.url, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, nil, kind.Wrap(err, kind.Lost, "the response of %s was truncated", c.url)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return resp.Header, nil, newFailure(resp.StatusCode, data)
	}
	return resp.Header, data, nil
}

// sendError returns an error of kind Unavailable when the connection to the API failed, so that the request was not
// sent, and of kind Lost when the response may have been lost.
func sendError(target string, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return kind.Wrap(err, kind.Unavailable, "%s cannot be reached", target)
	}
	return kind.Wrap(err, kind.Lost, "no response from %s", target)
}

func newFailure(status int, data []byte) error {
	var body struct {
		Error api.Detail `json:"error"`
	}
	if err := json.Unmarshal(data, &body); err != nil || body.Error.Kind == "" {
		return kind.New(kind.Lost, "response with status %d holds no error that can be decoded", status)
	}
	return &APIError{detail: body.Error}
}

// nonceBytes is the size of the random part of a change id.
const nonceBytes = 8

func newChangeID(base uint64) string {
	b := make([]byte, nonceBytes)
	_, _ = rand.Read(b)
	return fmt.Sprintf("%d-%s", base+1, hex.EncodeToString(b))
}
