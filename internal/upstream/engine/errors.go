package engine

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/tidwall/gjson"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/upstream/httpclient"
)

// counters holds the event counters of a Client.
type counters struct {
	crossed, silent, lost, probes atomic.Int64
}

// Counts is a snapshot of the event counters of a Client.
type Counts struct {
	Crossed, Silent, Lost, Probes int64
}

// Counts returns the number of answers that belonged to another attempt (Crossed), of streams that were
// aborted after probes (Silent), of connections that failed (Lost) and of probes sent (Probes).
func (c *Client) Counts() Counts {
	return Counts{
		Crossed: c.counters.crossed.Load(),
		Silent:  c.counters.silent.Load(),
		Lost:    c.counters.lost.Load(),
		Probes:  c.counters.probes.Load(),
	}
}

// ranStatus reports whether the engine may have run an attempt that failed before its answer was complete.
func (s *Stream) ranStatus() kind.Ran {
	if s.account.Sent() {
		return kind.RanMaybe
	}
	return kind.RanNo
}

// classifyError converts a transport error to an error with a kind.
func (s *Stream) classifyError(err error) error {
	if cause := s.abortErr.Load(); cause != nil {
		return cause.WithRan(s.ranStatus())
	}
	if refusal := s.account.Refusal(); refusal != nil && !s.account.Sent() {
		return refusal
	}
	switch {
	case errors.Is(s.parent.Err(), context.DeadlineExceeded):
		return kind.Wrap(err, kind.Timeout, "engine %s did not answer in time", s.addr).WithRan(s.ranStatus())
	case s.parent.Err() != nil:
		return kind.Wrap(err, kind.Canceled, "call of engine %s was canceled", s.addr).WithRan(s.ranStatus())
	case !s.account.Sent():
		return kind.Wrap(err, kind.Unavailable, "engine %s cannot be reached", s.addr)
	}
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	s.client.counters.lost.Add(1)
	return kind.Wrap(err, kind.Lost, "connection to engine %s failed", s.addr)
}

// maxErrorBody is the maximum number of bytes read from the body of an error response.
const maxErrorBody = 16 << 10

// statusError converts a response with an error status to an error with a kind. The attempt id of the
// response has already been checked.
func (s *Stream) statusError() error {
	status := s.res.StatusCode
	body, _ := io.ReadAll(io.LimitReader(s.reader, maxErrorBody))
	text := gjson.GetBytes(body, "error.message").String()
	if text == "" {
		text = http.StatusText(status)
	}
	notRun := s.res.Header.Get(httpclient.HeaderRan) == httpclient.RanNo
	switch {
	case isRequestError(status):
		return kind.New(kind.Invalid, "engine: %s", text).WithRan(ranUnless(notRun))
	case notRun:
		return kind.New(kind.Rejected, "engine %s: %s", s.addr, text).WithRetry(retryAfter(s.res.Header))
	}
	return kind.New(kind.Failed, "engine %s: %d %s", s.addr, status, text).WithRan(kind.RanMaybe)
}

func isRequestError(status int) bool {
	switch status {
	case http.StatusBadRequest, http.StatusNotFound, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return true
	}
	return false
}

func ranUnless(notRun bool) kind.Ran {
	if notRun {
		return kind.RanNo
	}
	return kind.RanMaybe
}

func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
