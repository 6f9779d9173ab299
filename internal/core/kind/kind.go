// Package kind defines the closed list of error kinds, errors that carry a kind, and the HTTP response for each kind.
//
// Every error that a process returns to a client has exactly one kind. The table in table.go gives for each kind the HTTP
// status, whether the request was executed, the delay before a retry and the error type of the response body.
package kind

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Kind is a class of errors. Its value is stable and appears in responses, logs and metrics.
type Kind string

// Ran states whether an upstream executed a refused or failed request.
type Ran string

// The values of Ran.
const (
	RanNo    Ran = "no"    // no byte was sent, or the upstream responded that it did not execute the request
	RanMaybe Ran = "maybe" // the request was sent, and its outcome is unknown
	RanYes   Ran = "yes"   // the upstream executed the request
)

// Error is an error with a kind. It is immutable.
type Error struct {
	kind       Kind
	ran        Ran
	retryAfter time.Duration
	message    string
	cause      error
}

// New returns an Error of kind k. Its message is formatted like that of fmt.Sprintf, and its Ran value is the default of
// kind k.
func New(k Kind, format string, args ...any) *Error {
	return &Error{kind: k, ran: k.Response().ran, message: fmt.Sprintf(format, args...)}
}

// Wrap is like New and stores cause, with a stack trace, for Error, Unwrap and errors.Is.
func Wrap(cause error, k Kind, format string, args ...any) *Error {
	e := New(k, format, args...)
	e.cause = errors.WithStack(cause)
	return e
}

// WithRan returns a copy of e with another Ran value.
func (e *Error) WithRan(r Ran) *Error {
	c := *e
	c.ran = r
	return &c
}

// WithRetry returns a copy of e that asks the caller to retry after d.
func (e *Error) WithRetry(d time.Duration) *Error {
	c := *e
	c.retryAfter = d
	return &c
}

// Kind returns the kind of e.
func (e *Error) Kind() Kind { return e.kind }

// Ran states whether an upstream executed the request.
func (e *Error) Ran() Ran { return e.ran }

// Status returns the HTTP status of the response for e: that of its kind, or that of Lost if it would promise that a request has not run
// which may have run.
func (e *Error) Status() int {
	status := e.kind.Response().status
	if e.ran != RanNo && PromisesNotRun(status) {
		return Lost.Response().status
	}
	return status
}

// RetryAfter returns the delay before a retry, or zero when a retry does not help. Without a delay of its own, e has the
// default delay of its kind.
func (e *Error) RetryAfter() time.Duration {
	if e.retryAfter > 0 {
		return e.retryAfter
	}
	return e.kind.Response().retryAfter
}

// Message returns the message without the kind and the cause.
func (e *Error) Message() string { return e.message }

// Error returns the kind, the message and the cause if there is one.
func (e *Error) Error() string {
	if e.cause != nil {
		return fmt.Sprintf("%s: %s: %v", e.kind, e.message, e.cause)
	}
	return fmt.Sprintf("%s: %s", e.kind, e.message)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Is reports whether target is an Error of the same kind.
func (e *Error) Is(target error) bool {
	t, ok := target.(*Error)
	return ok && t.kind == e.kind
}

// From returns the first Error in the chain of err. An err without one is wrapped as kind Internal. A nil err gives nil.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(err, Internal, "unexpected error")
}

// Of returns the kind of err as determined by From, or the empty kind for a nil err.
func Of(err error) Kind {
	if err == nil {
		return ""
	}
	return From(err).kind
}
