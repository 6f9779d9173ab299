package store_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	"hickorypath/internal/core/clock"
	"hickorypath/internal/core/kind"
	standin "hickorypath/internal/standin/store"

	"hickorypath/internal/state/store"
)

func newClient(m *store.Memory, c clock.Clock) *store.Client {
	return store.New(m.Backend(), store.Options{
		Clock:        c,
		Rand:         rand.New(rand.NewPCG(1, 2)),
		WatchTimeout: 5 * time.Second,
	})
}

func TestPutUnderFaults(t *testing.T) {
	cases := []struct {
		name   string
		faults store.Faults
		cond   store.Condition
		want   kind.Kind
		kept   string
	}{
		{"no fault", store.Faults{}, store.Absent(), "", "new"},
		{"one response lost", store.Faults{LoseReplies: 1}, store.Absent(), "", "new"},
		{"three responses lost", store.Faults{LoseReplies: 3}, store.Absent(), "", "new"},
		{"request lost", store.Faults{DropCalls: 1}, store.Absent(), "", "new"},
		{"request and response lost", store.Faults{DropCalls: 1, LoseReplies: 1}, store.Absent(), "", "new"},
		{"slow", store.Faults{Latency: 300 * time.Millisecond}, store.Absent(), "", "new"},
		{"down", store.Faults{Down: true}, store.Absent(), kind.Store, ""},
		{"silent", store.Faults{Silent: true}, store.Absent(), kind.OutcomeUnknown, ""},
		{"condition fails", store.Faults{}, store.At(7), kind.Conflict, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				clk := clock.NewWall()
				m := store.NewMemory(clk)
				m.SetFaults(c.faults)
				_, err := newClient(m, clk).Put(t.Context(), "k", []byte("new"), c.cond)
				is.Equal(kind.Of(err), c.want)
				value, _, _ := m.Read("k")
				is.Equal(string(value), c.kept)
			})
		})
	}
}

// The response to a write gets lost, and another client overwrites the key before the writer reads it back. The
// writer must still learn the true outcome, or that the outcome is unknown.
func TestLostReplyOfOverwrittenWrite(t *testing.T) {
	cases := []struct {
		name   string
		faults store.Faults
		writes int // by another client before the key is read back
		want   kind.Kind
	}{
		{"took effect, overwritten once", store.Faults{LoseReplies: 1}, 1, ""},
		{"took effect, overwritten three times", store.Faults{LoseReplies: 1}, 3, ""},
		{"no effect, another write came first", store.Faults{DropCalls: 1}, 1, kind.Conflict},
		{"took effect, overwritten more often than the envelope names", store.Faults{LoseReplies: 1}, 9, kind.OutcomeUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				clk := clock.NewWall()
				m := store.NewMemory(clk)
				one, two := newClient(m, clk), newClient(m, clk).For(store.UseClaim)
				first, err := one.Put(t.Context(), "k", []byte("0"), store.Absent())
				is.NoErr(err)
				m.SetFaults(c.faults)
				go overwrite(t, two, c.writes)
				_, err = one.Put(t.Context(), "k", []byte("mine"), store.At(first))
				is.Equal(kind.Of(err), c.want)
			})
		})
	}
}

func overwrite(t *testing.T, c *store.Client, n int) {
	time.Sleep(100 * time.Millisecond)
	for i := range n {
		e, err := c.Get(t.Context(), "k")
		if err != nil {
			t.Error(err)
		}
		if _, err := c.Put(t.Context(), "k", fmt.Append(nil, i), store.At(e.Revision())); err != nil {
			t.Error(err)
		}
	}
}

func TestWatchResyncsAfterGap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		clk := clock.NewWall()
		m := store.NewMemory(clk)
		c := newClient(m, clk)
		ctx, cancel := context.WithCancel(t.Context())
		put(t, c, "a/1", "x", store.Absent())
		var seen []string
		go func() {
			_ = c.Watch(ctx, "a/", 0, func(e store.Event) {
				seen = append(seen, fmt.Sprintf("%s=%s/%v", e.Key(), e.Value(), e.Deleted()))
			})
		}()
		synctest.Wait()
		put(t, c, "a/2", "y", store.Absent())
		put(t, c, "b/1", "z", store.Absent())
		synctest.Wait()
		is.Equal(seen, []string{"a/1=x/false", "a/2=y/false"})

		m.SetFaults(store.Faults{Down: true})
		synctest.Wait()
		m.SetFaults(store.Faults{})
		is.NoErr(c.Delete(ctx, "a/1", store.Any()))
		put(t, c, "a/3", "w", store.Absent())
		m.Compact()
		time.Sleep(10 * time.Second)
		synctest.Wait()
		is.Equal(seen[2:], []string{"a/3=w/false", "a/1=/true"})
		cancel()
	})
}

func put(t *testing.T, c *store.Client, key, value string, cond store.Condition) {
	t.Helper()
	if _, err := c.Put(t.Context(), key, []byte(value), cond); err != nil {
		t.Fatal(err)
	}
}

func TestLeaseEndsWithItsKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		clk := clock.NewWall()
		m := store.NewMemory(clk)
		c := newClient(m, clk)
		id, err := c.Grant(t.Context(), 10*time.Second)
		is.NoErr(err)
		_, err = c.PutLeased(t.Context(), "k", nil, store.Absent(), id)
		is.NoErr(err)
		time.Sleep(8 * time.Second)
		is.NoErr(c.Renew(t.Context(), id))
		time.Sleep(8 * time.Second)
		_, err = c.Get(t.Context(), "k")
		is.NoErr(err)
		time.Sleep(2 * time.Second)
		_, err = c.Get(t.Context(), "k")
		is.Equal(kind.Of(err), kind.Missing)
		is.Equal(kind.Of(c.Renew(t.Context(), id)), kind.Missing)
	})
}

