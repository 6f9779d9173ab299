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

// TestSilentSecondOfTheNetworkBreaksStreams guards against streams that are given up when a sound engine and its network are silent for a
// second, while other engines answer.
func TestSilentSecondOfTheNetworkBreaksStreams(t *testing.T) {
	for _, silence := range []time.Duration{500 * time.Millisecond, time.Second, 1500 * time.Millisecond} {
		t.Run(fmt.Sprint(silence), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				network := memnet.New()
				var isDark atomic.Bool
				e := standin.New(standin.Options{Model: "m", TokenInterval: 20 * time.Millisecond})
				defer network.Serve(addr, e.Handler())()
				defer network.Serve("a2:80", standin.New(standin.Options{Model: "m"}).Handler())()
				reach := httpclient.NewReach("z", func(ctx context.Context, tcp, to string) (net.Conn, error) {
					for to == addr && isDark.Load() {
						select {
						case <-ctx.Done():
							return nil, ctx.Err()
						case <-time.After(10 * time.Millisecond): // the opening packet is sent again
						}
					}
					return network.Dial(ctx, tcp, to)
				}, zap.NewNop())
				reach.SetUpstreams(map[string][]httpclient.Endpoint{"p": {{Addr: addr}, {Addr: "a2:80"}}})
				ctx, cancel := context.WithCancel(t.Context())
				go reach.Run(ctx)
				client := engine.New(engine.Options{Clock: clock.NewWall(), Dial: reach.Dial, ControlDial: reach.DialControl})
				time.AfterFunc(90*time.Millisecond, func() {
					isDark.Store(true)
					e.Freeze()
					time.AfterFunc(silence, func() {
						isDark.Store(false)
						e.Restore()
					})
					_, err := reach.Dial(ctx, "tcp", addr) // for another request
					is.True(err != nil)
				})
				s, err := client.Chat(t.Context(), addr, engine.Call{AttemptID: "t1", Body: []byte(streamedBody), Stream: true})
				is.NoErr(err)
				events, err := readAll(s)
				s.Close()
				is.NoErr(err)
				is.Equal(events[len(events)-1].Offset, 12)
				time.Sleep(3 * time.Second)
				client.Close()
				cancel()
				synctest.Wait()
			})
		})
	}
}
