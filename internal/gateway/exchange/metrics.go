package exchange

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"hickorypath/internal/core/kind"
)

// measure records the metrics of a request that has ended.
func (e *exchange) measure(err error, now time.Time) {
	service, result := "none", "answered"
	if e.service != nil {
		service = e.service.Name
	}
	if err != nil {
		result = string(kind.Of(err))
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`hickorypath_requests_total{service=%q,result=%q,status="%d"}`, service, result, e.status)).Inc()
	if e.service == nil {
		return
	}
	if e.firstByteAfter > 0 {
		metrics.GetOrCreateHistogram(fmt.Sprintf(`hickorypath_first_byte_seconds{service=%q}`, service)).Update(e.firstByteAfter.Seconds())
	}
	metrics.GetOrCreateHistogram(fmt.Sprintf(`hickorypath_request_seconds{service=%q}`, service)).Update(now.Sub(e.arrived).Seconds())
	if e.waited > 0 {
		metrics.GetOrCreateHistogram(fmt.Sprintf(`hickorypath_line_seconds{service=%q}`, service)).Update(e.waited.Seconds())
	}
	for _, a := range e.attempts {
		result := "answered"
		switch {
		case a.superseded:
			result = "superseded"
		case a.failed:
			result = string(a.result)
		}
		metrics.GetOrCreateCounter(fmt.Sprintf(`hickorypath_attempts_total{service=%q,result=%q}`, service, result)).Inc()
		if a.sent && a.limit.IsNamed() {
			metrics.GetOrCreateCounter(fmt.Sprintf(`hickorypath_limited_attempts_total{service=%q}`, service)).Inc()
		}
		if a.sent && a.pauseLeft > 0 {
			metrics.GetOrCreateCounter(fmt.Sprintf(`hickorypath_paused_attempts_total{service=%q}`, service)).Inc()
		}
		if a.moved {
			metrics.GetOrCreateCounter(fmt.Sprintf(`hickorypath_moved_attempts_total{service=%q}`, service)).Inc()
		}
		if a.silent > 0 {
			metrics.GetOrCreateCounter(fmt.Sprintf(`hickorypath_silent_attempts_total{service=%q}`, service)).Inc()
		}
		if a.framing != "" {
			metrics.GetOrCreateCounter(fmt.Sprintf(`hickorypath_responses_total{service=%q,framing=%q,unfinished="%t"}`, service, a.framing, a.unfinished > 0)).Inc()
		}
	}
}
