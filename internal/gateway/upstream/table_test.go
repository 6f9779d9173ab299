package upstream_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"hickorypath/internal/gateway/upstream"
)

const removalGrace = 1800 * time.Millisecond

func entry() upstream.Entry {
	return upstream.Entry{ID: "u1", Service: "s", Address: "10.0.0.1:80", Zone: "z", Slots: 8, Born: 5}
}

// other returns the entry of an upstream of another service at the same address.
func other(born int64) upstream.Entry {
	e := entry()
	e.ID, e.Service, e.Born = "u2", "other", born
	return e
}

func TestStatus(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	cases := []struct {
		name  string
		act   func(t *upstream.Table)
		after int // milliseconds from the start
		want  upstream.Status
	}{
		{"ready", func(*upstream.Table) {}, 10, upstream.Usable},
		{"draining", func(t *upstream.Table) { e := entry(); e.Draining = true; t.Put(at(1), e) }, 10, upstream.Leaving},
		{"removed while the store works", func(t *upstream.Table) { t.Remove(at(1), "u1") }, 2, upstream.Leaving},
		{"expired around a store failure", func(t *upstream.Table) { t.RecordStoreFailure(at(0)); t.Remove(at(1), "u1") }, 1000, upstream.Unconfirmed},
		{"expired and not back in time", func(t *upstream.Table) { t.RecordStoreFailure(at(0)); t.Remove(at(1), "u1") }, 1900, upstream.Leaving},
		{"expired and back", func(t *upstream.Table) { t.RecordStoreFailure(at(0)); t.Remove(at(1), "u1"); t.Put(at(900), entry()) }, 1000, upstream.Usable},
		{"failed", func(t *upstream.Table) { t.Get("u1").RecordFailure(at(1)) }, 100, upstream.Down},
		{"back-off has passed", func(t *upstream.Table) { t.Get("u1").RecordFailure(at(1)) }, 300, upstream.Usable},
		{"failed repeatedly", func(t *upstream.Table) {
			for range 9 {
				t.Get("u1").RecordFailure(at(1))
			}
		}, 1900, upstream.Down},
		{"another one answered at its address", func(t *upstream.Table) { t.RecordMoved(at(1), t.Get("u1")) }, 9000, upstream.Down},
		{"another one answered, and it did since", func(t *upstream.Table) { t.RecordMoved(at(1), t.Get("u1")); t.Get("u1").RecordAlive(at(2)) }, 10, upstream.Usable},
		{"another one answered, and it wrote its entry since", func(t *upstream.Table) {
			t.RecordMoved(at(1), t.Get("u1"))
			e := entry()
			e.Seq = 9
			t.Put(at(2), e)
		}, 10, upstream.Usable},
		{"a later one has its address", func(t *upstream.Table) { t.Put(at(1), other(6)) }, 10, upstream.Down},
		{"an earlier one has its address", func(t *upstream.Table) { t.Put(at(1), other(4)) }, 10, upstream.Usable},
		{"one of unknown start has its address", func(t *upstream.Table) { t.Put(at(1), other(0)) }, 10, upstream.Usable},
		{"restarted", func(t *upstream.Table) { t.Get("u1").RecordFailure(at(1)); e := entry(); e.Born = 6; t.Put(at(2), e) }, 10, upstream.Usable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			table := upstream.NewTable("z1", upstream.NewDialer(), zap.NewNop())
			table.Put(at(0), entry())
			c.act(table)
			now := at(c.after)
			is.Equal(table.Get("u1").Status(now, table.RemovalGrace(now)), c.want)
		})
	}
}

func TestSweepDropsRemovedInstances(t *testing.T) {
	is := is.New(t)
	table := upstream.NewTable("z1", upstream.NewDialer(), zap.NewNop())
	now := time.Unix(1_800_000_000, 0)
	table.Put(now, entry())
	table.Remove(now, "u1")
	table.Sweep(now.Add(removalGrace))
	is.Equal(len(table.Service("s")), 1)
	table.Sweep(now.Add(10 * time.Second))
	is.Equal(len(table.Service("s")), 0)
	is.True(table.Get("u1") == nil)
}

// TestIDIsReadWhileTheEntryChanges fails under the race detector if the identifier is read from the entry that changes.
func TestIDIsReadWhileTheEntryChanges(t *testing.T) {
	is := is.New(t)
	table := upstream.NewTable("z1", upstream.NewDialer(), zap.NewNop())
	now := time.Unix(1_800_000_000, 0)
	table.Put(now, entry())
	i := table.Get("u1")
	var reader sync.WaitGroup
	reader.Go(func() {
		for range 1000 {
			if i.ID() != "u1" {
				t.Error("identifier changed")
			}
		}
	})
	for n := range 1000 {
		e := entry()
		e.Slots = n
		table.Put(now, e)
	}
	reader.Wait()
	is.True(table.Get("u1") == i)
}

