package exchange

import (
	"time"

	"go.uber.org/zap"

	"hickorypath/internal/gateway/upstream"
	"hickorypath/internal/policy/advisory"
)

// recordAdvisory records what an instance stated about itself in the response to a request sent at sentAt.
func (x *Exchanger) recordAdvisory(i *upstream.Instance, sentAt time.Time, s advisory.Statement) {
	if !i.RecordAdvisory(x.opts.Now(), sentAt, s) {
		return
	}
	fields := []zap.Field{zap.String("upstream", i.ID()), zap.Float64("limit", i.Limit().Rate())}
	switch {
	case !s.Limit.IsNamed():
		x.opts.Log.Info("upstream withdraws its limit", fields[0])
	case s.Limit.Unreadable() != "":
		x.opts.Log.Warn("upstream names a limit that cannot be read", append(fields, zap.String("value", s.Limit.Unreadable()))...)
	default:
		x.opts.Log.Info("upstream names a limit", fields...)
	}
}
