package admit_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"hickorypath/internal/policy/admit"
)

var start = time.Unix(1_700_000_000, 0)

func TestHeld(t *testing.T) {
	is := is.New(t)
	g := admit.New(7)
	is.Equal(g.Held(start), admit.None)
	g.Shed(start, 4)
	is.Equal(g.Held(start), 4)
	g.Peer(start, "b", 2)
	is.Equal(g.Held(start), 2) // the highest tier that any host sheds
	is.Equal(g.Shedding(start), 4)
	g.Peer(start, "b", admit.None)
	is.Equal(g.Held(start), 4)
	is.Equal(g.Held(start.Add(2*time.Second)), admit.None)
}

func TestRetryGrowsWithTheOverload(t *testing.T) {
	is := is.New(t)
	g := admit.New(2)
	now := start
	for range 20 {
		now = now.Add(500 * time.Millisecond)
		g.Shed(now, 0)
		g.Held(now)
	}
	is.True(g.RetryHeld(now, 1) >= 9*time.Second)
	is.True(g.Retry(now, 0, 2*time.Second, 2*time.Second) >= 9*time.Second)
	later := now.Add(time.Minute)
	g.Shed(later, 0)
	is.Equal(g.Retry(later, 0, 5*time.Second, 2*time.Second), 3*time.Second)
	is.Equal(g.Retry(later, 0, 2*time.Second, 2*time.Second), time.Second)
}

func TestWaitCountsHigherArrivals(t *testing.T) {
	is := is.New(t)
	g := admit.New(2)
	is.Equal(g.Wait(start, 1, 1000, 10), time.Duration(0)) // nothing has ended yet
	g.Done(200, 6*time.Second)
	before := g.Wait(start, 1, 1000, 10)
	for i := range 100 {
		g.Arrive(start.Add(time.Duration(i)*30*time.Millisecond), 0, 100)
	}
	is.True(g.Wait(start.Add(3*time.Second), 1, 1000, 10) > before)
}

func TestSplit(t *testing.T) {
	cases := []struct {
		name  string
		slots int
		loads []admit.Load
		want  []int
	}{
		{"idle", 9, []admit.Load{{Host: "a"}, {Host: "b"}, {Host: "c"}}, []int{3, 3, 3}},
		{"higher tier first", 10, []admit.Load{{Host: "a", Want: []float64{8, 0}}, {Host: "b", Want: []float64{0, 9}}}, []int{8, 2}},
		{"by weight", 10, []admit.Load{
			{Host: "a", Want: []float64{90}, Weight: []float64{1}},
			{Host: "b", Want: []float64{90}, Weight: []float64{4}},
		}, []int{2, 8}},
		{"small want is met", 10, []admit.Load{{Host: "a", Want: []float64{1}}, {Host: "b", Want: []float64{90}}}, []int{1, 9}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(admit.Split(c.slots, c.loads), c.want)
		})
	}
}

// TestGrowNeverExceeds checks that limits never let hosts start more than what is free.
func TestGrowNeverExceeds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(t, "hosts")
		slots := rapid.IntRange(0, 60).Draw(t, "slots")
		loads, running, sum := make([]admit.Load, n), make([]int, n), 0
		for i := range loads {
			loads[i] = admit.Load{Host: string(rune('a' + i)), Want: []float64{float64(rapid.IntRange(0, 40).Draw(t, "want"))}}
			running[i] = rapid.IntRange(0, 20).Draw(t, "running")
			sum += running[i]
		}
		parts := admit.Split(slots, loads)
		all := 0
		for _, p := range parts {
			all += p
		}
		if all > slots {
			t.Fatalf("parts %v of %d", parts, slots)
		}
		more := 0
		for i, limit := range admit.Grow(slots, parts, running) {
			more += max(0, limit-running[i])
		}
		if more > max(0, slots-sum) {
			t.Fatalf("%d starts into %d free slots", more, slots-sum)
		}
	})
}

func TestAdoptOnlyWithoutOwn(t *testing.T) {
	is := is.New(t)
	g := admit.New(1)
	g.Adopt(0.03, 6*time.Second)
	is.Equal(g.Turn(6), time.Second)
	g.Adopt(0.01, time.Second)
	is.Equal(g.Turn(6), time.Second)
}

func TestPaceIgnoresStalls(t *testing.T) {
	is := is.New(t)
	g := admit.New(1)
	for range 200 {
		g.Done(200, 4*time.Second)
	}
	is.True(g.Pace() > 0.0199 && g.Pace() < 0.0201)
	g.Done(10, time.Minute)
	is.True(g.Pace() < 0.024)
	for range 200 {
		g.Done(1, 50*time.Millisecond) // a plain service
	}
	is.True(g.Turn(1) < 300*time.Millisecond)
}
