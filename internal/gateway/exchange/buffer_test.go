package exchange

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickorypath/internal/policy/memory"
)

// TestLargeBuffersLeaveRoomForSmallOnes guards against responses of sound upstreams that find no memory beside endless ones.
func TestLargeBuffersLeaveRoomForSmallOnes(t *testing.T) {
	for _, endless := range []int{1, 10, 100} {
		is := is.New(t)
		account := memory.New(16 << 20)
		large := make([]*buffer, endless)
		for n := range large {
			large[n] = newBuffer(account, time.Now)
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
		is.True(account.Used(memory.Response) < account.Total())
		small, size := newBuffer(account, time.Now), 32<<10
		is.NoErr(small.readAll(strings.NewReader(strings.Repeat("a", size)), size))
		is.Equal(len(small.data), size)
		for _, b := range append(large, small) {
			b.discard(len(b.data) / 2)
			b.discard(len(b.data))
			is.Equal(cap(b.data), firstBufferSize)
			b.release()
		}
		is.Equal(account.Used(memory.Response), int64(0))
	}
}
