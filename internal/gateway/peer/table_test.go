package peer_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickorypath/internal/gateway/peer"
	"hickorypath/internal/policy/place"
)

func message(host string, start int64, number uint64, counts map[int64]map[string]int) peer.Message {
	return peer.Message{Host: host, StartTime: start, Sequence: number, Address: host + ":1", Counts: counts}
}

func TestCountsOutliveTheirHost(t *testing.T) {
	is := is.New(t)
	table := peer.NewTable("self", "z", "self:1", 0, 7)
	now := time.Unix(1_800_000_000, 0)
	is.True(table.Record(now, message("a", 1, 1, map[int64]map[string]int{7: {"club": 3}})))
	is.True(!table.Record(now, message("a", 1, 2, map[int64]map[string]int{7: {"club": 5}})))
	table.Record(now, message("a", 1, 1, map[int64]map[string]int{7: {"club": 3}})) // an older message that arrives late
	table.Record(now, message("a", 9, 1, map[int64]map[string]int{7: {"club": 2}})) // the next incarnation counts from zero
	table.Record(now, message("a", 1, 3, map[int64]map[string]int{7: {"club": 9}})) // a late message of the incarnation that has ended
	table.Record(now, message("b", 1, 1, map[int64]map[string]int{7: {"club": 1, "other": 4}}))
	is.Equal(table.Counts(7), map[string]int{"club": 8, "other": 4})
	table.Sweep(now.Add(2*time.Minute), 7)
	is.Equal(table.Counts(7), map[string]int{"club": 8, "other": 4})
	table.Sweep(now, 20)
	is.Equal(len(table.Counts(7)), 0)
}

func TestLoadsAndVersions(t *testing.T) {
	is := is.New(t)
	table := peer.NewTable("self", "z", "self:1", 0, 7)
	now := time.Unix(1_800_000_000, 0)
	m := message("a", 1, 1, nil)
	m.Loads, m.Version, m.FetchAddress = map[string]place.Load{"u": {Running: 2, PendingPrefill: 30}}, 5, "a:2"
	table.Record(now, m)
	table.Record(now, message("self", 1, 1, nil)) // the host's own message
	is.Equal(table.Loads(now)["u"], place.Load{Running: 2, PendingPrefill: 30})
	is.Equal(table.Loads(now.Add(time.Second))["u"], place.Load{Running: 2}) // the prompts have been read by then
	is.True(table.HasNewerConfig(now, 4))
	is.True(!table.HasNewerConfig(now, 5))
	is.True(!table.HasNewerConfig(now.Add(peer.MessageTTL+1), 4)) // the message has expired
	is.Equal(table.MaxHosts(), 2)
}

func TestIsComplete(t *testing.T) {
	is := is.New(t)
	table := peer.NewTable("self", "z", "self:1", 0, 7)
	now := time.Unix(1_800_000_000, 0)
	for i, host := range []string{"a", "b"} {
		m := message(host, 1, 1, nil)
		m.Time = now.UnixMilli() - int64(i)*1000
		table.Record(now, m)
	}
	short := message("a", 1, 2, nil)
	short.Time, short.OmitsCounts = now.UnixMilli()+500, true
	table.Record(now, short)
	is.True(!table.HasAllCounts(now, now.Add(500*time.Millisecond))) // a message without counts does not count
	is.True(!table.HasAllCounts(now, now))                           // b last sent its counts a second before the end
	is.True(table.HasAllCounts(now, now.Add(-time.Second)))
	is.True(!table.HasAllCounts(now.Add(12*time.Second), now)) // b may be behind a network partition
	is.True(table.HasAllCounts(now.Add(14*time.Second), now))  // b is gone
	leaving := message("b", 1, 2, nil)
	leaving.Leaving, leaving.Time = true, now.UnixMilli()-900
	table.Record(now, leaving)
	is.True(table.HasAllCounts(now, now)) // b is leaving and is not waited for
}

// TestRestartedHostLearnsEarlierCounts checks that a restarted host learns the counts of ended incarnations from another
// host. A host that was restarted and became the leader had reported usage without the counts of its own earlier
// incarnation and of another host that was restarted at the same time.
func TestRestartedHostLearnsEarlierCounts(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	witness := peer.NewTable("w", "z", "w:1", 0, 1)
	witness.Record(now, message("self", 3, 9, map[int64]map[string]int{7: {"club": 5}}))
	witness.Record(now, message("b", 3, 9, map[int64]map[string]int{7: {"club": 2}, 1: {"club": 9}}))
	is.Equal(len(witness.EndedCounts(now, 6)), 0) // both hosts are live
	later := now.Add(4 * time.Second)
	witness.Record(later, message("b", 8, 1, nil)) // b was restarted
	restarted := peer.NewTable("self", "z", "self:1", 0, 7)
	m := message("w", 1, 1, map[int64]map[string]int{7: {"club": 1}})
	m.EndedCounts = witness.EndedCounts(later, 6)
	is.Equal(len(m.EndedCounts), 2)
	restarted.Record(later, m)
	is.Equal(restarted.Counts(7), map[string]int{"club": 8})
	m.Sequence++
	restarted.Record(later, m) // the same counts arrive again
	is.Equal(restarted.Counts(7), map[string]int{"club": 8})
}

