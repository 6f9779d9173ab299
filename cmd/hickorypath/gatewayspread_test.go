package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"hickorypath/internal/core/clock"
	"hickorypath/internal/gateway/config"
	"hickorypath/internal/gateway/settings"
	"hickorypath/internal/gateway/upstream"
	"hickorypath/internal/standin/memnet"
	"hickorypath/internal/standin/platformapi"
	"hickorypath/platform"
)

const (
	megabit     = 1e6 / 8 // bytes
	slowLink    = 10      // Mbit/s
	fastLink    = 200     // Mbit/s
	storeLink   = 1000    // Mbit/s
	hostLatency = 700 * time.Microsecond
)

// configFleet is a fleet of gateway hosts in virtual time, which follow a store over links of limited bandwidth and serve no
// requests.
type configFleet struct {
	t        *testing.T
	net      *memnet.Net
	platform *platformapi.Platform
	wrap     func(store http.Handler) http.Handler // changes what the hosts see of the store; nil for no change
	hosts    []*gateway
	stops    []context.CancelFunc // end a host without notice
	version  int
	serves   bool // the hosts serve callers at port 8000
	rand     *rand.Rand
	routes   []map[string]any
	decoded  sync.Map // *config.Config by hash of its encoded form
}

// newConfigFleet starts hosts in zones, of which the first fast ones of each zone have a fast link, and waits until they know
// each other and a small configuration. It must be called in a synctest bubble.
func newConfigFleet(t *testing.T, hosts, zones, fast int) *configFleet {
	t.Helper()
	f := &configFleet{t: t, net: memnet.New(), platform: platformapi.New(clock.NewWall()), rand: rand.New(rand.NewPCG(1, 2))}
	f.run(hosts, zones, fast)
	return f
}

// run starts the store and the hosts.
func (f *configFleet) run(hosts, zones, fast int) {
	t := f.t
	f.net.AddHost("10.200.1.7", storeLink*megabit, hostLatency)
	var handler http.Handler = f.platform
	if f.wrap != nil {
		handler = f.wrap(handler)
	}
	stop := f.net.Serve("10.200.1.7:80", handler)
	t.Cleanup(func() {
		stop()
		time.Sleep(5 * time.Second) // until the goroutines of the hosts have ended
	})
	f.addRoutes(1)
	f.put()
	for i := range hosts {
		mbps := slowLink
		if i/zones < fast {
			mbps = fastLink
		}
		f.start(i, i%zones, mbps)
	}
	time.Sleep(12 * time.Second)
}

// start starts a host whose link has mbps Mbit/s.
func (f *configFleet) start(i, zone, mbps int) {
	is := is.New(f.t)
	ip := fmt.Sprintf("10.%d.%d.%d", zone+1, i/250, i%250+1)
	link := f.net.AddHost(ip, float64(mbps)*megabit, hostLatency)
	s := settings.Settings{
		Host: "host-" + strconv.Itoa(i), Zone: "zone-" + strconv.Itoa(zone), IP: ip, InternalPorts: [2]int{7000, 7015},
		Resources: settings.Resources{LinkMbps: float64(mbps), MemoryBytes: 134 << 20, FileDescriptors: 4100}, Bounds: settings.Bounds{GracePeriod: 8 * time.Second, ContactTime: 3 * time.Second, UsageWindow: 5 * time.Second, RetryRatio: 0.2, MinRetries: 50, RetryWindow: 10 * time.Second}, Store: settings.Store{Address: "10.200.1.7:80"},
	}
	g, err := newGateway(s, clock.NewWall(), machine{
		dial: link.Dial, dialHost: withTimeout(link.Dial, hostDialTimeout), decodeConfig: f.decode, upstreams: upstream.NewDialerFunc(withTimeout(link.Dial, 1200*time.Millisecond)),
		listen:       func(address string) (net.Listener, error) { return f.net.Listen(address), nil },
		listenPacket: func(address string) (net.PacketConn, error) { return link.ListenPacket(address), nil },
	}, zap.NewNop())
	is.NoErr(err)
	ctx, stop := context.WithCancel(f.t.Context())
	is.NoErr(g.startSync(ctx))
	if f.serves {
		go g.exchange.Run(ctx)
		go g.sweepIdle(ctx)
		callers := f.net.Listen(ip + ":8000")
		context.AfterFunc(ctx, func() { _ = callers.Close() })
		go func() { _ = g.server.Serve(ctx, callers) }() // returns when the listener is closed
	}
	f.hosts, f.stops = append(f.hosts, g), append(f.stops, stop)
}

// withTimeout returns a function that dials for at most d.
func withTimeout(dial func(context.Context, string) (net.Conn, error), d time.Duration) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, d)
		defer cancel()
		return dial(ctx, address)
	}
}

// decode decodes each configuration once for all hosts.
func (f *configFleet) decode(data []byte) (*config.Config, error) {
	hash := xxhash.Sum64(data)
	if c, ok := f.decoded.Load(hash); ok {
		return c.(*config.Config), nil
	}
	c, err := platform.DecodeConfig(data)
	if err == nil {
		f.decoded.Store(hash, c)
	}
	return c, err
}

