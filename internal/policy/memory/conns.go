package memory

import (
	"cmp"
	"slices"
	"time"
)

// Conn describes an open connection.
type Conn[T any] struct {
	Conn      T
	Client    string    // address without the port
	Since     time.Time // when the connection became idle, or its unfinished request made progress last
	Evictable bool      // no request is under way on it
}

// LeastActive returns the evictable connections in the order in which they are to be closed for new ones: those of the client with most
// connections first, and among them the one that has been without activity for longest.
func LeastActive[T any](conns []Conn[T]) []T {
	perClient := map[string]int{}
	for _, c := range conns {
		perClient[c.Client]++
	}
	list := slices.DeleteFunc(slices.Clone(conns), func(c Conn[T]) bool { return !c.Evictable })
	slices.SortFunc(list, func(a, b Conn[T]) int {
		return cmp.Or(cmp.Compare(perClient[b.Client], perClient[a.Client]), a.Since.Compare(b.Since))
	})
	out := make([]T, len(list))
	for n, c := range list {
		out[n] = c.Conn
	}
	return out
}
