// Package httpjson contains the helpers with which the stand-ins serve JSON over HTTP.
package httpjson

import (
	"encoding/json"
	"net/http"

	"hickorypath/internal/core/kind"
)

// HandleBody returns a handler that decodes the request body from JSON into a T and passes it to take. It answers
// with status 204, or with the error of take as WriteError does; an error of kind.Lost therefore drops the connection.
func HandleBody[T any](take func(T) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var body T
		decoder := json.NewDecoder(r.Body)
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&body); err != nil {
			WriteError(w, kind.Wrap(err, kind.Invalid, "body cannot be read"))
			return
		}
		if err := take(body); err != nil {
			WriteError(w, err)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	}
}

// HandleGet returns a handler that writes the result of get as JSON, or its error as WriteError does.
func HandleGet[T any](get func() (T, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		v, err := get()
		if err != nil {
			WriteError(w, err)
			return
		}
		WriteJSON(w, v)
	}
}

// WriteJSON writes v as the JSON response body.
func WriteJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// WriteError writes err as a plain text response whose status follows from the kind of err. For kind.Lost it
// drops the connection without a response.
func WriteError(w http.ResponseWriter, err error) {
	status := http.StatusServiceUnavailable
	switch kind.Of(err) {
	case kind.Lost:
		panic(http.ErrAbortHandler)
	case kind.Invalid:
		status = http.StatusBadRequest
	case kind.Missing:
		status = http.StatusNotFound
	case kind.Fenced:
		status = http.StatusPreconditionFailed
	case kind.Conflict, kind.Unavailable:
		status = http.StatusConflict
	case kind.RateLimit:
		status = http.StatusTooManyRequests
		w.Header().Set("Retry-After", "1")
	}
	http.Error(w, err.Error(), status)
}

// NeverFails adapts set to the signature that HandleBody takes; the returned function always returns nil.
func NeverFails[T any](set func(T)) func(T) error {
	return func(v T) error {
		set(v)
		return nil
	}
}
