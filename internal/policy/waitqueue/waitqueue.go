// Package waitqueue orders the requests that wait for an upstream during bursts that exceed the capacity of the
// upstreams. Requests are ordered by rank and, within a rank, by age, oldest first. The package does no I/O and
// reads no clock.
package waitqueue

import (
	"slices"
	"sort"
	"time"
)

// Item is a queued request.
type Item[T any] struct {
	value      T
	rank       int // 0 is the most urgent
	enqueuedAt time.Time
	tokens     int
}

// Value returns the request.
func (i *Item[T]) Value() T { return i.value }

// Queue holds the waiting requests of one service. It is not safe for concurrent use.
type Queue[T any] struct {
	items []*Item[T]
}

// New returns an empty Queue.
func New[T any]() *Queue[T] { return &Queue[T]{} }

// Push adds a request and returns its item. tokens is the number of prompt tokens that an upstream still has to
// read for the request.
func (q *Queue[T]) Push(now time.Time, value T, rank, tokens int) *Item[T] {
	item := &Item[T]{value: value, rank: rank, enqueuedAt: now, tokens: tokens}
	at := sort.Search(len(q.items), func(i int) bool { return item.isBefore(q.items[i]) })
	q.items = slices.Insert(q.items, at, item)
	return item
}

func (i *Item[T]) isBefore(other *Item[T]) bool {
	if i.rank != other.rank {
		return i.rank < other.rank
	}
	return i.enqueuedAt.Before(other.enqueuedAt)
}

// Remove removes a request and reports whether the request was in the queue.
func (q *Queue[T]) Remove(item *Item[T]) bool {
	at := slices.Index(q.items, item)
	if at < 0 {
		return false
	}
	q.items = slices.Delete(q.items, at, at+1)
	return true
}

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int { return len(q.items) }

// Tokens returns the sum of the tokens of all waiting requests.
func (q *Queue[T]) Tokens() (tokens int) {
	for _, i := range q.items {
		tokens += i.tokens
	}
	return tokens
}

// TokensAhead returns the tokens of the requests that would go before a new request with the given rank.
func (q *Queue[T]) TokensAhead(rank int) (tokens int) {
	for _, i := range q.items {
		if i.rank <= rank {
			tokens += i.tokens
		}
	}
	return tokens
}

// Ahead returns the number of requests that would go before a new request with the given rank.
func (q *Queue[T]) Ahead(rank int) (n int) {
	for _, i := range q.items {
		if i.rank <= rank {
			n++
		}
	}
	return n
}

// EachAhead calls f for the requests that would go before a new request with the given rank, in order.
func (q *Queue[T]) EachAhead(rank int, f func(value T, tokens int)) {
	for _, i := range q.items {
		if i.rank <= rank {
			f(i.value, i.tokens)
		}
	}
}

// Dispatch offers the requests in order to take, which reports whether the request could be placed. Placed
// requests leave the queue. A request that could not be placed blocks all later requests, so that large requests
// are not starved by small ones, unless skip reports that the request cannot use the capacity that the others
// wait for.
func (q *Queue[T]) Dispatch(take func(T) bool, skip func(T) bool) {
	kept := q.items[:0]
	blocked := false
	for _, i := range q.items {
		if !blocked && take(i.value) {
			continue
		}
		blocked = blocked || !skip(i.value)
		kept = append(kept, i)
	}
	clear(q.items[len(kept):])
	q.items = kept
}
