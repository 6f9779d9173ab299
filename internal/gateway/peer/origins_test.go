package peer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"hickorypath/internal/gateway/release"
	"hickorypath/internal/gateway/upstream"
)

// newTransports returns the running transports of hosts that know each other's addresses.
func newTransports(t *testing.T, hosts int) []*Transport {
	t.Helper()
	is := is.New(t)
	list := make([]*Transport, 0, hosts)
	for n := range hosts {
		conn, err := net.ListenPacket("udp4", "127.0.0.1:0") // finds a free port
		is.NoErr(err)
		address := conn.LocalAddr().String()
		is.NoErr(conn.Close())
		name := fmt.Sprint("h", n)
		tr, err := New(Options{
			Address: address, Table: NewTable(name, "z", address, 0, 1), Origins: NewOrigins(), LocalMessage: func() Message { return Message{Host: name} },
			OnMessage: func(time.Time, Message) {}, Log: zap.NewNop(), Now: time.Now, IsMixed: func() bool { return false },
			ListenPacket: func(address string) (net.PacketConn, error) { return net.ListenPacket("udp4", address) },
		})
		is.NoErr(err)
		list = append(list, tr)
	}
	for _, tr := range list {
		for _, other := range list {
			tr.opts.Table.AddAddress(time.Now(), other.opts.Address, "z")
		}
		go tr.receive()
		t.Cleanup(func() { _ = tr.conn.Close() })
	}
	return list
}

// TestOriginIsFoundAtAnotherHost looks for the origin of a stream at a host that was not told it.
func TestOriginIsFoundAtAnotherHost(t *testing.T) {
	origin := upstream.Origin{Service: "s", Version: "v1"}
	cases := []struct {
		name  string
		hosts int
		knows []int // hosts that know the origin
		gone  []int // hosts that do not answer
		found bool
	}{
		{"this host knows it", 3, []int{0}, nil, true},
		{"another host knows it", 3, []int{2}, nil, true},
		{"all others know it", 3, []int{1, 2}, nil, true},
		{"the host that knows it is gone", 3, []int{2}, []int{2}, false},
		{"one of the hosts that know it is gone", 4, []int{2, 3}, []int{2}, true},
		{"no host knows it", 3, nil, nil, false},
		{"a single host", 1, nil, nil, false},
		{"all others are gone", 3, []int{1, 2}, []int{1, 2}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			hosts := newTransports(t, c.hosts)
			for _, n := range c.knows {
				hosts[n].opts.Origins.Put(time.Now(), streamID("r1"), origin)
			}
			for _, n := range c.gone {
				is.NoErr(hosts[n].conn.Close())
			}
			got, ok := hosts[0].FindOrigin(t.Context(), "r1")
			is.Equal(ok, c.found)
			if ok {
				is.Equal(got, origin)
			}
			is.Equal(len(hosts[0].opts.Origins.asks), 0)
		})
	}
}

func TestOriginIsTold(t *testing.T) {
	is := is.New(t)
	hosts := newTransports(t, 3)
	origin := upstream.Origin{Service: "s", Version: "v1"}
	hosts[0].TellOrigin("r1", origin)
	for _, h := range hosts {
		for got, ok := h.opts.Origins.Get(streamID("r1")); got != origin; got, ok = h.opts.Origins.Get(streamID("r1")) {
			is.True(!ok)
			<-time.After(time.Millisecond)
		}
	}
	hosts[0].opts.Origins.Sweep(time.Now().Add(originTTL + time.Second))
	_, ok := hosts[0].opts.Origins.Get(streamID("r1"))
	is.True(!ok)
}

