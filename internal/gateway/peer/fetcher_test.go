package peer_test

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/gateway/config"
	"hickorypath/internal/gateway/peer"
	"hickorypath/internal/standin/memnet"
)

// TestFetchIsNeverOverInTime guards against a transfer that is given up after a fixed time, however large it is and slow the link,
// and begins anew.
func TestFetchIsNeverOverInTime(t *testing.T) {
	cases := []struct {
		name  string
		bytes int
		mbps  float64
	}{
		{"small, fast link", 10_000, 200},
		{"large, slow link", 1_000_000, 10},
		{"large, very slow link", 1_000_000, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				text := make([]byte, c.bytes)
				random := rand.New(rand.NewPCG(1, 2))
				for i := range text {
					text[i] = byte(random.Uint32()) // does not shrink
				}
				n := memnet.New()
				source, receiver := newTransport(t, n, "10.0.0.1", string(text)), newTransport(t, n, "10.0.0.2", "")
				n.AddHost("10.0.0.1", c.mbps*1e6/8, time.Millisecond)
				stop := n.Serve("10.0.0.1:7001", source.Handler())
				got := make(chan []byte, 1)
				f := peer.NewFetcher(peer.FetcherOptions{
					Pick: func(_ time.Time, _ bool, skip func(string) bool) string {
						if len(got) > 0 || skip("10.0.0.1:7001") {
							return ""
						}
						return "10.0.0.1:7001"
					},
					Fetch: func(ctx context.Context, address string) error {
						packed, err := receiver.FetchConfig(ctx, address)
						if err == nil {
							got <- packed
						}
						return err
					},
					FollowsStore: func() bool { return false }, Log: zap.NewNop(), Now: time.Now,
				})
				go f.Run(t.Context())
				time.Sleep(time.Minute)
				is.Equal(len(got), 1)
				data, err := config.Unpack(<-got)
				is.NoErr(err)
				is.True(slices.Equal(data, text))
				stop()
				time.Sleep(time.Minute)
			})
		})
	}
}

// TestFetcher checks which hosts are asked, and how long it takes, while some of them do not serve what this host needs.
func TestFetcher(t *testing.T) {
	type source struct {
		otherZone bool
		takes     time.Duration // until the transfer ends
		err       error
	}
	busy := kind.New(kind.Overload, "busy")
	failed := kind.New(kind.Peer, "failed")
	cases := []struct {
		name         string
		sources      []source // asked in this order
		followsStore bool
		want         int           // the source that serves the data
		least, most  time.Duration // until the data is there
	}{
		{"one source", []source{{}}, false, 0, 0, 0},
		{"the store is faster", []source{{}}, true, 0, 300 * time.Millisecond, 300 * time.Millisecond},
		{"another zone", []source{{otherZone: true}}, false, 0, 500 * time.Millisecond, 600 * time.Millisecond},
		{"another zone, follows the store", []source{{otherZone: true}}, true, 0, 300 * time.Millisecond, 300 * time.Millisecond},
		{"the first is busy", []source{{err: busy}, {}}, false, 1, 0, 0},
		{"the first fails", []source{{err: failed}, {}}, false, 1, 0, 0},
		{"the first is slow without end", []source{{takes: time.Hour}, {}}, false, 1, time.Second, time.Second},
		{"all of the zone fail", []source{{err: failed}, {err: failed}, {otherZone: true}}, false, 2, 500 * time.Millisecond, 600 * time.Millisecond},
		{"slow, alone", []source{{takes: 7 * time.Second}}, false, 0, 7 * time.Second, 20 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var served atomic.Int64
				served.Store(-1)
				address := func(i int) string { return string(rune('a' + i)) }
				f := peer.NewFetcher(peer.FetcherOptions{
					Pick: func(_ time.Time, otherZones bool, skip func(string) bool) string {
						for i, s := range c.sources {
							if served.Load() < 0 && !skip(address(i)) && (otherZones || !s.otherZone) {
								return address(i)
							}
						}
						return ""
					},
					Fetch: func(ctx context.Context, a string) error {
						i := int(a[0] - 'a')
						select {
						case <-time.After(c.sources[i].takes):
						case <-ctx.Done():
							return kind.Wrap(ctx.Err(), kind.Peer, "slow")
						}
						if c.sources[i].err == nil {
							served.Store(int64(i))
						}
						return c.sources[i].err
					},
					FollowsStore: func() bool { return c.followsStore }, Log: zap.NewNop(), Now: time.Now,
				})
				start := time.Now()
				go f.Run(t.Context())
				for served.Load() < 0 && time.Since(start) < time.Minute {
					time.Sleep(time.Millisecond)
				}
				is.Equal(served.Load(), int64(c.want))
				took := time.Since(start).Truncate(2 * time.Millisecond)
				is.True(took >= c.least)
				is.True(took <= c.most)
			})
		})
	}
}
