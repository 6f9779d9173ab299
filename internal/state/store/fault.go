package store

import (
	"context"
	"time"

	"hickorypath/internal/core/kind"
)

// Faults are the faults that a Memory simulates.
type Faults struct {
	Down        bool          `json:"down"`   // calls fail without effect
	Latency     time.Duration `json:"slow"`   // delay of each call
	LoseReplies int           `json:"lose"`   // number of coming writes that take effect but get no response
	DropCalls   int           `json:"drop"`   // number of coming calls that get lost before they take effect
	Silent      bool          `json:"silent"` // calls get no response and have no effect
	KeepLeases  bool          `json:"keep"`   // leases do not expire; the time during which KeepLeases is set does not count for them
}

// SetFaults replaces the faults.
func (m *Memory) SetFaults(f Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.endExpiredLeases()
	if now := m.clock.Boot(); m.faults.KeepLeases {
		for id, g := range m.leases {
			g.expiresAt += now - m.faultsSetAt
			m.leases[id] = g
		}
	}
	m.faults, m.faultsSetAt = f, m.clock.Boot()
	m.wakeWatches()
}

// Faults returns the faults now in force.
func (m *Memory) Faults() Faults {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.faults
}

// applyFaults counts a call and applies the faults that strike before the call takes effect. A nil result means
// that the call goes on.
func (m *Memory) applyFaults(ctx context.Context) error {
	m.mu.Lock()
	m.calls++
	f := m.faults
	if f.DropCalls > 0 && !f.Down {
		m.faults.DropCalls--
	}
	m.mu.Unlock()
	if f.Down {
		return kind.New(kind.Store, "the store is down")
	}
	if f.Silent || f.DropCalls > 0 {
		<-ctx.Done()
		return kind.Wrap(ctx.Err(), kind.OutcomeUnknown, "no answer")
	}
	if f.Latency > 0 && !sleep(ctx, f.Latency) {
		return kind.Wrap(ctx.Err(), kind.OutcomeUnknown, "no answer")
	}
	return nil
}

// losesReply reports whether the response to a call is to be lost, which happens to writes only.
func (m *Memory) losesReply(write bool) bool {
	if !write || m.faults.LoseReplies == 0 {
		return false
	}
	m.faults.LoseReplies--
	return true
}

// callWithFaults runs fn as one call of m, under the faults in force and with m locked. The call counts as a write
// for Faults.LoseReplies if write is set.
func callWithFaults[T any](ctx context.Context, m *Memory, write bool, fn func() (T, error)) (T, error) {
	var zero T
	if err := m.applyFaults(ctx); err != nil {
		return zero, err
	}
	m.mu.Lock()
	m.endExpiredLeases()
	out, err := fn()
	RecordEra(ctx, m.era)
	lose := m.losesReply(write)
	m.mu.Unlock()
	if lose {
		<-ctx.Done()
		return zero, kind.Wrap(ctx.Err(), kind.OutcomeUnknown, "no answer")
	}
	return out, err
}
