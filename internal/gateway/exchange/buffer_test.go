package exchange

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestLargeBuffersLeaveRoomForSmallOnes guards against responses of sound upstreams that find no memory beside endless ones.
func TestLargeBuffersLeaveRoomForSmallOnes(t *testing.T) {
	for _, endless := range []int{1, 10, 100} {
		is := is.New(t)
		budget := &bufferBudget{total: 16 << 20}
		large := make([]*buffer, endless)
		for n := range large {
			large[n] = newBuffer(budget)
		}
		for growing := true; growing; { // all at the same pace
			growing = false
			for _, b := range large {
				b.data = b.data[:cap(b.data)]
				if _, err := b.read(strings.NewReader("a")); err == nil {
					growing = true
				}
			}
		}
		is.True(budget.used < budget.total)
		small, size := newBuffer(budget), 32<<10
		is.NoErr(small.readAll(strings.NewReader(strings.Repeat("a", size)), size))
		is.Equal(len(small.data), size)
		for _, b := range append(large, small) {
			b.discard(len(b.data) / 2)
			b.discard(len(b.data))
			is.Equal(cap(b.data), firstBufferSize)
			b.release()
		}
		is.Equal(budget.used, 0)
	}
}
