package admin

import (
	"math"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/danielgtaylor/huma/v2"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/operator/api"
	"hickorypath/internal/operator/document"
)

// failure is the body, status and retry delay of an error response of the API. The name of the type is also the name of
// its schema in the OpenAPI document.
type failure struct {
	Detail api.Detail `json:"error" doc:"The error"`

	status            int
	retryAfterSeconds int
}

// Error implements error.
func (f *failure) Error() string { return f.Detail.Message }

// GetStatus implements huma.StatusError.
func (f *failure) GetStatus() int { return f.status }

// GetHeaders implements huma.HeadersError. The headers hold Retry-After if the error has a retry delay.
func (f *failure) GetHeaders() http.Header {
	h := http.Header{}
	if f.retryAfterSeconds > 0 {
		h.Set("Retry-After", strconv.Itoa(f.retryAfterSeconds))
	}
	return h
}

// newResponseError returns the response for err, with the faults of the document if err holds any.
func newResponseError(err error) *failure {
	var known *failure
	if errors.As(err, &known) {
		return known
	}
	e := kind.From(err)
	f := &failure{
		Detail:            api.Detail{Kind: e.Kind(), Message: e.Message(), Ran: e.Ran()},
		status:            e.Kind().Response().Status(),
		retryAfterSeconds: int(math.Ceil(e.RetryAfter().Seconds())),
	}
	var faults *document.Faults
	if errors.As(err, &faults) {
		f.Detail.Faults = newFaults(faults.List())
	}
	return f
}

// newChangeResponseError returns the response for a failed change. If the outcome of the change is unknown, the
// response holds the id by which the client can query the outcome.
func newChangeResponseError(err error, change string) *failure {
	f := newResponseError(err)
	if f.Detail.Kind == kind.OutcomeUnknown {
		f.Detail.Change = change
	}
	return f
}

func newFaults(list []document.Fault) []api.Fault {
	faults := make([]api.Fault, len(list))
	for i, f := range list {
		faults[i] = api.Fault{File: f.File(), Line: f.Line(), Column: f.Column(), Text: f.Text(), Remedy: f.Remedy()}
	}
	return faults
}

// init gives the errors that the huma library creates itself the form of an responseError.
func init() {
	huma.NewError = func(status int, message string, errs ...error) huma.StatusError {
		parts := []string{message}
		for _, err := range errs {
			if err != nil {
				parts = append(parts, err.Error())
			}
		}
		k := kind.Invalid
		if status >= http.StatusInternalServerError {
			k = kind.Internal
		}
		return &failure{
			Detail: api.Detail{Kind: k, Message: strings.Join(parts, "; "), Ran: kind.RanNo},
			status: status,
		}
	}
}
