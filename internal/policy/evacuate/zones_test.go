package evacuate_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickorypath/internal/policy/evacuate"
)

// era returns the era of a revision; the tests count eras in millions.
func era(revision uint64) uint64 { return revision / 1_000_000 }

// TestEvacuationsFollowTheOperator guards against evacuated zones that get requests, and against zones that stay evacuated for ever, when hosts learn of
// the operator's writes late, in another order, or from a store that has lost some of them.
func TestEvacuationsFollowTheOperator(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	type step func(z *evacuate.Zones)
	write := func(zone string, revision uint64) step {
		return func(z *evacuate.Zones) { z.Record(zone, evacuate.Statement{Revision: revision, Evacuated: true}) }
	}
	remove := func(zone string, revision uint64) step {
		return func(z *evacuate.Zones) { z.Record(zone, evacuate.Statement{Revision: revision}) }
	}
	sync := func(revision uint64, zones ...string) step {
		return func(z *evacuate.Zones) {
			z.RecordSync(now, revision, func(zone string) bool { return strings.Contains(strings.Join(zones, " "), zone) }, era)
		}
	}
	expire := func(after time.Duration) step {
		return func(z *evacuate.Zones) { z.Expire(now.Add(after)) }
	}
	cases := []struct {
		name  string
		steps []step
		want  string
	}{
		{"written", []step{write("a", 5)}, "a"},
		{"withdrawn", []step{write("a", 5), remove("a", 6)}, ""},
		{"withdrawn, heard in the other order", []step{remove("a", 6), write("a", 5)}, ""},
		{"written again", []step{write("a", 5), remove("a", 6), write("a", 7)}, "a"},
		{"two zones", []step{write("a", 5), write("b", 6), remove("a", 7)}, "b"},
		{"withdrawn while the history was lost", []step{write("a", 5), sync(9)}, ""},
		{"still there after the history was lost", []step{write("a", 5), sync(9, "a")}, "a"},
		{"an old read after a newer statement of another host", []step{write("a", 50), sync(9)}, "a"},
		{"lost by a store that was restored", []step{write("a", 5), sync(1_000_003)}, "a"},
		{"lost by a restore and written again", []step{write("a", 5), sync(1_000_003), write("a", 1_000_009), expire(time.Minute)}, "a"},
		{"lost by a restore and withdrawn meanwhile", []step{write("a", 5), sync(1_000_003), expire(31 * time.Second)}, ""},
		{"lost by a restore a moment ago", []step{write("a", 5), sync(1_000_003), expire(10 * time.Second)}, "a"},
		{"an older copy brings a withdrawn one back", []step{write("a", 5), remove("a", 6), write("a", 1_000_003)}, "a"},
		{"malformed names", []step{write("", 5), write("a b", 5), write("a\x00", 5), write(strings.Repeat("z", 257), 5)}, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			z := evacuate.New()
			for _, s := range c.steps {
				s(z)
			}
			is.Equal(strings.Join(z.List(), " "), c.want)
			other := evacuate.New() // a host that hears of it from this one
			other.Merge(z.Statements())
			is.Equal(strings.Join(other.List(), " "), c.want)
			is.Equal(len(other.Merge(z.Statements())), 0)
		})
	}
}
