package client

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/operator/api"
	"hickorypath/internal/operator/document"
)

// Document is the source text of a document with its digest and revision number.
type Document struct {
	source   []byte
	digest   string
	revision uint64
}

// Source returns the source text.
func (d Document) Source() []byte { return d.source }

// Digest returns the SHA-256 of the source text.
func (d Document) Digest() string { return d.digest }

// Revision returns the number of the revision, 0 when the environment has no document.
func (d Document) Revision() uint64 { return d.revision }

// Document returns the newest accepted document. The error is of kind Missing when the environment has none.
func (c *Client) Document(ctx context.Context) (Document, error) {
	return c.getDocument(ctx, "/v1/document")
}

// ActiveDocument returns the document that the responding host applies. The call works while the store is down.
func (c *Client) ActiveDocument(ctx context.Context) (Document, error) {
	return c.getDocument(ctx, "/v1/document/live")
}

// DocumentOrEmpty returns the newest accepted document, or an empty document with revision 0 when the environment
// has none.
func (c *Client) DocumentOrEmpty(ctx context.Context) (Document, error) {
	d, err := c.Document(ctx)
	if kind.Of(err) == kind.Missing {
		return Document{}, nil
	}
	return d, err
}

// DocumentByDigest returns the accepted document with the given digest from the history.
func (c *Client) DocumentByDigest(ctx context.Context, digest string) (Document, error) {
	return c.getDocument(ctx, "/v1/document/digest/"+url.PathEscape(digest))
}

func (c *Client) getDocument(ctx context.Context, path string) (Document, error) {
	header, data, err := c.send(ctx, request{method: http.MethodGet, path: path})
	if err != nil {
		return Document{}, err
	}
	revision, err := api.ParseETag(header.Get("ETag"))
	if err != nil {
		return Document{}, err
	}
	d := Document{source: data, digest: document.DigestOf(data), revision: revision}
	if want := header.Get(api.HeaderDigest); want != d.digest {
		return Document{}, kind.New(kind.Lost, "%s sent a document whose digest is %s, not %s", c.url, d.digest, want)
	}
	return d, nil
}

// Check validates a document on the host without changing the environment. File names the document in faults.
func (c *Client) Check(ctx context.Context, source []byte, file string) (api.Check, error) {
	var out api.Check
	_, err := c.do(ctx, request{
		method: http.MethodPost, path: "/v1/document/check", query: url.Values{"file": {file}},
		header: jsonHeader(), body: source,
	}, &out)
	return out, err
}

// DocumentChange is a new document with the revision that it is based on.
type DocumentChange struct {
	BaseRevision uint64 // number of the revision that the operator read, 0 for the first document
	Source       []byte
	File         string // file name for the positions of faults
	Digest       string // digest that the source must have, empty for any
}

// Limits on the queries for the outcome of a change whose response was lost.
const (
	maxOutcomeQueries    = 4
	outcomeQueryInterval = 500 * time.Millisecond
)

// Put submits a new document, which hosts apply once the API has accepted it. When the response is lost, Put queries
// the outcome. An error of kind OutcomeUnknown is an *APIError that holds the id of the change.
func (c *Client) Put(ctx context.Context, p DocumentChange) (api.Revision, error) {
	change := newChangeID(p.BaseRevision)
	header := jsonHeader()
	header.Set(api.HeaderChange, change)
	if p.Digest != "" {
		header.Set(api.HeaderDigest, p.Digest)
	}
	header.Set("If-Match", api.ETag(p.BaseRevision))
	if p.BaseRevision == 0 {
		header.Del("If-Match")
		header.Set("If-None-Match", "*")
	}
	var out api.Revision
	_, err := c.do(ctx, request{
		method: http.MethodPut, path: "/v1/document", query: url.Values{"file": {p.File}},
		header: header, body: p.Source,
	}, &out)
	if k := kind.Of(err); k == kind.Lost || k == kind.OutcomeUnknown {
		return c.resolveOutcome(ctx, change, err)
	}
	return out, err
}

// resolveOutcome queries the outcome of a change whose response was lost or whose outcome the API could not tell. The
// error that led to the query is cause.
func (c *Client) resolveOutcome(ctx context.Context, change string, cause error) (api.Revision, error) {
	for range maxOutcomeQueries {
		c.pause(ctx, outcomeQueryInterval)
		out, err := c.Outcome(ctx, change)
		if err != nil || out.Revision == nil {
			continue
		}
		if out.State == "applied" {
			return *out.Revision, nil
		}
		return api.Revision{}, &APIError{detail: api.Detail{Kind: kind.Conflict, Ran: kind.RanNo,
			Message: "revision " + strconv.FormatUint(out.Revision.Number, 10) + " by " + out.Revision.Operator + " was accepted in place of this change"}}
	}
	var f *APIError
	if errors.As(cause, &f) && f.Change() != "" {
		return api.Revision{}, cause
	}
	return api.Revision{}, &APIError{detail: api.Detail{Kind: kind.OutcomeUnknown, Ran: kind.RanMaybe, Change: change,
		Message: "the outcome of change " + change + " is not known; ask for it by that id"}}
}

// Restore makes the accepted document with the given digest the newest revision again. The number of the revision that
// the operator read is base.
func (c *Client) Restore(ctx context.Context, digest string, base uint64) (api.Revision, error) {
	var out api.Revision
	_, err := c.do(ctx, request{
		method: http.MethodPost, path: "/v1/document/digest/" + url.PathEscape(digest) + "/restore",
		header: http.Header{"If-Match": {api.ETag(base)}},
	}, &out)
	return out, err
}

// Outcome returns the state of a change and the revision that it made, or the one that was accepted in its place.
func (c *Client) Outcome(ctx context.Context, change string) (api.Outcome, error) {
	var out api.Outcome
	_, err := c.do(ctx, request{method: http.MethodGet, path: "/v1/document/change/" + url.PathEscape(change)}, &out)
	return out, err
}

// History returns up to limit revisions with numbers below before, newest first. If before is 0, History starts at
// the newest revision.
func (c *Client) History(ctx context.Context, before uint64, limit int) ([]api.Revision, error) {
	query := url.Values{"limit": {strconv.Itoa(limit)}}
	if before > 0 {
		query.Set("before", strconv.FormatUint(before, 10))
	}
	var out []api.Revision
	_, err := c.do(ctx, request{method: http.MethodGet, path: "/v1/document/history", query: query}, &out)
	return out, err
}

func jsonHeader() http.Header {
	return http.Header{"Content-Type": {"application/jsonc"}}
}
