package replication_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickorypath/internal/host/replication"
)

// TestExpiredRecordsStayInMemory guards against large records whose parts are kept when the records have expired.
func TestExpiredRecordsStayInMemory(t *testing.T) {
	const records, size = 40, 1 << 20
	is := is.New(t)
	heap := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	now, random := time.Unix(1_800_000_000, 0), rand.NewChaCha8([32]byte{1})
	rep := replication.New(replication.NewTable(replication.Config{Self: "h1"}), func() time.Time { return now }, func([]replication.Outgoing) {})
	value := make([]byte, size)
	rep.Put(replication.TopicUsage, "kept", 1, value[:size/2], time.Time{})
	before := heap()
	for n := range records {
		_, _ = random.Read(value) // it never fails
		is.True(rep.Put(replication.TopicUsage, fmt.Sprint("u", n), 1, value, now.Add(time.Second)))
	}
	is.True(heap() > before+records*size/2)
	now = now.Add(time.Minute)
	rep.Tick(nil)
	is.True(heap() < before+2*size)
	r, ok := rep.Get(replication.TopicUsage, "kept")
	is.True(ok)
	is.Equal(len(r.Value()), size/2)
}
