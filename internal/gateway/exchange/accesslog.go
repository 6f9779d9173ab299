package exchange

import (
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/time/rate"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/policy/place"
)

const (
	// successLogRate and failureLogRate bound the log lines per second for successful requests and for all
	// others.
	successLogRate = 10
	failureLogRate = 50
)

// loggedConnectTime is the time from which the wait for a connection is logged.
const loggedConnectTime = 10 * time.Millisecond

// accessLog writes one log line for each request, at a bounded rate. Lines beyond the rate are dropped and
// counted; the next line reports their number.
type accessLog struct {
	log       *zap.Logger
	now       func() time.Time
	successes *rate.Limiter
	failures  *rate.Limiter

	mu      sync.Mutex
	dropped int
}

func newAccessLog(log *zap.Logger, now func() time.Time) *accessLog {
	return &accessLog{
		log: log, now: now,
		successes: rate.NewLimiter(successLogRate, successLogRate), failures: rate.NewLimiter(failureLogRate, 2*failureLogRate),
	}
}

// write logs a request that has ended. A request that failed, got a status of 300 or more or took more than one
// attempt counts as a failure.
func (l *accessLog) write(e *exchange, err error) {
	limit := l.successes
	if err != nil || e.status >= 300 || len(e.attempts) > 1 {
		limit = l.failures
	}
	if !limit.AllowN(l.now(), 1) {
		l.mu.Lock()
		l.dropped++
		l.mu.Unlock()
		return
	}
	fields := []zap.Field{
		zap.String("id", e.info.ID), zap.Int("status", e.status), zap.Float64("ms", ms(l.now().Sub(e.arrived))),
		zap.Float64("first", ms(e.firstByteAfter)), zap.Array("attempts", attempts(e.attempts)),
	}
	if e.config != nil {
		fields = append(fields, zap.Int64("version", e.config.Version()))
	}
	if e.route != nil {
		fields = append(fields, zap.String("route", e.route.Name), zap.Int("rank", e.rank()), zap.Float64("left", ms(e.timeLeft())))
	}
	if e.service != nil {
		fields = append(fields, zap.String("service", e.service.Name))
	}
	if e.customer != nil {
		fields = append(fields, zap.String("customer", e.customer.Name))
	}
	if e.order != nil {
		fields = append(fields, zap.String("relayed", e.order.Host))
	}
	if e.waited > 0 {
		fields = append(fields, zap.Float64("waited", ms(e.waited)))
	}
	if e.info.Resumes != "" {
		fields = append(fields, zap.String("resumes", e.info.Resumes))
	}
	if e.info.LastEventID != "" {
		fields = append(fields, zap.String("after", e.info.LastEventID))
	}
	if e.lostUpstream() && len(e.info.PromptParts) > 1 {
		fields = append(fields, zap.Strings("parts", partIDs(e.info.PromptParts)))
	}
	if e.progress.count > 0 {
		fields = append(fields, zap.Int("events", e.progress.count))
	}
	if err != nil {
		fields = append(fields, zap.String("kind", string(kind.Of(err))), zap.String("error", err.Error()))
	}
	if origin := e.x.opts.ConfigOrigin; origin != nil && dependsOnConfig(err) {
		source, age := origin()
		fields = append(fields, zap.String("source", source), zap.Float64("confirmed", ms(age)))
	}
	if n := l.takeDropped(); n > 0 {
		fields = append(fields, zap.Int("omitted", n))
	}
	l.log.Info("request", fields...)
}

// dependsOnConfig reports whether a request was refused for what the configuration says of its route or key.
func dependsOnConfig(err error) bool {
	switch kind.Of(err) {
	case kind.NoRoute, kind.NoKey, kind.BadKey:
		return true
	default:
		return false
	}
}

// lostUpstream reports whether the connection of an attempt broke while the upstream ran the request.
func (e *exchange) lostUpstream() bool {
	return slices.ContainsFunc(e.attempts, func(a attempt) bool { return a.result == kind.Lost })
}

// partIDs returns the ids of the parts of a prompt, in hexadecimal. The last one belongs to the request alone and is left out.
func partIDs(parts []place.PromptPart) []string {
	return lo.Map(parts[:len(parts)-1], func(p place.PromptPart, _ int) string { return strconv.FormatUint(p.ID, 16) })
}

func (l *accessLog) takeDropped() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.dropped
	l.dropped = 0
	return n
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// attempts is a list of attempts that can be logged as an array.
type attempts []attempt

// MarshalLogArray implements zapcore.ArrayMarshaler.
func (list attempts) MarshalLogArray(enc zapcore.ArrayEncoder) error {
	for _, a := range list {
		if err := enc.AppendObject(a); err != nil {
			return err
		}
	}
	return nil
}

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (a attempt) MarshalLogObject(enc zapcore.ObjectEncoder) error {
	enc.AddString("upstream", a.upstream)
	if a.helper != "" {
		enc.AddString("helper", a.helper)
	}
	if a.version != "" {
		enc.AddString("version", a.version)
	}
	enc.AddFloat64("age", ms(a.reportAge))
	enc.AddFloat64("ms", ms(a.duration))
	if a.tokensAhead > 0 {
		enc.AddInt("ahead", a.tokensAhead)
	}
	if a.cachedTokens > 0 {
		enc.AddInt("held", a.cachedTokens)
	}
	if a.copySource != "" {
		enc.AddString("source", a.copySource)
	}
	if a.limit.IsNamed() {
		enc.AddFloat64("limit", a.limit.Rate())
	}
	if a.connected >= loggedConnectTime {
		enc.AddFloat64("connected", ms(a.connected))
	}
	if a.sent && a.pauseLeft > 0 {
		enc.AddFloat64("paused", ms(a.pauseLeft))
	}
	if a.leaving {
		enc.AddBool("leaving", true)
	}
	if a.pause > 0 {
		enc.AddFloat64("pause", ms(a.pause))
	}
	if a.framing != "" {
		enc.AddString("framing", a.framing)
	}
	if a.unfinished > 0 {
		enc.AddInt("unfinished", a.unfinished)
	}
	if a.unsent > 0 {
		enc.AddInt("unsent", a.unsent)
	}
	if a.silent > 0 {
		enc.AddFloat64("silent", ms(a.silent))
	}
	if a.moved {
		enc.AddBool("moved", true)
	}
	if a.helper != "" && a.arrivals > 0 {
		enc.AddInt("arrivals", a.arrivals)
	}
	if a.superseded {
		enc.AddBool("superseded", true)
	}
	if a.result != "" {
		enc.AddString("kind", string(a.result))
		enc.AddBool("sent", a.sent)
	}
	return nil
}
