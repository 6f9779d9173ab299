package upstream_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"hickorypath/internal/gateway/upstream"
)

// TestHostMistakesWhatItReaches checks what a host concludes from upstreams that do not answer: whether it is cut off, how soon, and
// how many connections it tries.
func TestHostMistakesWhatItReaches(t *testing.T) {
	const perZone = 4
	cases := []struct {
		name     string
		hangs    func(zone int, upstream string) bool // the host is in zone 0
		refuses  string                               // prefix of the upstreams that refuse connections rather than hang
		cut      bool
		refusing bool // the upstreams are not silent
	}{
		{"one upstream", func(_ int, upstream string) bool { return upstream == "z0-0" }, "none", false, false},
		{"one upstream, refused", func(_ int, upstream string) bool { return upstream == "z0-0" }, "z", false, true},
		{"its zone's upstreams", func(zone int, _ string) bool { return zone == 0 }, "none", false, false},
		{"other zones", func(zone int, _ string) bool { return zone != 0 }, "none", false, false},
		{"all", func(int, string) bool { return true }, "none", true, false},
		{"all, refused", func(int, string) bool { return true }, "z", true, true},
		{"all, some refused", func(int, string) bool { return true }, "z0", true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var dials atomic.Int64
				var healed atomic.Bool
				table := upstream.NewTable("z0", upstream.NewDialerFunc(func(ctx context.Context, address string) (net.Conn, error) {
					dials.Add(1)
					id := strings.TrimSuffix(address, ":80")
					if c.hangs(int(id[1]-'0'), id) && !healed.Load() {
						if strings.HasPrefix(id, c.refuses) {
							return nil, errors.New("refused")
						}
						<-ctx.Done()
						return nil, ctx.Err()
					}
					near, far := net.Pipe()
					go func() { _, _ = far.Read(make([]byte, 1)) }()
					return near, nil
				}), zap.NewNop())
				stop := make(chan struct{})
				go func() {
					for {
						select {
						case <-stop:
							return
						case <-time.After(upstream.ReturnInterval):
							table.TryOutOfReach()
						}
					}
				}()
				for zone := range 3 {
					for n := range perZone {
						id := fmt.Sprintf("z%d-%d", zone, n)
						table.Put(time.Now(), upstream.Entry{ID: id, Service: "svc", Zone: fmt.Sprint("z", zone), Address: id + ":80"})
					}
				}
				for range 20 { // requests, each to an upstream that has not answered yet
					for _, i := range table.All() {
						if c.hangs(int(i.ID()[1]-'0'), i.ID()) {
							ctx, cancel := context.WithTimeout(t.Context(), time.Second)
							go func() {
								defer cancel()
								if conn, err := i.Acquire(ctx, time.Now(), false, time.Minute); err == nil {
									conn.Close()
								}
							}()
							break
						}
					}
					time.Sleep(45 * time.Millisecond)
				}
				is.Equal(table.IsCut("svc"), c.cut) // within 0.9 s
				is.Equal(table.IsRefusing("svc"), c.refusing)
				is.True(dials.Load() <= 60)
				is.Equal(len(table.CutServices()), map[bool]int{true: 1}[c.cut])
				healed.Store(true)
				time.Sleep(600 * time.Millisecond)
				is.True(!table.IsCut("svc"))
				for _, i := range table.All() {
					is.True(!i.IsOutOfReach())
				}
				time.Sleep(2 * time.Second)
				close(stop)
				for _, i := range table.All() {
					i.Sweep(time.Now().Add(time.Hour))
				}
			})
		})
	}
}

// TestServiceThatIsGoneIsOutOfReach guards against a host that goes on trying a service whose upstreams have all gone.
func TestServiceThatIsGoneIsOutOfReach(t *testing.T) {
	is := is.New(t)
	table := upstream.NewTable("z1", upstream.NewDialerFunc(func(context.Context, string) (net.Conn, error) { return nil, errors.New("refused") }), zap.NewNop())
	var changes []bool
	table.OnCutChange = func(_ string, isCut bool) { changes = append(changes, isCut) }
	table.Put(time.Now(), entry())
	_, err := table.Get("u1").Acquire(t.Context(), time.Now(), true, time.Minute)
	is.True(err != nil)
	is.True(table.IsCut(entry().Service))
	table.Remove(time.Now(), "u1")
	table.TryOutOfReach()
	is.True(!table.IsCut(entry().Service))
	is.Equal(table.CutServices(), nil)
	is.Equal(changes, []bool{true, false})
}

// TestSurvivorIsFoundAtOnce guards against a host that leaves the one upstream that answers unused until its next tries.
func TestSurvivorIsFoundAtOnce(t *testing.T) {
	const survivor = "u0:80"
	for range 20 { // the order of the tries is random
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			table := upstream.NewTable("z0", upstream.NewDialerFunc(func(_ context.Context, address string) (net.Conn, error) {
				if address != survivor {
					return nil, errors.New("refused")
				}
				near, far := net.Pipe()
				go func() { _, _ = far.Read(make([]byte, 1)) }()
				return near, nil
			}), zap.NewNop())
			for n := range 16 {
				table.Put(time.Now(), upstream.Entry{ID: fmt.Sprint("u", n), Service: "svc", Zone: "z0", Address: fmt.Sprintf("u%d:80", n)})
			}
			for n := range 15 {
				_, err := table.Get(fmt.Sprint("u", n+1)).Acquire(t.Context(), time.Now(), false, time.Minute)
				is.True(err != nil)
			}
			synctest.Wait()
			is.True(!table.Get("u0").IsOutOfReach())
			table.Get("u0").Sweep(time.Now().Add(time.Hour))
		})
	}
}
