package budget_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickorypath/internal/policy/budget"
)

var conf = budget.Config{Ratio: 0.2, Minimum: 54, Window: 10 * time.Second}

// take sends a retry if the budget allows it.
func take(b *budget.Budget, now time.Duration, hosts int) bool {
	if !b.Hold(now, hosts) {
		return false
	}
	b.Use(now)
	return true
}

// TestFleetKeepsRetryBound simulates an outage in which every request asks for three retries, on hosts with
// unequal shares of the traffic, and checks the limit of the whole fleet in every window.
func TestFleetKeepsRetryBound(t *testing.T) {
	const hosts = 7
	for seed := range uint64(5) {
		is := is.New(t)
		rng := rand.New(rand.NewPCG(seed, 1))
		budgets := make([]*budget.Budget, hosts)
		for i := range budgets {
			budgets[i] = budget.New(conf)
		}
		var requests, retries []time.Duration
		now := time.Hour
		for end := now + 40*time.Second; now < end; now += time.Duration(rng.IntN(50)) * time.Millisecond {
			b := budgets[rng.IntN(hosts)*rng.IntN(hosts)/hosts]
			b.RecordRequest(now)
			requests = append(requests, now)
			for range 3 {
				if take(b, now, hosts) {
					retries = append(retries, now)
				}
			}
		}
		count := func(list []time.Duration, from time.Duration) (n int) {
			for _, t := range list {
				if t >= from && t < from+conf.Window {
					n++
				}
			}
			return n
		}
		for _, from := range requests {
			is.True(float64(count(retries, from)) <= conf.Ratio*float64(max(count(requests, from), count(requests, from-conf.Window)))+float64(conf.Minimum))
		}
		is.True(len(retries) > len(requests)/10) // the budget allows a useful number of retries
	}
}

func TestHostKeepsItsShareOfMinimum(t *testing.T) {
	is := is.New(t)
	b := budget.New(conf)
	now := time.Hour
	n := 0
	for take(b, now, 7) {
		n++
	}
	is.True(n > 0 && n <= 54/7)
	is.True(!take(b, now+5*time.Second, 7))
	is.True(take(b, now+11*time.Second, 7))
}

// TestHostSpendsWhatItCannotKnowOf guards against a host that takes a share of the minimum before it knows the fleet, or what an earlier
// process of it has spent.
func TestHostSpendsWhatItCannotKnowOf(t *testing.T) {
	cases := []struct {
		name     string
		age      time.Duration // of the process
		hosts    int           // that it knows of; 0 for not known
		requests int
		want     int
	}{
		{"just started", 0, 6, 0, 0},
		{"just started, with requests", 0, 6, 100, 16},
		{"a window old", 10 * time.Second, 6, 0, 7},
		{"fleet not known", time.Minute, 0, 0, 0},
		{"fleet not known, with requests", time.Minute, 0, 100, 16},
		{"fleet known", time.Minute, 6, 100, 23},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			start := time.Hour
			started := conf
			started.KnownFrom = start + conf.Window
			b := budget.New(started)
			for range c.requests {
				b.RecordRequest(start + c.age)
			}
			n := 0
			for take(b, start+c.age, c.hosts) {
				n++
			}
			is.Equal(n, c.want)
		})
	}
}

// TestRetryThatWaitsIsNotCounted guards against retries that are allowed in one window, wait, and arrive in the next one beside its own.
func TestRetryThatWaitsIsNotCounted(t *testing.T) {
	is := is.New(t)
	b := budget.New(conf)
	now, held := time.Hour, 0
	for b.Hold(now, 1) {
		held++
	}
	now += conf.Window + time.Second
	is.True(!b.Hold(now, 1))
	for range held {
		b.Use(now)
	}
	is.True(!b.Hold(now, 1))
	now += conf.Window + time.Second
	is.True(b.Hold(now, 1))
	b.Release()
}