// addRoutes adds routes to the next configuration.
func (f *configFleet) addRoutes(n int) {
	word := func(n int) string {
		b := make([]byte, n)
		for i := range b {
			b[i] = "abcdefghijklmnopqrstuvwxyz0123456789"[f.rand.IntN(36)]
		}
		return string(b)
	}
	for range n {
		f.routes = append(f.routes, map[string]any{
			"name": "r-" + word(8), "host": "ficu95.example", "prefix": "/" + word(8) + "/", "kind": "idempotent", "timeoutMs": 1500, "targetLatencyMs": 300,
			"priority": 2, "service": "svc", "maxAttempts": 2, "authExempt": false, "resumable": false,
		})
	}
}

// put writes the next configuration to the store and returns its size in bytes.
func (f *configFleet) put() int {
	is := is.New(f.t)
	f.version++
	data, err := json.Marshal(map[string]any{"version": f.version, "routes": f.routes, "services": []any{map[string]any{"name": "svc"}}})
	is.NoErr(err)
	is.NoErr(f.platform.Put(context.Background(), platform.ConfigKey, data))
	return len(data)
}

// awaitVersion waits until all hosts have the latest configuration, but for at most limit. It returns the times after which
// the hosts had it, in sorted order.
func (f *configFleet) awaitVersion(limit time.Duration) []time.Duration {
	const step = 10 * time.Millisecond
	var took []time.Duration
	done := make([]bool, len(f.hosts))
	for d := time.Duration(0); d <= limit && len(took) < len(f.hosts); d += step {
		for i, g := range f.hosts {
			if !done[i] && g.configVersion() >= int64(f.version) {
				done[i] = true
				took = append(took, d)
			}
		}
		time.Sleep(step)
	}
	slices.Sort(took)
	return took
}

// TestLargeConfigurationIsLateOnSomeHosts guards against configurations that reach the hosts with slow links too late, or not at
// all, the larger they are.
func TestLargeConfigurationIsLateOnSomeHosts(t *testing.T) {
	const bound = 2 * time.Second // from the acknowledgement until the configuration is in force on all hosts
	cases := []struct {
		name               string
		hosts, zones, fast int
		routes             int
	}{
		{"80 hosts, 12 KB", 80, 4, 2, 60},
		{"80 hosts, 284 KB", 80, 4, 2, 1360},
		{"80 hosts, 823 KB", 80, 4, 2, 3940},
		{"40 hosts with slow links, 823 KB", 40, 2, 0, 3940},
		{"350 hosts, 2.9 MB", 350, 15, 2, 13900},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if testing.Short() && c.hosts > 100 {
				t.Skip("a fleet of 350 hosts takes too long under the race detector")
			}
			synctest.Test(t, func(t *testing.T) {
				f := newConfigFleet(t, c.hosts, c.zones, c.fast)
				for _, change := range []int{c.routes, 1} {
					f.addRoutes(change)
					size := f.put()
					took := f.awaitVersion(10 * time.Second)
					t.Logf("%d bytes: %d of %d hosts, median %s, last %s", size, len(took), len(f.hosts), took[len(took)/2], took[len(took)-1])
					if len(took) < len(f.hosts) || took[len(took)-1] > bound {
						t.Errorf("not in force on all hosts within %s", bound)
					}
				}
			})
		})
	}
}

// TestHostsFollowTheStoreNeedlessly guards against hosts of a large fleet that read everything from the store at once, because they
// have not heard of the hosts that follow it for them, or because these have gone.
func TestHostsFollowTheStoreNeedlessly(t *testing.T) {
	const followers = 2 // in each zone
	cases := []struct {
		name         string
		hosts, zones int
		calm         time.Duration
		gone         bool // the followers of the first zone go
		most         int  // hosts of the first zone that start to follow the store
	}{
		{"80 hosts", 80, 4, time.Minute, false, 0},
		{"350 hosts", 350, 15, 10 * time.Second, false, 0},
		{"80 hosts, followers go", 80, 4, time.Second, true, 2 * followers},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if testing.Short() && c.hosts > 100 {
				t.Skip("a fleet of 350 hosts takes too long under the race detector")
			}
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newConfigFleet(t, c.hosts, c.zones, followers)
				following := make([]bool, c.hosts)
				started := 0
				observe := func(d time.Duration) {
					for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
						for i, g := range f.hosts {
							if now := g.watcher.IsWatching(); now != following[i] {
								following[i] = now
								if now {
									started++
								}
							}
						}
					}
				}
				observe(20 * time.Millisecond)
				is.Equal(started, followers*c.zones)
				started = 0
				observe(c.calm)
				is.Equal(started, 0)
				if !c.gone {
					return
				}
				for i, follows := range following {
					if follows && f.hosts[i].settings.Zone == f.hosts[0].settings.Zone {
						f.stops[i]()
					}
				}
				observe(5 * time.Second)
				is.True(started >= followers)
				if started > c.most {
					t.Errorf("%d hosts started to follow the store, at most %d may", started, c.most)
				}
			})
		})
	}
}
