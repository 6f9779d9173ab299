package peer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hickorypath/internal/gateway/peer"
	"hickorypath/internal/gateway/upstream"
)

// TestPausesOutliveTheirHost checks which pauses are told to a host that may have started again.
func TestPausesOutliveTheirHost(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	pause := func(left time.Duration) map[string]upstream.Pause {
		return map[string]upstream.Pause{"u": {Born: 3, Left: left}}
	}
	from := func(host string, start int64, number uint64, p map[string]upstream.Pause) peer.Message {
		m := message(host, start, number, nil)
		m.Pauses = p
		return m
	}
	earlier := func(left time.Duration) peer.Message {
		m := message("b", 1, 1, nil)
		m.EarlierPauses = []peer.HostPauses{{Host: "a", Pauses: pause(left)}, {Host: "self", Pauses: pause(left)}}
		return m
	}
	cases := []struct {
		name     string
		messages []peer.Message // a second after each other
		wait     time.Duration  // after the last one
		left     time.Duration  // of the pause of host a that is told; 0 for none
	}{
		{"the host knows it", []peer.Message{from("a", 1, 1, pause(9*time.Second))}, 0, 0},
		{"the host is silent", []peer.Message{from("a", 1, 1, pause(9*time.Second))}, 2 * time.Second, 7 * time.Second},
		{"the host has started again", []peer.Message{from("a", 1, 1, pause(9*time.Second)), from("a", 2, 1, nil)}, 0, 8 * time.Second},
		{"the host has started again and knows it", []peer.Message{from("a", 1, 1, pause(9*time.Second)), from("a", 2, 1, pause(8*time.Second))}, 0, 0},
		{"the pause is over", []peer.Message{from("a", 1, 1, pause(2*time.Second)), from("a", 2, 1, nil)}, time.Second, 0},
		{"a longer one", []peer.Message{from("a", 1, 1, pause(2*time.Second)), from("a", 1, 2, pause(9*time.Second))}, time.Second, 8 * time.Second},
		{"another host tells it", []peer.Message{earlier(9 * time.Second)}, 0, 9 * time.Second},
		{"another host tells it late", []peer.Message{from("a", 1, 1, pause(9*time.Second)), earlier(8*time.Second + 400*time.Millisecond)}, 0, 8 * time.Second},
		{"without end", []peer.Message{earlier(time.Hour)}, 0, time.Minute},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			table := peer.NewTable("self", "z", "self:1", 0, 7)
			now := start
			for n, m := range c.messages {
				now = start.Add(time.Duration(n) * time.Second)
				table.Record(now, m)
			}
			now = now.Add(c.wait)
			told := table.EarlierPauses(now)
			if c.left == 0 {
				is.Equal(len(told), 0)
				return
			}
			is.Equal(told, []peer.HostPauses{{Host: "a", Pauses: pause(c.left)}})
			table.Sweep(now.Add(time.Hour), 0)
			is.Equal(len(table.EarlierPauses(now)), 0)
		})
	}
}
