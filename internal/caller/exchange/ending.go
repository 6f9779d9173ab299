package exchange

import (
	"time"

	"go.uber.org/zap"

	"hickorypath/internal/core/kind"
)

// Ending is how one request ended.
type Ending struct {
	Request  string
	Customer string
	Class    string
	Route    string
	Pool     string
	Upstream string // the last upstream that took the request
	Started  time.Time
	Finished time.Time
	First    time.Duration // time to the first token, zero without one
	Gap      time.Duration // mean time between tokens
	Prompt   int           // tokens
	Output   int           // tokens delivered
	Wasted   int           // tokens generated and not delivered
	Attempts int
	Hedged   bool        // two of the attempts ran side by side
	Err      *kind.Error // nil for a whole answer
}

// Kind returns the kind of the error, empty for a whole answer.
func (e Ending) Kind() kind.Kind {
	if e.Err == nil {
		return ""
	}
	return e.Err.Kind()
}

// Whole returns the time from arrival to the end.
func (e Ending) Whole() time.Duration { return e.Finished.Sub(e.Started) }

func (r *Runner) finish(e Ending) {
	r.deps.Observe(e)
	fields := e.fields()
	if e.Err == nil {
		r.deps.Log.Info("request answered", fields...)
		return
	}
	fields = append(fields, zap.String("kind", string(e.Err.Kind())), zap.String("ran", string(e.Err.Ran())), zap.Error(e.Err))
	r.deps.Log.Info("request refused", fields...)
}

func (e Ending) fields() []zap.Field {
	return []zap.Field{
		zap.String("request", e.Request),
		zap.String("customer", e.Customer),
		zap.String("class", e.Class),
		zap.String("route", e.Route),
		zap.String("upstream", e.Upstream),
		zap.Int("attempts", e.Attempts),
		zap.Bool("hedged", e.Hedged),
		zap.Int("prompt", e.Prompt),
		zap.Int("output", e.Output),
		zap.Duration("first", e.First),
		zap.Duration("whole", e.Whole()),
	}
}
