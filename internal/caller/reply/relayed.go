package reply

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"hickorypath/internal/caller/exchange"
	"hickorypath/internal/core/kind"
)

// Headers of requests that a host sends through another one. Those of callers are not heeded.
const (
	headerTimeLeft = "Hickorypath-Relay-Time"    // milliseconds until the response must be complete
	headerTokens   = "Hickorypath-Relay-Tokens"  // output tokens that the caller has got; the response states them as well
	headerVersion  = "Hickorypath-Relay-Version" // software version of the engine that sent them
	headerAttempt  = "Hickorypath-Relay-Attempt" // the attempt to resume
	headerNoWait   = "Hickorypath-Relay-Nowait"  // 1 if the request is to be refused unless it can run at once
	headerToken    = "Hickorypath-Relay-Token"   // differs in each request; the response repeats it
)

// headerRan states whether the request ran, in a response that the other host itself has written. No upstream knows the token beside it.
const headerRan = "Hickorypath-Ran"

// relayedKey is the context key of requests that another host sent.
type relayedKey struct{}

// MarkRelayed returns a request that another host sent, and sets the token of the request in the header of its response.
func MarkRelayed(w http.ResponseWriter, r *http.Request) *http.Request {
	if token := r.Header.Get(headerToken); token != "" {
		w.Header().Set(headerToken, token)
	}
	return r.WithContext(context.WithValue(r.Context(), relayedKey{}, true))
}

func isRelayed(r *http.Request) bool { return r.Context().Value(relayedKey{}) != nil }

// SetRelay sets the headers of a request that is sent through another host, and returns the token by which that host marks its own refusal. A
// zero Progress is that of a response that has not begun.
func SetRelay(h http.Header, timeLeft time.Duration, noWait bool, p exchange.Progress) (token string) {
	for _, name := range []string{headerTokens, headerVersion, headerAttempt, headerNoWait} {
		h.Del(name)
	}
	if noWait {
		h.Set(headerNoWait, "1")
	}
	h.Set(headerTimeLeft, strconv.FormatInt(max(timeLeft.Milliseconds(), 1), 10))
	if p.Tokens > 0 {
		h.Set(headerTokens, strconv.Itoa(p.Tokens))
		h.Set(headerVersion, p.Version)
		h.Set(headerAttempt, p.AttemptID)
	}
	token = exchange.NewID()
	h.Set(headerToken, token)
	return token
}

// RefusalRan returns whether the request ran according to a response that the other host itself has written. ok is false for any other
// response, such as one that the host has passed on.
func RefusalRan(h http.Header, token string) (ran kind.Ran, ok bool) {
	ran = kind.Ran(h.Get(headerRan))
	return ran, ran != "" && h.Get(headerToken) == token
}

// DeleteMark deletes the fields with which a host marks its own refusal.
func DeleteMark(h http.Header) {
	h.Del(headerToken)
	h.Del(headerRan)
}

// readRelay reads the headers of a request that another host sent.
func readRelay(h http.Header, req *exchange.Request) {
	req.Relayed, req.NoWait = true, h.Get(headerNoWait) != ""
	if ms, err := strconv.ParseInt(h.Get(headerTimeLeft), 10, 64); err == nil && ms > 0 {
		req.TimeLeft = time.Duration(ms) * time.Millisecond
	}
	if text := h.Get(headerTokens); text != "" {
		tokens, err := strconv.Atoi(text)
		if err != nil || tokens <= 0 {
			tokens = -1
		}
		req.Progress = exchange.Progress{Tokens: tokens, Version: h.Get(headerVersion), AttemptID: h.Get(headerAttempt)}
	}
}

// StateProgress states in a response which tokens it follows, if another host has sent the request for the rest of a stream.
func StateProgress(h http.Header, p exchange.Progress) {
	if p.Tokens > 0 {
		h.Set(headerTokens, strconv.Itoa(p.Tokens))
	}
}

// Follows reports whether the response of another host follows what a stream has come to. A host of an earlier version begins anew.
func Follows(h http.Header, p exchange.Progress) bool {
	return h.Get(headerTokens) == strconv.Itoa(p.Tokens)
}