// TestRestoredEntries gives a host entries from an older copy of the store. An upstream that has said that it leaves, or whose
// entry was removed, must not get requests because of them.
func TestRestoredEntries(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	with := func(seq int64, draining bool) upstream.Entry {
		e := entry()
		e.Seq, e.Draining = seq, draining
		return e
	}
	cases := []struct {
		name    string
		before  func(t *upstream.Table) // from second 0 on
		restore upstream.Entry          // delivered in second 11, after a restore in second 10
		after   func(t *upstream.Table)
		second  int
		want    upstream.Status
	}{
		{"unchanged", func(t *upstream.Table) { t.Put(at(0), with(5, false)) }, with(5, false), nil, 12, upstream.Usable},
		{"older, still there", func(t *upstream.Table) { t.Put(at(0), with(5, false)) }, with(3, false), nil, 12, upstream.Usable},
		{"draining", func(t *upstream.Table) { t.Put(at(0), with(5, true)) }, with(3, false), nil, 40, upstream.Leaving},
		{"draining, newer ready entry", func(t *upstream.Table) { t.Put(at(0), with(5, true)) }, with(6, false), nil, 12, upstream.Usable},
		{"removed", func(t *upstream.Table) { t.Put(at(0), with(5, false)); t.Remove(at(9), "u1") }, with(5, false), nil, 13, upstream.Leaving},
		{"removed and forgotten", func(t *upstream.Table) { t.Put(at(0), with(5, false)); t.Remove(at(2), "u1"); t.Sweep(at(9)) }, with(4, false), nil, 13, upstream.Leaving},
		{"removed, written again", func(t *upstream.Table) { t.Put(at(0), with(5, false)); t.Remove(at(2), "u1"); t.Sweep(at(9)) }, with(4, false), func(t *upstream.Table) { t.Put(at(12), with(7, false)) }, 13, upstream.Usable},
		{"removed, still there later", func(t *upstream.Table) { t.Put(at(0), with(5, false)); t.Remove(at(2), "u1"); t.Sweep(at(9)) }, with(4, false), nil, 25, upstream.Usable},
		{"another incarnation", func(t *upstream.Table) { t.Put(at(0), with(5, false)); t.Remove(at(2), "u1"); t.Sweep(at(9)) }, func() upstream.Entry { e := with(1, false); e.Born++; return e }(), nil, 12, upstream.Usable},
		{"no sequence numbers", func(t *upstream.Table) { t.Put(at(0), with(0, true)) }, with(0, false), nil, 12, upstream.Usable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := upstream.NewTable("z1", upstream.NewDialer(), zap.NewNop())
			c.before(table)
			table.RecordRestore(at(10))
			table.Put(at(11), c.restore)
			if c.after != nil {
				c.after(table)
			}
			now := at(c.second)
			is.New(t).Equal(table.Get("u1").Status(now, table.RemovalGrace(now)), c.want)
		})
	}
}

// TestRestoredEntryOfAnEarlierIncarnation restores the store from a copy with the entry of an instance that has started again.
func TestRestoredEntryOfAnEarlierIncarnation(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	incarnation := func(born int64) upstream.Entry {
		e := entry()
		e.Seq, e.Born, e.Address = 1, born, fmt.Sprintf("10.0.0.%d:80", born)
		return e
	}
	cases := []struct {
		name    string
		removed bool
		sweep   bool
		want    upstream.Status
		born    int64
	}{
		{"later one is there", false, false, upstream.Usable, 3},
		{"later one was removed", true, false, upstream.Leaving, 2},
		{"later one was removed and forgotten", true, true, upstream.Leaving, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			table := upstream.NewTable("z1", upstream.NewDialer(), zap.NewNop())
			table.Put(at(0), incarnation(2))
			table.Put(at(1), incarnation(3))
			if c.removed {
				table.Remove(at(2), "u1")
			}
			if c.sweep {
				table.Sweep(at(9))
			}
			table.RecordRestore(at(10))
			table.Put(at(11), incarnation(2))
			got := table.Get("u1")
			is.Equal(got.Status(at(12), table.RemovalGrace(at(12))), c.want)
			is.Equal(got.Entry().Born, c.born)
		})
	}
}
