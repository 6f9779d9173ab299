package health_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hickorypath/internal/policy/health"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// observe feeds n equal samples.
func observe(p *health.Pool, s *health.State, now time.Time, n int, ratio float64) {
	for range n {
		p.Observe(now, s, health.Gap, ratio)
	}
}

func members(p *health.Pool, n int) []*health.State {
	all := make([]*health.State, n)
	for i := range all {
		all[i] = p.Join()
	}
	return all
}

func TestEjection(t *testing.T) {
	cases := []struct {
		name    string
		samples []float64
		out     bool
	}{
		{"usual", []float64{1, 1.2, 0.9, 1, 1.1, 1}, false},
		{"one freeze", []float64{1, 1, 1, 50, 1, 1, 1}, false},
		{"too few samples", []float64{5, 5, 5}, false},
		{"straggler at 5 times", []float64{5, 5, 5, 5, 5, 5}, true},
		{"somewhat slow", []float64{2, 2, 2, 2, 2, 2, 2, 2, 2, 2, 2}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := health.New(health.Config{})
			s := members(p, 9)[0]
			for _, r := range c.samples {
				p.Observe(start, s, health.Gap, r)
			}
			is.Equal(p.Weight(start, s) == 0, c.out)
		})
	}
}

func TestEjectedShareIsCapped(t *testing.T) {
	cases := []struct{ members, out int }{{1, 0}, {2, 1}, {3, 1}, {9, 3}, {100, 34}}
	for _, c := range cases {
		is := is.New(t)
		p := health.New(health.Config{})
		for _, s := range members(p, c.members) {
			observe(p, s, start, 20, 8)
		}
		is.Equal(p.Ejected(), c.out)
	}
}

func TestSlowReturn(t *testing.T) {
	is := is.New(t)
	p := health.New(health.Config{})
	s := members(p, 9)[0]
	observe(p, s, start, 10, 5)
	is.Equal(p.Weight(start.Add(4*time.Second), s), 0.0)

	trial := start.Add(5 * time.Second)
	is.True(p.Weight(trial, s) < 0.05)
	observe(p, s, trial, 1, 5) // still slow: out again, for twice as long
	is.Equal(p.Weight(trial.Add(9*time.Second), s), 0.0)

	trial = trial.Add(10 * time.Second)
	is.True(p.Weight(trial, s) < 0.05)
	observe(p, s, trial, 1, 1)
	is.Equal(p.Weight(trial.Add(5*time.Second), s), 0.5)
	is.Equal(p.Weight(trial.Add(10*time.Second), s), 1.0)
	is.True(s.Settled())
}

func TestLeaveFreesTheCap(t *testing.T) {
	is := is.New(t)
	p := health.New(health.Config{})
	all := members(p, 3)
	observe(p, all[0], start, 10, 8)
	is.Equal(p.Ejected(), 1)
	p.Leave(all[0])
	is.Equal(p.Ejected(), 0)
}