func TestCallsAreCounted(t *testing.T) {
	is := is.New(t)
	clk := clock.NewSystem()
	set := metrics.NewSet()
	c := store.New(store.NewMemory(clk).Backend(), store.Options{Clock: clk, Metrics: set}).For(store.UseClaim)
	put(t, c, "k", "v", store.Absent())
	var out strings.Builder
	set.WritePrometheus(&out)
	is.Equal(out.String(), "hickorypath_store_calls_total{use=\"claim\",op=\"put\"} 1\n")
}

func TestBudgetsAreSeparate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		clk := clock.NewWall()
		m := store.NewMemory(clk)
		c := newClient(m, clk)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		var err error
		for range 200 {
			if _, err = c.For(store.UseClaim).Get(ctx, "k"); kind.Of(err) != kind.Missing {
				break
			}
		}
		is.True(kind.Of(err) == kind.Budget || kind.Of(err) == kind.Store)
		_, err = c.For(store.UseLease).Get(t.Context(), "k")
		is.Equal(kind.Of(err), kind.Missing)
		is.True(m.Calls() <= 24*3+1)
	})
}

func TestHTTP(t *testing.T) {
	is := is.New(t)
	clk := clock.NewSystem()
	srv := standin.New(clk)
	web := httptest.NewServer(srv.Handler())
	defer web.Close()
	c := store.New(store.NewHTTP(web.URL, http.DefaultClient), store.Options{
		Clock: clk, AttemptTimeout: 100 * time.Millisecond, TotalTimeout: time.Second, WatchTimeout: time.Second,
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	events := make(chan store.Event, 8)
	go func() { _ = c.Watch(ctx, "", 0, func(e store.Event) { events <- e }) }()

	rev, err := c.Put(ctx, "a/b c", []byte("v"), store.Absent())
	is.NoErr(err)
	is.Equal((<-events).Revision(), rev)
	srv.Memory().SetFaults(store.Faults{LoseReplies: 1})
	next, err := c.Put(ctx, "a/b c", []byte("w"), store.At(rev))
	is.NoErr(err)
	is.True(next > rev)
	is.Equal(string((<-events).Value()), "w")
	_, err = c.Put(ctx, "a/b c", []byte("w"), store.At(rev))
	is.Equal(kind.Of(err), kind.Conflict)
	list, _, err := c.List(ctx, "a/")
	is.NoErr(err)
	is.Equal(len(list), 1)
	is.NoErr(c.Delete(ctx, "a/b c", store.At(next)))
	is.True((<-events).Deleted())

	cancel()
	web.Close()
	fresh := &http.Client{Transport: &http.Transport{}}
	c = store.New(store.NewHTTP(web.URL, fresh), store.Options{Clock: clk, TotalTimeout: 100 * time.Millisecond})
	_, err = c.Put(t.Context(), "k", nil, store.Absent())
	is.Equal(kind.Of(err), kind.Store)
}

// TestEndedWatchIsNoFailure guards against a service that counts as failing because a watch of it was given up.
func TestEndedWatchIsNoFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var failures atomic.Int64
		backend := store.NewMemory(clock.NewSystem()).Backend()
		backend.Watch = func(ctx context.Context, _ string, _ uint64) ([]store.Event, uint64, error) {
			<-ctx.Done()
			return nil, 0, kind.Wrap(ctx.Err(), kind.OutcomeUnknown, "no response") // as over a network
		}
		c := store.New(backend, store.Options{Clock: clock.NewSystem(), OnError: func(error) { failures.Add(1) }})
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error)
		go func() { ended <- c.Watch(ctx, "", 0, func(store.Event) {}) }()
		time.Sleep(time.Second)
		cancel()
		is.Equal(kind.Of(<-ended), kind.Canceled)
		is.Equal(failures.Load(), int64(0))
	})
}

// TestForgottenWatchHidesAChange guards against clients that wait for longer than a change may take for the answer to a watch that the
// service has forgotten.
func TestForgottenWatchHidesAChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const inForce = 14 * time.Second // in which a change is in force on every host
		is := is.New(t)
		clk := clock.NewWall()
		m := store.NewMemory(clk)
		backend, forgets := m.Backend(), true
		watch := backend.Watch
		backend.Watch = func(ctx context.Context, prefix string, after uint64) ([]store.Event, uint64, error) {
			if !forgets {
				return watch(ctx, prefix, after)
			}
			forgets = false
			<-ctx.Done()
			return nil, 0, kind.Wrap(ctx.Err(), kind.OutcomeUnknown, "no answer")
		}
		ctx, cancel := context.WithCancel(t.Context())
		var seen time.Time
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = store.New(backend, store.Options{Clock: clk}).Watch(ctx, "k", 0, func(store.Event) { seen = time.Now() })
		}()
		time.Sleep(time.Second)
		changed := time.Now()
		_, err := m.Backend().Put(ctx, store.Write{Key: "k"})
		is.NoErr(err)
		time.Sleep(time.Minute)
		cancel()
		<-done
		is.True(!seen.IsZero())
		is.True(seen.Sub(changed) < inForce)
	})
}
