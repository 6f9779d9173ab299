package upstream

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"hickorypath/internal/policy/reach"
)

// ErrUnwanted is the error of Acquire if the instance has stated, while its connection was being opened, that it wants no requests.
var ErrUnwanted = errors.New("the upstream wants no requests now")

// ErrNoTime is the error of Acquire if there was too little time to tell whether the instance answers.
var ErrNoTime = errors.New("no time is left for a connection")

// dials holds the functions that give up the connections that are being opened, by their numbers.
type dials struct {
	last   int
	cancel map[int]context.CancelCauseFunc
}

// dialWithin opens a connection to the instance within a time.
func (i *Instance) dialWithin(ctx context.Context, d time.Duration) (net.Conn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	c, err := i.dial(dialCtx)
	if err != nil && dialCtx.Err() != nil && ctx.Err() == nil && d < reach.StallTime {
		return nil, ErrNoTime
	}
	return c, err
}

// dial opens a connection to the instance. It gives up when the instance states that it wants no requests.
func (i *Instance) dial(ctx context.Context) (net.Conn, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	i.mu.Lock()
	i.dials.last++
	n, address := i.dials.last, i.entry.Address
	if i.dials.cancel == nil {
		i.dials.cancel = map[int]context.CancelCauseFunc{}
	}
	i.dials.cancel[n] = cancel
	i.mu.Unlock()
	c, err := i.dialAt(ctx, address)
	i.mu.Lock()
	delete(i.dials.cancel, n)
	i.mu.Unlock()
	if err != nil && errors.Is(context.Cause(ctx), ErrUnwanted) {
		return nil, ErrUnwanted
	}
	return c, err
}

// dialAt opens a connection to the instance at an address, and records whether the instance is within reach.
func (i *Instance) dialAt(ctx context.Context, address string) (net.Conn, error) {
	if i.reach == nil {
		return i.dialer.Dial(ctx, address)
	}
	begin := time.Now()
	stalled := time.AfterFunc(reach.StallTime, func() {
		i.reach.stalled.record(time.Now())
		i.reach.recordFailed(i, begin)
	})
	c, err := i.dialer.Dial(ctx, address)
	wasInTime := stalled.Stop()
	countDial(ctx, err)
	switch {
	case err == nil:
		i.reach.recordOpened(i)
	case ctx.Err() == nil && wasInTime:
		i.reach.refused.record(time.Now())
		i.reach.recordFailed(i, begin)
	}
	return c, err
}

// countDial counts a connection that was opened, or not, by its result.
func countDial(ctx context.Context, err error) {
	result := "opened"
	var timeout net.Error
	switch {
	case err == nil:
	case ctx.Err() != nil:
		result = "abandoned"
	case errors.As(err, &timeout) && timeout.Timeout():
		result = "timeout"
	default:
		result = "refused"
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`hickorypath_upstream_dials_total{result=%q}`, result)).Inc()
}

// abandonDials gives up the connections that are being opened.
func (i *Instance) abandonDials() {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, cancel := range i.dials.cancel {
		cancel(ErrUnwanted)
	}
}
