package replication_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"hickorypath/internal/host/replication"
	"hickorypath/internal/operator/key"
)

const (
	keyCount      = 90_000
	customerCount = 29_000
	documentSize  = customerCount * 100 // bytes
)

func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkMemory reports the heap size of all keys and of the document.
func BenchmarkMemory(b *testing.B) {
	for range b.N {
		now := time.Unix(1000, 0)
		before := heapBytes()
		t := replication.NewTable(replication.Config{Self: "h"})
		for i := range keyCount {
			_, rec := key.Generate()
			rec = rec.IssueTo(fmt.Sprintf("customer-%05d", i%customerCount), now)
			t.PutLocal(now, replication.NewRecord(replication.TopicKey, rec.ID(), rec.Version(), rec.Encode(), time.Time{}))
			t.Drain()
		}
		afterKeys := heapBytes()
		t.PutLocal(now, replication.NewRecord(replication.TopicDocument, "", 1, randomText(documentSize), time.Time{}))
		t.Drain()
		b.ReportMetric((afterKeys-before)/keyCount, "B/key")
		b.ReportMetric((heapBytes()-afterKeys)/documentSize, "B/document-B")
		b.ReportMetric((heapBytes()-before)/1e6, "MB")
		runtime.KeepAlive(t)
	}
}

func randomText(size int) []byte {
	r := rand.New(rand.NewPCG(7, 7))
	b := make([]byte, size)
	for i := range b {
		b[i] = byte('a' + r.IntN(26))
	}
	return b
}

// BenchmarkChange reports the payload bytes that a change of one customer in the document sends over a link.
func BenchmarkChange(b *testing.B) {
	for _, size := range []int{60_000, documentSize} {
		b.Run(fmt.Sprint("document=", size), func(b *testing.B) { benchmarkChange(b, size) })
	}
}

func benchmarkChange(b *testing.B, size int) {
	now := time.Unix(1000, 0)
	f := newFleet(2)
	doc := randomText(size)
	bytes := 0
	put := func(version uint64) {
		f.tables["h0"].Put(now, replication.NewRecord(replication.TopicDocument, "", version, doc, time.Time{}))
		for progress := true; progress; {
			progress = false
			for i, id := range f.ids {
				out, _ := f.tables[id].Drain()
				for _, s := range out {
					progress = true
					bytes += payloadSize(s.Message)
					f.tables[f.ids[1-i]].Receive(now, id, s.Message)
				}
			}
			now = now.Add(300 * time.Millisecond)
			f.tables["h1"].Tick(now)
		}
	}
	put(1)
	bytes = 0
	b.ResetTimer()
	for i := range b.N {
		doc[(i*7919)%len(doc)] ^= 1
		put(uint64(i + 2))
	}
	if f.tables["h1"].Version(replication.TopicDocument, "") != uint64(b.N+1) {
		b.Fatal("the document did not arrive")
	}
	b.ReportMetric(float64(bytes)/float64(b.N), "B/change")
}

func payloadSize(m replication.Message) int {
	n := len(m.Ack) + len(m.WantChunks) + len(m.PackedChunks)
	for _, w := range m.Push {
		n += len(w.Value) + len(w.Refs)
	}
	for _, c := range m.Chunks {
		n += len(c)
	}
	return n
}
