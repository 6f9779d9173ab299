package advisory_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hickorypath/internal/policy/advisory"
)

func TestObserve(t *testing.T) {
	type response struct {
		sent, arrived int // in milliseconds
		values        []string
		changed       bool
	}
	cases := []struct {
		name      string
		responses []response
		named     bool
		rate      float64
	}{
		{"never named", []response{{0, 10, nil, false}}, false, 0},
		{"named", []response{{0, 10, []string{"2"}, true}}, true, 2},
		{"repeated", []response{{0, 10, []string{"2"}, true}, {20, 30, []string{"2"}, false}}, true, 2},
		{"changed", []response{{0, 10, []string{"2"}, true}, {20, 30, []string{"4"}, true}}, true, 4},
		{"withdrawn", []response{{0, 10, []string{"2"}, true}, {20, 30, nil, true}}, false, 0},
		{"overtaken by the naming response", []response{{0, 10, []string{"2"}, true}, {5, 30, nil, false}}, true, 2},
		{"unreadable", []response{{0, 10, []string{"x"}, true}}, true, 1},
		{"unreadable again", []response{{0, 10, []string{"x"}, true}, {20, 30, []string{"x"}, false}}, true, 1},
		{"unreadable after a limit", []response{{0, 10, []string{"2"}, true}, {20, 30, []string{"x"}, true}}, true, 2},
		{"unreadable, then readable", []response{{0, 10, []string{"x"}, true}, {20, 30, []string{"3"}, true}}, true, 3},
		{"unreadable, then withdrawn", []response{{0, 10, []string{"x"}, true}, {20, 30, nil, true}}, false, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			start := time.Unix(1_800_000_000, 0)
			at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
			var s advisory.State
			for _, r := range c.responses {
				is.Equal(s.Observe(at(r.arrived), at(r.sent), advisory.Statement{Limit: advisory.ParseLimit(r.values...)}), r.changed)
			}
			is.Equal(s.Limit().IsNamed(), c.named)
			is.Equal(s.Limit().Rate(), c.rate)
		})
	}
}

// TestMerge lets a host learn from another one. Times are in milliseconds.
func TestMerge(t *testing.T) {
	type told struct {
		arrived int
		rate    float64 // negative for a withdrawal
		age     int
		changed bool
	}
	limit := func(v string) []string { return []string{v} }
	cases := []struct {
		name   string
		own    []string // limit that this host was told at 1000, nil for none
		others []told
		named  bool
		rate   float64
	}{
		{"unknown here", nil, []told{{2000, 3, 500, true}}, true, 3},
		{"newer", limit("2"), []told{{2000, 3, 500, true}}, true, 3},
		{"older", limit("2"), []told{{2000, 3, 1500, false}}, true, 2},
		{"newer, the same", limit("2"), []told{{2000, 2, 500, false}}, true, 2},
		{"withdrawn later", limit("2"), []told{{3000, -1, 500, true}}, false, 0},
		{"withdrawn at about the same time", limit("2"), []told{{2000, -1, 800, false}}, true, 2},
		{"withdrawn before", limit("2"), []told{{2000, -1, 1500, false}}, true, 2},
		{"named before it was withdrawn", limit("2"), []told{{3000, -1, 500, true}, {3000, 2, 900, false}}, false, 0},
		{"named after it was withdrawn", limit("2"), []told{{3000, -1, 500, true}, {3000, 4, 100, true}}, true, 4},
		{"withdrawal of an unknown limit", nil, []told{{2000, -1, 100, false}}, false, 0},
		{"rate out of bounds", nil, []told{{2000, 1e300, 100, true}}, true, advisory.MaxRate},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			start := time.Unix(1_800_000_000, 0)
			at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
			s := advisory.NewState("u1")
			if c.own != nil {
				s.Observe(at(1000), at(990), advisory.Statement{Limit: advisory.ParseLimit(c.own...)})
			}
			for _, o := range c.others {
				r := advisory.Record{Rate: o.rate, Age: time.Duration(o.age) * time.Millisecond}
				is.Equal(s.Merge(at(o.arrived), r), o.changed)
			}
			is.Equal(s.Limit().IsNamed(), c.named)
			is.Equal(s.Limit().Rate(), c.rate)
		})
	}
}

// TestRecord checks what a host tells the others, and that they then know the same.
func TestRecord(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1_800_000_000, 0)
	s, other := advisory.NewState("u1"), advisory.NewState("u1")
	_, ok := s.Record(start)
	is.True(!ok)
	s.Observe(start, start, advisory.Statement{Limit: advisory.NewLimit(2)})
	r, ok := s.Record(start.Add(time.Hour)) // a limit does not expire
	is.True(ok)
	other.Merge(start.Add(time.Hour), r)
	is.Equal(other.Limit(), s.Limit())
	s.Observe(start.Add(2*time.Hour), start.Add(2*time.Hour), advisory.Statement{})
	r, ok = s.Record(start.Add(2*time.Hour + time.Second))
	is.True(ok)
	other.Merge(start.Add(2*time.Hour+time.Second), r)
	is.Equal(other.Limit(), s.Limit())
	_, ok = s.Record(start.Add(3 * time.Hour))
	is.True(!ok)
}
