package memory_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hickorypath/internal/policy/memory"
)

const mib = 1 << 20

// TestEvictionFromAFullAccount guards against requests that find no memory beside unfinished ones which have stopped, and against evictions of
// requests that arrive at a good pace or were read whole.
func TestEvictionFromAFullAccount(t *testing.T) {
	type hold struct {
		client   string
		size     int64
		age      time.Duration // since its last progress
		complete bool
	}
	cases := []struct {
		name    string
		others  []hold
		size    int64 // asked for by client c
		want    error
		evicted []int
	}{
		{"there is room", []hold{{"a", 8 * mib, time.Minute, false}}, 4 * mib, nil, nil},
		{"a slow one is evicted", []hold{{"a", 12 * mib, time.Minute, false}, {"b", 1 * mib, 0, false}}, 4 * mib, nil, []int{0}},
		{"the client that holds most goes first", []hold{{"a", 5 * mib, time.Minute, false}, {"b", 4 * mib, time.Minute, false}, {"b", 4 * mib, time.Minute, false}}, 4 * mib, nil, []int{1, 2}},
		{"a slow one of the same client", []hold{{"c", 12 * mib, time.Second, false}}, 4 * mib, nil, []int{0}},
		{"one at a good pace of a client that holds more", []hold{{"a", 8 * mib, 0, false}, {"a", 6 * mib, 0, false}}, 2 * mib, nil, []int{0}},
		{"none at a good pace of a client that holds less", []hold{{"a", 3 * mib, 0, false}, {"b", 3 * mib, 0, false}, {"d", 3 * mib, 0, false}}, 4 * mib, memory.ErrFull, nil},
		{"none that was read whole", []hold{{"a", 12 * mib, time.Minute, true}}, 4 * mib, memory.ErrFull, nil},
		{"none in vain", []hold{{"a", 12 * mib, time.Minute, true}, {"b", 1 * mib, time.Minute, false}}, 4 * mib, memory.ErrFull, nil},
		{"more than a hold may ever take", []hold{{"a", 1 * mib, time.Minute, false}}, 9 * mib, memory.ErrFull, nil},
		{"a small one always fits", []hold{{"a", 16 * mib, 0, true}}, memory.FreeSize, nil, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1_800_000_000, 0)
			a := memory.New(16 * mib)
			evicted := map[int]bool{}
			var holds []*memory.Hold
			for n, o := range c.others {
				h := a.Open(now.Add(-o.age), memory.Unfinished, o.client, func() { evicted[n] = true })
				h.Force(o.size)
				if o.complete {
					is.NoErr(h.Complete())
				}
				holds = append(holds, h)
			}
			asking := a.Open(now, memory.Unfinished, "c", nil)
			is.Equal(asking.Grow(now, c.size), c.want)
			is.Equal(len(evicted), len(c.evicted))
			for _, n := range c.evicted {
				is.True(evicted[n])
				is.Equal(holds[n].Grow(now, 1), memory.ErrEvicted)
			}
			is.Equal(a.Evicted(), uint64(len(c.evicted)))
			asking.Close()
			for _, h := range holds {
				h.Close()
				h.Close()
			}
			for _, k := range memory.Kinds {
				is.Equal(a.Used(k), int64(0))
			}
		})
	}
}

// TestLargeHoldsLeaveRoomForSmallOnes guards against small requests and responses that find no memory beside large ones which cannot be evicted.
func TestLargeHoldsLeaveRoomForSmallOnes(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	for _, n := range []int{1, 10, 100, 1000} {
		a := memory.New(32 * mib)
		large := make([]*memory.Hold, n)
		for k := range large {
			large[k] = a.Open(now, memory.Response, "", nil)
		}
		for size := int64(memory.FreeSize); size <= 32*mib; size *= 2 {
			for _, h := range large {
				_ = h.Grow(now, size) // until it is refused
			}
		}
		is.True(a.Used(memory.Response) < a.Total())
		is.NoErr(a.Open(now, memory.Unfinished, "a", nil).Grow(now, 8<<10))
	}
}

// TestClosedHoldTakesNothing guards against memory that is never given back, since a body is read on in another goroutine when its request ends.
func TestClosedHoldTakesNothing(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	a := memory.New(16 * mib)
	h := a.Open(now, memory.Unfinished, "a", nil)
	h.Close()
	is.Equal(h.Grow(now, mib), memory.ErrClosed)
	is.Equal(a.Used(memory.Unfinished), int64(0))
}
