package engine_test

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"hickorypath/internal/core/clock"
	standin "hickorypath/internal/standin/engine"
	"hickorypath/internal/standin/memnet"
	"hickorypath/internal/upstream/engine"
	"hickorypath/internal/upstream/httpclient"
)

// TestSilentSecondOfAllEnginesBreaksStreams guards against streams that are given up when all engines and their network are silent for a second.
func TestSilentSecondOfAllEnginesBreaksStreams(t *testing.T) {
	for _, silence := range []time.Duration{500 * time.Millisecond, time.Second, 1300 * time.Millisecond, 1500 * time.Millisecond} {
		for _, after := range []time.Duration{10 * time.Millisecond, 90 * time.Millisecond} { // before the first token, and within the stream
			t.Run(fmt.Sprint(silence, " after ", after), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					network := memnet.New()
					var isDark atomic.Bool
					e := standin.New(standin.Options{Model: "m", TokenInterval: 20 * time.Millisecond})
					defer network.Serve(addr, e.Handler())()
					for _, other := range []string{"b1:80", "b2:80", "b3:80"} {
						defer network.Serve(other, standin.New(standin.Options{Model: "m"}).Handler())()
					}
					reach := httpclient.NewReach("z", func(ctx context.Context, tcp, to string) (net.Conn, error) {
						for isDark.Load() {
							select {
							case <-ctx.Done():
								return nil, ctx.Err()
							case <-time.After(10 * time.Millisecond): // the opening packet is sent again
							}
						}
						return network.Dial(ctx, tcp, to)
					}, zap.NewNop())
					reach.SetUpstreams(map[string][]httpclient.Endpoint{"p": {{Addr: addr}, {Addr: "b1:80"}, {Addr: "b2:80"}, {Addr: "b3:80"}}})
					reach.SetAlone(func() bool { return false })
					ctx, cancel := context.WithCancel(t.Context())
					go reach.Run(ctx)
					client := engine.New(engine.Options{Clock: clock.NewWall(), Dial: reach.Dial, ControlDial: reach.DialControl})
					time.AfterFunc(after, func() {
						isDark.Store(true)
						e.Freeze()
						time.AfterFunc(silence, func() {
							isDark.Store(false)
							e.Restore()
						})
						_, _ = reach.Dial(ctx, "tcp", addr) // for another request
					})
					s, err := client.Chat(t.Context(), addr, engine.Call{AttemptID: "t1", Body: []byte(streamedBody), Stream: true})
					is.NoErr(err)
					events, err := readAll(s)
					s.Close()
					time.Sleep(3 * time.Second)
					client.Close()
					cancel()
					synctest.Wait()
					is.NoErr(err)
					is.Equal(events[len(events)-1].Offset, 12)
				})
			})
		}
	}
}
