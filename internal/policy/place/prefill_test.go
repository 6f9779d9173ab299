package place_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickorypath/internal/policy/place"
)

// TestPrefillSpeedIsLearned guards against waits that are reckoned with another speed than that of the upstreams, while some prompts wait for others
// that this host does not know of, and of some more is cached than it knows.
func TestPrefillSpeedIsLearned(t *testing.T) {
	for _, speed := range []float64{20, 37, 62, 120} {
		is := is.New(t)
		rng := rand.New(rand.NewPCG(1, uint64(speed)))
		var p place.PrefillTracker
		_, ok := p.Rate()
		is.True(!ok)
		for range 300 {
			tokens, ahead := 3000+rng.IntN(14000), rng.IntN(5000)
			work := float64(tokens + ahead)
			switch rng.IntN(10) {
			case 0, 1, 2, 3:
				work += rng.Float64() * 20000 // behind others
			case 4:
				work *= 0.3 // mostly cached
			}
			p.Observe(tokens, ahead, time.Duration(work/speed*float64(time.Millisecond)))
			p.Observe(100, 0, time.Millisecond) // a short prompt says nothing
		}
		rate, ok := p.Rate()
		is.True(ok)
		is.True(rate > 0.8*speed && rate < 1.2*speed)
	}
}

// TestCachedPrefixIsWeighedAgainstRoom guards against requests that are sent to an upstream for a cached prefix although the wait, the speed or the memory
// there costs more than the prefix saves.
func TestCachedPrefixIsWeighedAgainstRoom(t *testing.T) {
	m := place.CostModel{PrefillPerMs: 50, DelayPerRunning: 2 * time.Millisecond, WeighsRoom: true}
	work := place.Request{PromptTokens: 17000, MemoryTokens: 17100, Zone: "a", Objective: time.Second}
	const capacity = 480000
	held := place.CachedPrefix{Local: 13300}
	idle := place.Candidate{Zone: "a", MemoryCapacity: capacity}
	cases := []struct {
		name   string
		holder place.Candidate
		goes   bool // to the holder, in place of an idle upstream without the prefix
	}{
		{"idle", place.Candidate{}, true},
		{"a short wait", place.Candidate{Load: place.Load{Running: 3, PendingPrefill: 8000, MemoryTokens: 50000}}, true},
		{"a wait longer than what is saved", place.Candidate{Load: place.Load{Running: 3, PendingPrefill: 30000, MemoryTokens: 50000}}, false},
		{"slow now", place.Candidate{Load: place.Load{Running: 3, PendingPrefill: 12000}, Report: place.Report{Slowdown: 2.5, Age: 20 * time.Millisecond}}, false},
		{"slow some time ago", place.Candidate{Load: place.Load{Running: 3, PendingPrefill: 12000}, Report: place.Report{Slowdown: 2.5, Age: 900 * time.Millisecond}}, true},
		{"little memory left", place.Candidate{Load: place.Load{Running: 28, MemoryTokens: capacity - 2000}}, false},
		{"memory for the request", place.Candidate{Load: place.Load{Running: 20, MemoryTokens: capacity - 40000}}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.holder.Zone, c.holder.MemoryCapacity = "a", capacity
			is.New(t).Equal(m.Cost(c.holder, work, held) < m.Cost(idle, work, place.CachedPrefix{}), c.goes)
		})
	}
}
