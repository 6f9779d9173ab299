package waitqueue_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hickorypath/internal/policy/waitqueue"
)

func TestDispatchOrder(t *testing.T) {
	is := is.New(t)
	q := waitqueue.New[string]()
	start := time.Unix(0, 0)
	q.Push(start, "old", 2, 10)
	q.Push(start.Add(1), "urgent", 0, 20)
	q.Push(start.Add(2), "young", 2, 30)
	removed := q.Push(start.Add(3), "leaving", 1, 40)
	is.Equal(q.TokensAhead(0), 20)
	is.Equal(q.TokensAhead(1), 60)
	is.Equal(q.Ahead(0), 1)
	is.Equal(q.Ahead(1), 2)
	is.True(q.Remove(removed))
	is.True(!q.Remove(removed))
	is.Equal(q.Tokens(), 60)
	var order []string
	q.Dispatch(func(s string) bool { order = append(order, s); return true }, func(string) bool { return false })
	is.Equal(order, []string{"urgent", "old", "young"})
	is.Equal(q.Len(), 0)
}

// TestLargeRequestIsNotStarved checks that a request that finds no room blocks the later ones, unless skip
// reports that no upstream is left for that request.
func TestLargeRequestIsNotStarved(t *testing.T) {
	for _, c := range []struct {
		name string
		skip bool
		want []string
	}{{"waits for room", false, nil}, {"has no upstream left", true, []string{"small"}}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			q := waitqueue.New[string]()
			q.Push(time.Unix(0, 0), "large", 1, 50000)
			q.Push(time.Unix(1, 0), "small", 1, 5)
			var got []string
			q.Dispatch(func(s string) bool {
				if s == "large" {
					return false
				}
				got = append(got, s)
				return true
			}, func(s string) bool { return c.skip && s == "large" })
			is.Equal(got, c.want)
			is.Equal(q.Len(), 2-len(c.want))
		})
	}
}
