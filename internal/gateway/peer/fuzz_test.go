package peer

import (
	"testing"
	"time"

	"hickorypath/internal/policy/place"
	"hickorypath/internal/policy/sizing"
)

// FuzzDatagram decodes arbitrary bytes as a datagram and records the message in a Table. No input may cause a panic, and
// every message that was decoded can be encoded and decoded again.
func FuzzDatagram(f *testing.F) {
	data, err := encode(Message{
		Host: "a", StartTime: 3, Sequence: 7, Address: "10.0.0.1:7340", Counts: map[int64]map[string]int{7: {"club": 3}},
		Loads: map[string]place.Load{"u": {Running: 2, PendingPrefill: 30}}, Demand: map[string]sizing.Demand{"s": {PromptRate: 5}},
		CachedPrefixes: map[string][]place.PrefixUpdate{"s": {{Upstream: "u", Parts: []place.PromptPart{{ID: 1, Tokens: 2}}}}},
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := decode(data)
		if err != nil {
			return
		}
		now := time.Unix(1_800_000_000, 0)
		table := NewTable("self", "z", "self:1", 0, 7)
		table.Record(now, m)
		table.Loads(now)
		table.Demand(now, "s")
		table.Counts(7)
		table.HasNewerConfig(now, 1)
		table.Sweep(now.Add(time.Minute), 8)
		again, err := encode(m)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := decode(again); err != nil {
			t.Fatal(err)
		}
	})
}
