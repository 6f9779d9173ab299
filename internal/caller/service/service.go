// Package service serves the callers of plain services, which run beside the model engines.
package service

import (
	"bytes"
	"io"
	"net/http"

	"hickorypath/internal/caller/exchange"
	"hickorypath/internal/caller/intake"
	"hickorypath/internal/caller/relay"
	"hickorypath/internal/caller/reply"
)

// Handler serves requests under the paths of the document's routes.
type Handler struct {
	runner *exchange.Runner
	relays *relay.Client
}

// New returns a Handler that runs requests with runner, or through another host where this one is cut off.
func New(runner *exchange.Runner, relays *relay.Client) *Handler {
	return &Handler{runner: runner, relays: relays}
}

// MaxRelayedBody is the length of the longest request body that is sent through another host, in bytes. A longer body is not kept whole.
const MaxRelayedBody = 1 << 20

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	req := reply.NewRequest(r)
	w.Header().Set(reply.HeaderRequestID, req.ID)
	started, err := h.serve(w, r, req)
	finish(w, r, started, err)
}

// finish ends a response. A response that has started and failed is aborted, so that the caller cannot mistake the partial
// response for a complete one.
func finish(w http.ResponseWriter, r *http.Request, started bool, err error) {
	switch {
	case err == nil:
	case started:
		reply.Abort(w, r)
	default:
		reply.WriteError(w, err)
	}
}

// serve runs the call. started reports whether a part of the response was written.
func (h *Handler) serve(w http.ResponseWriter, r *http.Request, req exchange.Request) (started bool, err error) {
	who, err := h.runner.Authenticate(req.Bearer)
	if err != nil {
		return false, err
	}
	s, err := h.runner.Open(r.Context(), who, req)
	if err != nil {
		return false, err
	}
	call := exchange.ServiceCall{RawQuery: r.URL.RawQuery, Header: r.Header, Body: r.Body, BodyLength: r.ContentLength}
	var body []byte
	mayRelay := r.ContentLength >= 0 && r.ContentLength <= min(s.BodyLimit(), MaxRelayedBody)
	if mayRelay {
		if body, err = io.ReadAll(io.LimitReader(r.Body, r.ContentLength)); err != nil {
			err = intake.ReadError(err)
			s.Close(err)
			return false, err
		}
		call.Body = bytes.NewReader(body)
	}
	if !mayRelay || !s.IsOutOfReach() {
		err = s.Forward(call, func(status int, header http.Header, body io.Reader) error {
			started = true
			return respond(w, status, header, body)
		})
		if mayRelay && !started && s.IsOutOfRoom(err) {
			if err = h.relays.ServeNow(w, relay.NewRequest(r, s, body), err); err == nil {
				s.Abandon()
				return false, nil
			}
		}
		if started || !mayRelay || !s.MayRelay(err) {
			s.Close(err)
			return started, err
		}
	}
	s.Abandon()
	return false, h.relays.Serve(w, relay.NewRequest(r, s, body))
}

// respond writes the response of a plain service. The request id of this host replaces the service's own.
func respond(w http.ResponseWriter, status int, header http.Header, body io.Reader) error {
	id := w.Header().Get(reply.HeaderRequestID)
	header = header.Clone()
	reply.DeleteMark(header) // a service may be a router itself
	for name, values := range header {
		w.Header()[name] = values
	}
	for _, name := range reply.HopHeaders {
		w.Header().Del(name)
	}
	w.Header().Set(reply.HeaderRequestID, id)
	w.WriteHeader(status)
	return reply.CopyFlush(w, body)
}
