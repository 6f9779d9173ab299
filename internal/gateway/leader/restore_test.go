package leader

import (
	"maps"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"hickorypath/internal/core/clock"
	"hickorypath/internal/state/store"
)

// TestFixedCountsSurviveARestore restores the store from a copy without the counts of a window that may have been reported. The
// leader, or the next one, must use the same counts although it counts differently meanwhile.
func TestFixedCountsSurviveARestore(t *testing.T) {
	for _, leaderDies := range []bool{false, true} {
		t.Run("leader dies "+strconv.FormatBool(leaderDies), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				const window, otherWindow = 7, 8
				memory := store.NewMemory(clock.NewWall())
				told := map[int64]map[string]int{} // what the hosts have told each other
				counted := 5
				host := func() *UsageReporter {
					return NewUsageReporter(UsageReporterOptions{
						Store:       store.New(memory.Backend(), store.Options{Clock: clock.NewWall()}),
						Counts:      func(int64) map[string]int { return map[string]int{"club": counted} },
						FixedCounts: func(w int64) (map[string]int, bool) { c, ok := told[w]; return c, ok },
						FixCounts:   func(w int64, c map[string]int) { told[w] = c },
						IsKnown:     func(int64) bool { return true },
						Log:         zap.NewNop(),
					})
				}
				fix := func(r *UsageReporter, w int64) map[string]int {
					for {
						counts, err := r.fixCounts(t.Context(), w)
						if err == nil {
							return counts
						}
						time.Sleep(250 * time.Millisecond)
					}
				}
				copied := memory.Snapshot()
				a := host()
				is.Equal(fix(a, window), map[string]int{"club": 5})
				counted = 6
				memory.Restore(copied)
				next := a
				if leaderDies {
					next = host()
				}
				is.Equal(fix(next, otherWindow), map[string]int{"club": 6})
				is.Equal(fix(next, window), map[string]int{"club": 5})
				value, _, _ := memory.Read(usageKey)
				is.True(strings.Contains(string(value), `"7":{"club":5}`) && strings.Contains(string(value), `"8":{"club":6}`))
				is.True(maps.Equal(told[window], map[string]int{"club": 5}))
				time.Sleep(time.Minute)
			})
		})
	}
}

// TestCountsThatNobodyKnowsAreNotFixed guards against a window that is reported a second time, from counters that began after it.
func TestCountsThatNobodyKnowsAreNotFixed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		memory := store.NewMemory(clock.NewWall())
		isKnown := true
		host := func() *UsageReporter {
			return NewUsageReporter(UsageReporterOptions{
				Store:       store.New(memory.Backend(), store.Options{Clock: clock.NewWall()}),
				Counts:      func(int64) map[string]int { return map[string]int{"club": 5} },
				FixedCounts: func(int64) (map[string]int, bool) { return nil, false },
				FixCounts:   func(int64, map[string]int) {},
				IsKnown:     func(int64) bool { return isKnown },
				Log:         zap.NewNop(),
			})
		}
		counts, err := host().fixCounts(t.Context(), 7)
		is.NoErr(err)
		is.Equal(counts, map[string]int{"club": 5})
		isKnown = false
		counts, err = host().fixCounts(t.Context(), 7) // the store has them
		is.NoErr(err)
		is.Equal(counts, map[string]int{"club": 5})
		_, err = host().fixCounts(t.Context(), 8)
		is.True(errors.Is(err, errUnknownCounts))
	})
}
