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