// TestLeaderOfALargeFleetIsTold guards against a leader that is told each stream of a large fleet although one version runs, and against
// one that lacks streams which began before it had to know them. All hosts may end at once, and only it writes to the store.
func TestLeaderOfALargeFleetIsTold(t *testing.T) {
	origin := upstream.Origin{Service: "s", Version: "v1"}
	cases := []struct {
		name string
		play func(teller *Transport, leads func(host int), mixed *bool)
		want bool
	}{
		{"one version", func(teller *Transport, leads func(int), _ *bool) {
			leads(1)
			teller.TellOrigin("r", origin)
			teller.tellKeeper()
		}, false},
		{"several versions", func(teller *Transport, leads func(int), mixed *bool) {
			*mixed = true
			leads(1)
			teller.TellOrigin("r", origin)
		}, true},
		{"several versions a little later", func(teller *Transport, leads func(int), mixed *bool) {
			leads(1)
			teller.TellOrigin("r", origin)
			teller.tellKeeper()
			*mixed = true
			teller.tellKeeper()
		}, true},
		{"another host leads a little later", func(teller *Transport, leads func(int), mixed *bool) {
			*mixed = true
			leads(2)
			teller.TellOrigin("r", origin)
			teller.tellKeeper()
			leads(1)
			teller.tellKeeper()
		}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			hosts := newTransports(t, smallFleet+4)
			teller, leader, mixed, token := hosts[0], hosts[1], false, uint64(0)
			teller.opts.IsMixed = func() bool { return mixed }
			delete(teller.opts.Table.addresses, leader.opts.Address) // so that it is told as the leader or not at all
			c.play(teller, func(host int) {
				token++
				teller.opts.Table.SetLeader(Leader{Address: hosts[host].opts.Address, FencingToken: token})
			}, &mixed)
			last := originMessage{Known: []originRecord{{Stream: streamID("last"), Origin: origin}}}
			for told := false; !told; _, told = leader.opts.Origins.Get(streamID("last")) {
				teller.writeOrigins(last, []string{leader.opts.Address})
				<-time.After(time.Millisecond)
			}
			_, told := leader.opts.Origins.Get(streamID("r"))
			is.Equal(told, c.want)
		})
	}
}

// TestCanceledCallerStopsAsking checks that the search for an origin ends with its caller.
func TestCanceledCallerStopsAsking(t *testing.T) {
	is := is.New(t)
	hosts := newTransports(t, 2)
	is.NoErr(hosts[1].conn.Close())
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, ok := hosts[0].FindOrigin(ctx, "r1")
	is.True(!ok)
}

// TestHoldersOfALargeFleet checks that a host asks one that was told, although each of them knows only 97 of 100 hosts.
func TestHoldersOfALargeFleet(t *testing.T) {
	const hosts, streams, known = 350, 10000, 0.97
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 1))
	view := func() *Table {
		table := NewTable("self", "z", "self:1", 0, 1)
		for n := range hosts {
			if rng.Float64() < known {
				table.AddAddress(time.Now(), fmt.Sprintf("10.0.%d.%d:7340", n/200, n%200), "")
			}
		}
		return table
	}
	missed := 0
	for range 10 {
		teller, asker := view(), view()
		for stream := range uint64(streams / 10) {
			told := teller.originHolders(stream, originCopies)
			is.Equal(len(told), originCopies)
			if !slices.ContainsFunc(asker.originHolders(stream, originAsked), func(a string) bool { return slices.Contains(told, a) }) {
				missed++
			}
		}
	}
	is.True(missed <= streams/1000)
}

// FuzzOrigins decodes arbitrary bytes as a datagram about origins and handles it. No input may cause a panic.
func FuzzOrigins(f *testing.F) {
	tr := &Transport{opts: Options{Address: "127.0.0.1:1", Table: NewTable("self", "z", "127.0.0.1:1", 0, 1), Origins: NewOrigins(), Log: zap.NewNop(), Now: time.Now}}
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		f.Fatal(err)
	}
	tr.conn = conn
	f.Add([]byte{0x84, 0x61, 'a', 0x81, 0x82, 0x01, 0x82, 0x61, 's', 0x61, 'v', 0x81, 0x02, 0x81, 0x03})
	f.Add([]byte{0x84, 0x60, 0xf6, 0xf6, 0xf6})
	f.Fuzz(func(t *testing.T, data []byte) {
		if m, err := decodeOrigins(data); err == nil && m.Address == "127.0.0.1:1" {
			tr.handleOrigins(data) // does not answer itself
		}
	})
}

// TestStoredOriginsAreNotWrittenAgain guards against a store in which the origins of streams that have ended are kept for ever, since
// each leader finds and writes them.
func TestStoredOriginsAreNotWrittenAgain(t *testing.T) {
	is := is.New(t)
	now, o := time.Unix(1_800_000_000, 0), NewOrigins()
	o.PutStored(now, 1, upstream.Origin{Service: "svc", Version: "v1"})
	o.Put(now, 2, upstream.Origin{Service: "svc", Version: "v2"})
	_, ok := o.Get(1)
	is.True(ok)
	is.Equal(o.Since(now), []release.Stream{{ID: 2, Origin: upstream.Origin{Service: "svc", Version: "v2"}, BegunAt: now}})
	is.Equal(len(o.Since(now.Add(time.Second))), 0)
}
