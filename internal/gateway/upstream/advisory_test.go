package upstream_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"hickorypath/internal/gateway/upstream"
	"hickorypath/internal/policy/advisory"
)

// TestLimitBelongsToTheIncarnation names a limit and checks whether it is in force after a change of the instance's entry.
func TestLimitBelongsToTheIncarnation(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	cases := []struct {
		name   string
		change func(t *upstream.Table)
		named  bool
	}{
		{"none", func(*upstream.Table) {}, true},
		{"entry written again", func(t *upstream.Table) { e := entry(); e.Seq++; t.Put(at(2), e) }, true},
		{"entry lost and back", func(t *upstream.Table) { t.Remove(at(2), "u1"); t.Sweep(at(9)); t.Put(at(10), entry()) }, true},
		{"started again", func(t *upstream.Table) { e := entry(); e.Born++; t.Put(at(2), e) }, false},
		{"started again after its entry was lost", func(t *upstream.Table) {
			t.Remove(at(2), "u1")
			t.Sweep(at(9))
			e := entry()
			e.Born++
			t.Put(at(10), e)
		}, false},
		{"another instance at the address", func(t *upstream.Table) { e := entry(); e.Service = "other"; t.Put(at(2), e) }, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			table := upstream.NewTable("z1", upstream.NewDialer(), zap.NewNop())
			table.Put(at(0), entry())
			table.Get("u1").RecordAdvisory(at(1), at(0), advisory.Statement{Limit: advisory.NewLimit(2)})
			c.change(table)
			is.Equal(table.Get("u1").Limit().IsNamed(), c.named)
		})
	}
}

// TestLimitIsToldToOtherHosts passes what one table knows on to another one.
func TestLimitIsToldToOtherHosts(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	cases := []struct {
		name  string
		entry func() upstream.Entry // of the other host
		named bool
	}{
		{"the same incarnation", entry, true},
		{"another incarnation", func() upstream.Entry { e := entry(); e.Born++; return e }, false},
		{"another instance", func() upstream.Entry { e := entry(); e.ID = "u2"; return e }, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			table, other := upstream.NewTable("z1", upstream.NewDialer(), zap.NewNop()), upstream.NewTable("z1", upstream.NewDialer(), zap.NewNop())
			table.Put(now, entry())
			is.Equal(len(table.Advisories(now)), 0)
			table.Get("u1").RecordAdvisory(now, now, advisory.Statement{Limit: advisory.NewLimit(2)})
			other.Put(now, c.entry())
			changed := other.MergeAdvisories(now.Add(time.Second), table.Advisories(now.Add(time.Second)))
			is.Equal(len(changed) == 1, c.named)
			is.Equal(other.Get(c.entry().ID).Limit().IsNamed(), c.named)
		})
	}
}

// TestDeparturesAreToldToOtherHosts passes what one table knows of instances that leave on to another one.
func TestDeparturesAreToldToOtherHosts(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	cases := []struct {
		name   string
		change func(e *upstream.Entry) // of the entry at the host that tells
		other  func(e *upstream.Entry) // of the entry at the other host
		told   bool
		leaves bool
	}{
		{"the same incarnation", nil, nil, true, true},
		{"another incarnation", nil, func(e *upstream.Entry) { e.Born++ }, true, false},
		{"another instance", nil, func(e *upstream.Entry) { e.ID = "u2" }, true, false},
		{"the entry shows it", func(e *upstream.Entry) { e.Draining = true }, nil, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			table, other := upstream.NewTable("z1", upstream.NewDialer(), zap.NewNop()), upstream.NewTable("z1", upstream.NewDialer(), zap.NewNop())
			e := entry()
			table.Put(now, e)
			table.Get("u1").RecordAdvisory(now, now, advisory.Statement{Leaving: advisory.ParseLeaving("1")})
			if c.change != nil {
				c.change(&e)
				table.Put(now, e)
			}
			e = entry()
			if c.other != nil {
				c.other(&e)
			}
			other.Put(now, e)
			told := table.Departures(now.Add(time.Second))
			is.Equal(len(told) == 1, c.told)
			is.Equal(len(other.MergeDepartures(now.Add(time.Second), told)) == 1, c.leaves)
			_, leaves := other.Get(e.ID).LeavingFor(now.Add(time.Second))
			is.Equal(leaves, c.leaves)
			is.Equal(other.Get(e.ID).Status(now.Add(time.Second), 0) == upstream.Departing, c.leaves)
		})
	}
}

// TestManyLimitsFitIntoAMessage guards against a message that is too large to be sent, with which its host would fall silent. All limits
// are told over several messages.
func TestManyLimitsFitIntoAMessage(t *testing.T) {
	is := is.New(t)
	const instances, most, messages = 1300, 100, 14
	now := time.Unix(1_800_000_000, 0)
	table, other := upstream.NewTable("z1", upstream.NewDialer(), zap.NewNop()), upstream.NewTable("z1", upstream.NewDialer(), zap.NewNop())
	for n := range instances {
		e := entry()
		e.ID = fmt.Sprint("u", n)
		table.Put(now, e)
		other.Put(now, e)
		table.Get(e.ID).RecordAdvisory(now, now, advisory.Statement{Limit: advisory.NewLimit(2)})
	}
	changed := 0
	for range messages {
		told := table.Advisories(now)
		is.True(len(told) <= most)
		changed += len(other.MergeAdvisories(now.Add(time.Millisecond), told))
	}
	is.Equal(changed, instances)
}

// TestManyDeparturesFitIntoAMessage checks that the latest of many departures are told.
func TestManyDeparturesFitIntoAMessage(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	table := upstream.NewTable("z1", upstream.NewDialer(), zap.NewNop())
	for n := range 300 {
		e := entry()
		e.ID = fmt.Sprint("u", n)
		table.Put(now, e)
		table.Get(e.ID).RecordAdvisory(now.Add(time.Duration(n)*time.Millisecond), now, advisory.Statement{Leaving: advisory.ParseLeaving("1")})
	}
	told := table.Departures(now.Add(time.Second))
	is.True(len(told) >= 50 && len(told) <= 200)
	_, latest := told["u299"]
	_, first := told["u0"]
	is.True(latest && !first)
}