// TestWatchers checks that in a large fleet two hosts of each zone watch the store, and that others replace them when
// they fall silent.
func TestWatchers(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	const hosts = 40
	name := func(i int) string { return "h" + strconv.Itoa(i) }
	tables := make([]*peer.Table, hosts)
	for i := range tables {
		tables[i] = peer.NewTable(name(i), "z"+strconv.Itoa(i%2), name(i)+":1", 0, 1)
	}
	watching := map[int]bool{}
	round := func(n int, silent map[int]bool) {
		now = now.Add(500 * time.Millisecond)
		for i, table := range tables {
			for j := range tables {
				if i == j || silent[j] {
					continue
				}
				m := message(name(j), 1, uint64(n), nil)
				m.Zone, m.WatchesStore = "z"+strconv.Itoa(j%2), watching[j]
				table.Record(now, m)
			}
		}
		for i, table := range tables {
			watching[i] = table.ShouldWatchStore(now)
		}
	}
	count := func(silent map[int]bool) (n int) {
		for i, w := range watching {
			if w && !silent[i] {
				n++
			}
		}
		return n
	}
	for n := 1; n < 5; n++ {
		round(n, nil)
	}
	is.Equal(count(nil), 4) // two of each zone
	silent := map[int]bool{}
	for i, w := range watching {
		silent[i] = w
	}
	for n := 5; n < 9; n++ {
		round(n, silent)
	}
	is.True(count(silent) >= 4) // other hosts replaced them within two seconds
	for n := 9; n < 20; n++ {
		round(n, silent)
	}
	is.Equal(count(silent), 4)
}

// TestHasCounts checks whether a host knows of another one that counted requests in a window.
func TestHasCounts(t *testing.T) {
	const window = 7
	end := time.Unix(1_800_000_000, 0)
	before, after := end.Add(-time.Second).UnixNano(), end.Add(time.Second).UnixNano()
	told := map[int64]map[string]int{window: {"club": 1}}
	ended := message("b", after, 1, nil)
	ended.EndedCounts = []peer.IncarnationCounts{{Host: "c", StartTime: before, Counts: told}}
	cases := []struct {
		name     string
		messages []peer.Message
		want     bool
	}{
		{"no other host", nil, false},
		{"started before the end", []peer.Message{message("b", before, 1, nil)}, true},
		{"started after the end", []peer.Message{message("b", after, 1, nil)}, false},
		{"started again after the end", []peer.Message{message("b", before, 1, nil), message("b", after, 1, nil)}, false},
		{"started again, and has told its counts", []peer.Message{message("b", before, 1, told), message("b", after, 1, nil)}, true},
		{"has told the counts of another one", []peer.Message{ended}, true},
		{"has told those of another window", []peer.Message{message("b", after, 1, map[int64]map[string]int{window + 1: {"club": 1}})}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := peer.NewTable("self", "z", "self:1", 0, 7)
			for _, m := range c.messages {
				table.Record(end, m)
			}
			is.New(t).Equal(table.HasCounts(window, end), c.want)
		})
	}
}

func TestCoverage(t *testing.T) {
	is := is.New(t)
	table := peer.NewTable("self", "z", "self:1", 0, 7)
	now := time.Unix(1_800_000_000, 0)
	is.Equal(table.DemandCoverage(now), 1.0)
	for i := range 3 {
		m := message("h"+strconv.Itoa(i), 1, 1, nil)
		m.Time, m.OmitsCounts = now.UnixMilli(), i > 0
		table.Record(now, m)
	}
	is.Equal(table.DemandCoverage(now), 0.5) // this host and one of three others
	is.Equal(table.DemandCoverage(now.Add(time.Minute)), 1.0)
}

// TestHostsWithSlowLinksWatchTheStore guards against whole zones that wait until a host with a slow link has read a large value.
func TestHostsWithSlowLinksWatchTheStore(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	const hosts = 20
	name := func(i int) string { return "h" + strconv.Itoa(i) }
	link := func(i int) float64 {
		if i%10 == 0 {
			return 200
		}
		return 10
	}
	for i := range hosts {
		table := peer.NewTable(name(i), "z", name(i)+":1", link(i), 1)
		for j := range hosts {
			if i != j {
				m := message(name(j), 1, 1, nil)
				m.Zone, m.Link, m.WatchesStore = "z", link(j), true
				table.Record(now, m)
			}
		}
		is.Equal(table.ShouldWatchStore(now), link(i) == 200)
	}
}
