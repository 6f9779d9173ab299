// Package reply reads the request headers that all caller protocols have in common and writes error responses.
package reply

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"strings"

	"hickorypath/internal/caller/exchange"
	"hickorypath/internal/core/kind"
)

// Header names of the callers' protocol.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderClass          = "Hickorypath-Class"
	HeaderIdempotencyKey = "Idempotency-Key"
	headerRetry          = "Retry-After"
)

// maxHeaderLength is the maximum length of a request id in bytes.
const maxHeaderLength = 128

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string    `json:"message"`
	Type    string    `json:"type"`
	Code    string    `json:"code"`
	Param   *string   `json:"param"`
	Kind    kind.Kind `json:"kind"`
	Ran     kind.Ran  `json:"ran"`
}

// NewRequest reads the headers that all protocols have in common. A request without a valid id gets a new one.
func NewRequest(r *http.Request) exchange.Request {
	id := r.Header.Get(HeaderRequestID)
	if !isPlainText(id) {
		id = exchange.NewID()
	}
	req := exchange.Request{
		ID:             id,
		Bearer:         bearerToken(r),
		Class:          r.Header.Get(HeaderClass),
		IdempotencyKey: r.Header.Get(HeaderIdempotencyKey),
		Method:         r.Method,
		Path:           r.URL.Path,
	}
	if isRelayed(r) {
		readRelay(r.Header, &req)
	}
	return req
}

// bearerToken returns the bearer token of a request, empty if there is none.
func bearerToken(r *http.Request) string {
	scheme, token, ok := strings.Cut(r.Header.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(token)
}

// isPlainText reports whether text is short and printable, so that it is safe in logs and headers.
func isPlainText(text string) bool {
	if text == "" || len(text) > maxHeaderLength {
		return false
	}
	for _, c := range text {
		if c < '!' || c > '~' {
			return false
		}
	}
	return true
}

// WriteError writes a response with the status, the headers and the body for the kind of err. It marks the response as that of this host if
// another host has sent the request.
func WriteError(w http.ResponseWriter, err error) {
	e := kind.From(err)
	w.Header().Set("Content-Type", "application/json")
	if after := e.RetryAfter(); after > 0 {
		w.Header().Set(headerRetry, strconv.Itoa(int(math.Ceil(after.Seconds()))))
	}
	if w.Header().Get(headerToken) != "" {
		w.Header().Set(headerRan, string(e.Ran()))
	}
	w.WriteHeader(e.Status())
	_, _ = w.Write(ErrorBody(err))
}

// ErrorBody returns the body of the error response for err. It does not contain the cause of err.
func ErrorBody(err error) []byte {
	e := kind.From(err)
	data, _ := json.Marshal(errorBody{Error: errorDetail{
		Message: e.Message(),
		Type:    e.Kind().Response().ErrorType(),
		Code:    string(e.Kind()),
		Kind:    e.Kind(),
		Ran:     e.Ran(),
	}})
	return data
}
