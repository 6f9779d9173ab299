package reach_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hickorypath/internal/policy/reach"
)

// TestHangIsOver checks when an attempt is given up: at once where others show that only this host does not reach the upstream, and late
// where the upstream may only be silent.
func TestHangIsOver(t *testing.T) {
	const ms = time.Millisecond
	cases := []struct {
		name       string
		hang       reach.Hang // without Silent and Answered
		answeredAt time.Duration
		over       time.Duration // least silence
		unproven   bool
	}{
		{"nobody answers", reach.Hang{}, 0, 2000 * ms, false},
		{"nobody answers, cut off", reach.Hang{IsCut: true}, 0, 2000 * ms, true},
		{"others answer all the time", reach.Hang{}, 200 * ms, 400 * ms, false},
		{"another host is answered", reach.Hang{IsCut: true}, 200 * ms, 400 * ms, false},
		{"others answer after a silence", reach.Hang{}, 600 * ms, 1200 * ms, false},
		{"another host is answered after a silence", reach.Hang{IsCut: true}, 900 * ms, 1800 * ms, false},
		{"others answer after a long silence", reach.Hang{}, 1500 * ms, 2000 * ms, false},
		{"connections are refused", reach.Hang{IsCut: true, IsRefused: true}, 0, 400 * ms, false},
		{"a stream", reach.Hang{IsStream: true}, 200 * ms, 2000 * ms, false},
		{"a stream, connections are refused", reach.Hang{IsStream: true, IsCut: true, IsRefused: true}, 0, 2000 * ms, false},
		{"a stream, another host is answered", reach.Hang{IsStream: true, IsCut: true}, 200 * ms, 2000 * ms, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			at := func(silent time.Duration) reach.Hang {
				h := c.hang
				h.Silent = silent
				if c.answeredAt > 0 {
					h.Answered = max(silent-c.answeredAt, 0)
				}
				return h
			}
			is.True(!at(c.over - ms).IsOver())
			is.True(at(c.over).IsOver())
			is.Equal(at(c.over).IsUnproven(), c.unproven)
		})
	}
}

// TestAnswersDuringASilence plays checks of an attempt that hangs, in milliseconds. The watch remembers the first answer that it has found.
func TestAnswersDuringASilence(t *testing.T) {
	type check struct{ at, silent, since, last, want int }
	cases := []struct {
		name   string
		checks []check
	}{
		{"no answer", []check{{1000, 500, 0, 400, 0}}},
		{"the last answer is on its way", []check{{1000, 500, 0, 699, 0}}},
		{"all the time", []check{{1000, 500, 0, 700, 300}}},
		{"after a while", []check{{1000, 500, 0, 400, 0}, {1100, 600, 1050, 1050, 50}, {1200, 700, 1050, 1190, 150}}},
		{"now and then", []check{{1000, 500, 900, 900, 100}, {1400, 900, 1300, 1300, 500}}},
		{"in an earlier silence", []check{{1000, 500, 900, 900, 100}, {2000, 600, 900, 1400, 0}, {2100, 700, 2050, 2050, 50}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
			var w reach.Watch
			for _, x := range c.checks {
				got := w.Answered(at(x.at), time.Duration(x.silent)*time.Millisecond, at(x.since), at(x.last))
				is.Equal(got, time.Duration(x.want)*time.Millisecond)
			}
		})
	}
}
