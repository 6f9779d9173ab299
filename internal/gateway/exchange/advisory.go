package exchange

import (
	"time"

	"go.uber.org/zap"

	"hickorypath/internal/gateway/upstream"
)

// recordStatements records what an instance stated about itself in its response to a request that was sent at sentAt. Statements in the
// response of another instance are ignored.
func (x *Exchanger) recordStatements(i *upstream.Instance, sentAt time.Time, r ResponseInfo) {
	if r.Misdirected {
		return
	}
	now, s := x.opts.Now(), r.Advisory
	if r.HasLoad {
		i.SetLoad(upstream.Load{Running: r.Running, Waiting: r.Waiting, Slots: r.Slots, Slowdown: r.Slowdown, At: now})
	}
	if r.Slowdown > 0 {
		x.mu.Lock()
		x.service(i.Entry().Service).reportsSpeed = true
		x.mu.Unlock()
	}
	n := i.RecordAdvisory(now, sentAt, s)
	if n.Brittle {
		x.opts.Log.Info("upstream states whether it is brittle", zap.String("upstream", i.ID()), zap.Bool("brittle", s.Brittle.IsStated()),
			zap.Int("rejections", s.Brittle.Rejections()), zap.String("unreadable", s.Brittle.Unreadable()))
	}
	if n.Leaving {
		x.logLeaving(i, "", s.Leaving.Unreadable())
	}
	if s.Pause.Unreadable() != "" {
		x.opts.Log.Warn("upstream asks for a pause that cannot be read", zap.String("upstream", i.ID()), zap.String("value", s.Pause.Unreadable()),
			zap.Duration("pause", s.Pause.Length()))
	}
	if n == (upstream.News{}) {
		return
	}
	x.opts.NotifyPeers()
	if !n.Limit {
		return
	}
	if s.Limit.Unreadable() != "" {
		x.opts.Log.Warn("upstream names a limit that cannot be read", zap.String("upstream", i.ID()),
			zap.String("value", s.Limit.Unreadable()), zap.Float64("limit", i.Limit().Rate()))
	} else {
		x.logLimit(i, "")
	}
}

// lateResponseTime is how long after the deadline of a request its response is awaited for what it states about the upstream. An
// upstream that has kept a request waiting turns it away at the deadline.
const lateResponseTime = 300 * time.Millisecond

// awaitLateResponse records what an instance states in a response that comes after the deadline of its request, and closes the
// connection.
func (x *Exchanger) awaitLateResponse(c *upstream.Conn, i *upstream.Instance, sentAt time.Time, id, method string) {
	defer c.Close()
	if c.SetReadDeadline(time.Now().Add(lateResponseTime)) != nil {
		return
	}
	resp, _, err := c.Receive([]byte(method))
	if err != nil {
		return
	}
	if answer := x.opts.Codec.DecodeResponse(resp); answer.concerns(id, c.HasServed()) {
		x.recordStatements(i, sentAt, answer)
	}
}

// ApplyDepartures records which instances leave, as another host has told.
func (x *Exchanger) ApplyDepartures(now time.Time, host string, told map[string]upstream.Departure) {
	for _, i := range x.opts.Table.MergeDepartures(now, told) {
		x.logLeaving(i, host, "")
	}
}

// logLeaving logs whether an instance states that it leaves. The host told of it, and is empty for this host; the value is that of
// the statement if it could not be read.
func (x *Exchanger) logLeaving(i *upstream.Instance, host, value string) {
	fields := []zap.Field{zap.String("upstream", i.ID())}
	if host != "" {
		fields = append(fields, zap.String("peer", host))
	}
	if value != "" {
		fields = append(fields, zap.String("value", value))
	}
	if _, ok := i.LeavingFor(x.opts.Now()); ok {
		x.opts.Log.Info("upstream states that it leaves", fields...)
	} else {
		x.opts.Log.Info("upstream no longer states that it leaves", fields...)
	}
}

// ApplyAdvisories records what another host has told of what instances stated about themselves.
func (x *Exchanger) ApplyAdvisories(now time.Time, host string, told map[string]upstream.Advisory) {
	for _, i := range x.opts.Table.MergeAdvisories(now, told) {
		x.logLimit(i, host)
	}
}

// logLimit logs the new limit of an instance. The host told of the limit; it is empty for this host.
func (x *Exchanger) logLimit(i *upstream.Instance, host string) {
	fields := []zap.Field{zap.String("upstream", i.ID())}
	if host != "" {
		fields = append(fields, zap.String("peer", host))
	}
	if limit := i.Limit(); limit.IsNamed() {
		x.opts.Log.Info("upstream names a limit", append(fields, zap.Float64("limit", limit.Rate()))...)
	} else {
		x.opts.Log.Info("upstream withdraws its limit", fields...)
	}
}
