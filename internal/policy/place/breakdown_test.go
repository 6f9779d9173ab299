package place_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickorypath/internal/policy/place"
)

// TestPartsAddUpToTheCost guards against a part of the cost that explanations leave out.
func TestPartsAddUpToTheCost(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(3, 4))
	coin := func() bool { return r.IntN(2) == 0 }
	for range 5000 {
		m := place.CostModel{PrefillPerMs: float64(r.IntN(3)) * 45, DelayPerRunning: 2 * time.Millisecond, CrossZonePenalty: 12 * time.Millisecond, CopyPerMs: float64(r.IntN(2)) * 500}
		m.WeighsRoom = m.PrefillPerMs > 0 && coin()
		c := place.Candidate{
			Zone: string(rune('a' + r.IntN(2))), Slots: r.IntN(50), MemoryCapacity: r.IntN(2) * 400000, Slowdown: 4 * r.Float64(), Cold: coin(), Reserved: coin(),
			Load:   place.Load{Running: r.IntN(60), PendingPrefill: r.IntN(30000), MemoryTokens: r.IntN(500000)},
			Report: place.Report{Slowdown: 3 * r.Float64(), Age: time.Duration(r.IntN(1000)) * time.Millisecond},
		}
		q := place.Request{PromptTokens: r.IntN(20000), Zone: "a", HasReserved: coin(), MemoryTokens: r.IntN(20000)}
		prefix := place.CachedPrefix{Local: r.IntN(10000), Remote: r.IntN(20000)}
		b := m.Breakdown(c, q, prefix)
		sum := b.Wait + b.Prefill + b.Copy + b.Running + b.Slowdown + b.Memory + b.Slots + b.Reserved + b.Zone + b.Cold
		is.True(math.Abs(sum-b.Total) <= 1e-9*max(1, b.Total))
		is.Equal(b.Total, m.Cost(c, q, prefix))
	}
}
