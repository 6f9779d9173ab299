package exchange

import (
	"time"

	"go.uber.org/zap"

	"hickorypath/internal/core/kind"
)

// RequestSummary describes how one request ended.
type RequestSummary struct {
	RequestID        string
	Customer         string
	Class            string
	Route            string
	Pool             string
	Upstream         string // the last upstream to which the request was sent
	Started          time.Time
	Finished         time.Time
	TimeToFirstToken time.Duration // from arrival; zero if there was none
	TokenGapP95      time.Duration // 95th percentile of the time between tokens
	PromptTokens     int
	OutputTokens     int // delivered to the caller
	WastedTokens     int // generated but not delivered
	Attempts         int
	Hedged           bool        // two of the attempts ran in parallel
	Err              *kind.Error // nil if the response is complete
}

// Kind returns the kind of the error, empty if the response is complete.
func (e RequestSummary) Kind() kind.Kind {
	if e.Err == nil {
		return ""
	}
	return e.Err.Kind()
}

// Duration returns the time from arrival to the end of the request.
func (e RequestSummary) Duration() time.Duration { return e.Finished.Sub(e.Started) }

// logSummary passes the summary of a request to Deps.Observe and logs it.
func (r *Runner) logSummary(e RequestSummary) {
	r.deps.Observe(e)
	fields := e.logFields()
	if e.Err == nil {
		r.deps.Log.Info("request completed", fields...)
		return
	}
	fields = append(fields, zap.String("kind", string(e.Err.Kind())), zap.String("ran", string(e.Err.Ran())), zap.Error(e.Err))
	r.deps.Log.Info("request failed", fields...)
}

// logFields returns the fields that every log line about a request carries.
func (e RequestSummary) logFields() []zap.Field {
	return []zap.Field{
		zap.String("request", e.RequestID),
		zap.String("customer", e.Customer),
		zap.String("class", e.Class),
		zap.String("route", e.Route),
		zap.String("upstream", e.Upstream),
		zap.Int("attempts", e.Attempts),
		zap.Bool("hedged", e.Hedged),
		zap.Int("prompt", e.PromptTokens),
		zap.Int("output", e.OutputTokens),
		zap.Duration("first", e.TimeToFirstToken),
		zap.Duration("whole", e.Duration()),
	}
}
