package exchange

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"hickorypath/internal/gateway/upstream"
	"hickorypath/internal/policy/place"
)

// TestCopySource checks from which instance another instance is told to copy the beginning of a prompt.
func TestCopySource(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	parts := []place.PromptPart{{ID: 7, Tokens: 13000}, {ID: 8, Tokens: 4000}}
	cases := []struct {
		name    string
		size    int            // number of instances of the service
		cached  map[string]int // cached tokens of the beginning, by instance
		removed string         // instance whose entry was removed
		target  func(home, before string) string
		want    func(home, before string) string // empty for none
	}{
		{"a known holder", 9, map[string]int{"i3": 13000}, "", fixedID("i4"), fixedID("i3")},
		{"the holder itself", 9, map[string]int{"i3": 13000}, "", fixedID("i3"), fixedID("")},
		{"the entry of the holder was removed", 9, map[string]int{"i3": 13000}, "i3", fixedID("i4"), fixedID("")},
		{"nothing is known in a small service", 9, nil, "", fixedID("i4"), fixedID("")},
		{"nothing is known in a large service", 30, nil, "", otherID, homeID},
		{"nothing is known and the target is the home", 30, nil, "", homeID, previousHomeID},
		{"a known holder is preferred to the home", 30, map[string]int{"i3": 13000}, "", otherID, fixedID("i3")},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			table := upstream.NewTable("z1", upstream.NewDialer(), zap.NewNop())
			for n := range c.size {
				table.Put(now, upstream.Entry{ID: fmt.Sprint("i", n), Service: "s", Address: "10.0.0.1:80"})
			}
			x := New(Options{Table: table, Log: zap.NewNop(), Now: func() time.Time { return now }})
			s := x.service("s")
			for id, tokens := range c.cached {
				s.cache.Insert(now, id, []place.PromptPart{{ID: 7, Tokens: tokens}}, 0)
			}
			if c.removed != "" {
				table.Remove(now, c.removed)
			}
			list := table.Service("s")
			home, previousHome := homeInstances(list, 7)
			target := c.target(home.ID(), previousHome.ID())
			holders := x.findPrefixHolders(s, &exchange{info: RequestInfo{PromptParts: parts}}, list, now)
			for n, i := range list {
				if i.ID() != target {
					continue
				}
				got := ""
				if from := holders.copySource(i, holders.cachedTokens[n]); from != nil {
					got = from.ID()
				}
				is.Equal(got, c.want(home.ID(), previousHome.ID()))
			}
		})
	}
}

func fixedID(id string) func(string, string) string { return func(string, string) string { return id } }
func homeID(home, _ string) string                  { return home }
func previousHomeID(_, before string) string        { return before }

// otherID returns an instance that is none of home, previousHome and i3.
func otherID(home, previousHome string) string {
	for n := 4; ; n++ {
		if id := fmt.Sprint("i", n); id != home && id != previousHome {
			return id
		}
	}
}
