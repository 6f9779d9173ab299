// Package openai serves callers that speak the OpenAI-compatible chat completions protocol.
package openai

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"hickorypath/internal/caller/exchange"
	"hickorypath/internal/caller/intake"
	"hickorypath/internal/caller/relay"
	"hickorypath/internal/caller/reply"
	"hickorypath/internal/core/kind"
)

// MaxBody is the maximum length in bytes of a request body; the route, whose own limit is checked later, is not yet
// known when the body is read.
const MaxBody = 64 << 20

// heartbeatInterval is the time without events after which a comment is sent on a stream.
const heartbeatInterval = 5 * time.Second

// Handler serves the chat completions protocol.
type Handler struct {
	runner *exchange.Runner
	relays *relay.Client
	mux    *http.ServeMux
}

// New returns a Handler that runs requests with runner, or through another host where this one is cut off.
func New(runner *exchange.Runner, relays *relay.Client) *Handler {
	h := &Handler{runner: runner, relays: relays, mux: http.NewServeMux()}
	h.mux.HandleFunc("POST /v1/chat/completions", h.chat)
	h.mux.HandleFunc("GET /v1/models", h.models)
	h.mux.HandleFunc("/v1/", h.notFound)
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mux.ServeHTTP(w, r)
}

func (h *Handler) chat(w http.ResponseWriter, r *http.Request) {
	req := reply.NewRequest(r)
	w.Header().Set(reply.HeaderRequestID, req.ID)
	reply.StateProgress(w.Header(), req.Progress)
	if err := h.serveChat(w, r, req); err != nil {
		reply.WriteError(w, err)
	}
}

// serveChat answers a chat completion. It returns an error only if nothing of the response was written yet.
func (h *Handler) serveChat(w http.ResponseWriter, r *http.Request, req exchange.Request) error {
	who, err := h.runner.Authenticate(req.Bearer)
	if err != nil {
		return err
	}
	if err := h.runner.RequireKey(who); err != nil {
		return err
	}
	data, err := readBody(w, r)
	if err != nil {
		return err
	}
	body, err := exchange.ParseChat(data)
	if err != nil {
		return err
	}
	req.Model = body.Model()
	s, err := h.runner.Open(r.Context(), who, req)
	if err != nil {
		return err
	}
	if err := body.Validate(); err != nil {
		s.Close(err)
		return err
	}
	if int64(len(data)) > s.BodyLimit() {
		err = kind.New(kind.TooLarge, "the body has %d bytes and the route takes %d", len(data), s.BodyLimit())
		s.Close(err)
		return err
	}
	if !s.IsOutOfReach() {
		out := newWriter(w, r, body.IsStream())
		defer out.close()
		err = s.Chat(body, out.output())
		if !out.isStarted() && s.IsOutOfRoom(err) {
			if err = h.relays.ServeNow(w, relay.NewRequest(r, s, data), err); err == nil {
				s.Abandon()
				return nil
			}
		}
		if out.isStarted() || !s.MayRelay(err) {
			return h.finish(s, out, relay.NewRequest(r, s, data), err)
		}
	}
	s.Abandon()
	return h.relays.Serve(w, relay.NewRequest(r, s, data))
}

// finish ends the response of a session that has ended with err. Another host sends the rest of a stream that was cut off.
func (h *Handler) finish(s *exchange.Session, out *writer, r relay.Request, err error) error {
	if _, ok := s.Progress(); ok {
		taken, resumeErr := h.relays.Resume(r, out.event)
		if taken {
			s.Abandon()
			return out.finish(resumeErr)
		}
	}
	s.Close(err)
	return out.finish(err)
}

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBody))
	if err == nil {
		return data, nil
	}
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, kind.New(kind.TooLarge, "the body has more than %d bytes", large.Limit)
	}
	return nil, intake.ReadError(err)
}

type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	Owner   string `json:"owned_by"`
}

func (h *Handler) models(w http.ResponseWriter, r *http.Request) {
	req := reply.NewRequest(r)
	w.Header().Set(reply.HeaderRequestID, req.ID)
	who, err := h.runner.Authenticate(req.Bearer)
	if err != nil {
		reply.WriteError(w, err)
		return
	}
	list := modelList{Object: "list", Data: []model{}}
	for _, name := range h.runner.Models(who) {
		list.Data = append(list.Data, model{ID: name, Object: "model", Owner: "hickorypath"})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}

// notFound answers requests to a path or with a method that the protocol does not have.
func (h *Handler) notFound(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(reply.HeaderRequestID, reply.NewRequest(r).ID)
	k, text := kind.NoRoute, "no such path: "+r.URL.Path
	if strings.HasPrefix(r.URL.Path, "/v1/chat/completions") || r.URL.Path == "/v1/models" {
		k, text = kind.MethodNotAllowed, "the path does not take "+r.Method
	}
	reply.WriteError(w, kind.New(k, "%s", text))
}
