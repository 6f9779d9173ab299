package main

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"hickorypath/internal/caller/exchange"
	"hickorypath/internal/core/kind"
	"hickorypath/internal/policy/burn"
)

// requestMetrics records the metrics of callers' requests. Labels are classes, pools and kinds, never customers, so that
// the document limits the number of time series.
type requestMetrics struct {
	set *metrics.Set
}

func newRequestMetrics(set *metrics.Set) *requestMetrics {
	return &requestMetrics{set: set}
}

// observe records the metrics of one finished request.
func (g *requestMetrics) observe(e exchange.RequestSummary) {
	kind := string(e.Kind())
	if kind == "" {
		kind = "none"
	}
	labels := fmt.Sprintf(`class=%q,pool=%q`, e.Class, e.Pool)
	g.set.GetOrCreateCounter(fmt.Sprintf(`hickorypath_requests_total{%s,kind=%q}`, labels, kind)).Inc()
	if e.Hedged {
		g.set.GetOrCreateCounter(fmt.Sprintf(`hickorypath_hedges_total{%s}`, labels)).Inc()
	}
	g.set.GetOrCreateCounter(fmt.Sprintf(`hickorypath_output_tokens_total{%s}`, labels)).Add(e.OutputTokens)
	g.set.GetOrCreateCounter(fmt.Sprintf(`hickorypath_wasted_tokens_total{%s}`, labels)).Add(e.WastedTokens)
	if e.TimeToFirstToken > 0 {
		g.set.GetOrCreateHistogram(fmt.Sprintf(`hickorypath_first_token_seconds{%s}`, labels)).Update(e.TimeToFirstToken.Seconds())
	}
	if e.TokenGapP95 > 0 {
		g.set.GetOrCreateHistogram(fmt.Sprintf(`hickorypath_token_gap_seconds{%s}`, labels)).Update(e.TokenGapP95.Seconds())
	}
}

// newBurnCall converts a finished request into a call that counts against the service level of its class. A request does
// not count when its caller canceled it, when its key was withdrawn, when it was refused because of its content or its
// idempotency key, or when a limit of its customer refused it.
func newBurnCall(e exchange.RequestSummary) (c burn.Call, counts bool) {
	switch e.Kind() {
	case kind.Canceled, kind.Withdrawn, kind.TooLarge, kind.Invalid, kind.RateLimit, kind.TokenLimit, kind.ConcurrencyLimit,
		kind.Quarantined, kind.AlreadyRunning, kind.PriorOutcomeUnknown:
		return burn.Call{}, false
	}
	return burn.Call{
		Customer:     e.Customer,
		Class:        e.Class,
		Pool:         e.Pool,
		FirstToken:   e.TimeToFirstToken,
		TokenGap:     e.TokenGapP95,
		Total:        e.Duration(),
		OutputTokens: e.OutputTokens,
		WastedTokens: e.WastedTokens,
		Missed:       e.Err != nil,
	}, true
}
