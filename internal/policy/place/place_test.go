package place_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hickorypath/internal/policy/place"
)

var model = place.CostModel{PrefillPerMs: 50, DelayPerRunning: 2 * time.Millisecond, CrossZonePenalty: 10 * time.Millisecond}

func TestCost(t *testing.T) {
	work := place.Request{PromptTokens: 17000, Zone: "a"}
	cases := []struct {
		name                      string
		better, worse             place.Candidate
		betterCached, worseCached int
	}{
		{"cached prefix", place.Candidate{Zone: "b", Load: place.Load{Running: 5}}, place.Candidate{Zone: "a"}, 13000, 0},
		{"a long queue outweighs a cached prefix", place.Candidate{Zone: "a"}, place.Candidate{Zone: "a", Load: place.Load{PendingPrefill: 30000}}, 0, 13000},
		{"same zone among equals", place.Candidate{Zone: "a"}, place.Candidate{Zone: "b"}, 0, 0},
		{"fewer running requests", place.Candidate{Zone: "a", Load: place.Load{Running: 3}}, place.Candidate{Zone: "a", Load: place.Load{Running: 9}}, 0, 0},
		{"free slots", place.Candidate{Zone: "b", Slots: 8, Load: place.Load{Running: 7}}, place.Candidate{Zone: "a", Slots: 8, Load: place.Load{Running: 8}}, 0, 0},
		{"normal latency", place.Candidate{Zone: "b"}, place.Candidate{Zone: "a", Slowdown: 3}, 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).True(model.Cost(c.better, work, place.CachedPrefix{Local: c.betterCached}) < model.Cost(c.worse, work, place.CachedPrefix{Local: c.worseCached}))
		})
	}
}

func TestCanAccept(t *testing.T) {
	cases := []struct {
		name      string
		candidate place.Candidate
		tokens    int
		urgent    bool
		want      bool
	}{
		{"idle upstream accepts any request", place.Candidate{MemoryCapacity: 1000}, 50000, false, true},
		{"short prefill wait", place.Candidate{Slots: 64, MemoryCapacity: 400000, Load: place.Load{Running: 5, PendingPrefill: 10000}}, 4000, false, true},
		{"long prefill wait", place.Candidate{Slots: 64, MemoryCapacity: 400000, Load: place.Load{Running: 5, PendingPrefill: 25000}}, 4000, false, false},
		{"long prefill wait, urgent", place.Candidate{Slots: 64, MemoryCapacity: 400000, Load: place.Load{Running: 5, PendingPrefill: 25000}}, 4000, true, true},
		{"no free slot", place.Candidate{Slots: 64, MemoryCapacity: 400000, Load: place.Load{Running: 64}}, 4000, true, false},
		{"memory is full", place.Candidate{Slots: 64, MemoryCapacity: 400000, Load: place.Load{Running: 30, MemoryTokens: 520000}}, 4000, false, false},
		{"memory is full for a brittle upstream", place.Candidate{Slots: 64, MemoryCapacity: 400000, Brittle: true, Load: place.Load{Running: 30, MemoryTokens: 398000}}, 4000, true, false},
		{"memory is full, urgent", place.Candidate{Slots: 64, MemoryCapacity: 400000, Load: place.Load{Running: 30, MemoryTokens: 520000}}, 4000, true, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(model.CanAccept(c.candidate, place.Request{MemoryTokens: c.tokens, Urgent: c.urgent}, place.CachedPrefix{}), c.want)
		})
	}
}

func TestServiceAcceptsBeyondItsSlots(t *testing.T) {
	is := is.New(t)
	service := place.CostModel{}
	full := place.Candidate{Slots: 6, Load: place.Load{Running: 6}}
	is.True(service.CanAccept(full, place.Request{}, place.CachedPrefix{}))
	full.Brittle = true
	is.True(!service.CanAccept(full, place.Request{}, place.CachedPrefix{}))
}

func TestPrefixIndex(t *testing.T) {
	is := is.New(t)
	c := place.NewPrefixIndex()
	now := time.Unix(1_800_000_000, 0)
	a, b, own := place.PromptPart{ID: 1, Tokens: 100}, place.PromptPart{ID: 2, Tokens: 50}, place.PromptPart{ID: 3, Tokens: 10}
	c.Insert(now, "u", []place.PromptPart{a, b}, 160)
	is.Equal(c.CachedTokens(now, "u", []place.PromptPart{a, b, own}), 150)
	is.Equal(c.CachedTokens(now, "u", []place.PromptPart{b, own}), 50)
	is.Equal(c.CachedTokens(now, "u", []place.PromptPart{own, a}), 0) // only a contiguous prefix counts
	is.Equal(c.CachedTokens(now, "v", []place.PromptPart{a}), 0)
	is.True(c.Contains(now, 1) && !c.Contains(now, 9))
	c.Insert(now.Add(time.Second), "u", []place.PromptPart{{ID: 4, Tokens: 100}}, 160) // evicts the least recently used parts
	is.Equal(c.CachedTokens(now, "u", []place.PromptPart{{ID: 4, Tokens: 100}}), 100)
	is.True(c.CachedTokens(now, "u", []place.PromptPart{a, b}) < 150)
	c.Forget("u")
	is.Equal(c.CachedTokens(now, "u", []place.PromptPart{a}), 0)
}

// TestExpiredPartsAreKept guards against parts of prompts that have long left the caches and still keep later requests from their home,
// or stay in memory where the upstreams name no capacity.
func TestExpiredPartsAreKept(t *testing.T) {
	is := is.New(t)
	const lifetime = 40 * time.Second
	now := time.Unix(1_800_000_000, 0)
	c := place.NewPrefixIndex()
	c.Insert(now, "u", []place.PromptPart{{ID: 1, Tokens: 100}}, 0)
	is.True(c.Contains(now.Add(lifetime), 1))
	is.True(!c.Contains(now.Add(lifetime+time.Second), 1))
	c.Insert(now.Add(lifetime+time.Second), "u", []place.PromptPart{{ID: 2, Tokens: 100}}, 0)
	is.True(!c.Contains(now, 1)) // removed
}
