package progress_test

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"hickorypath/internal/core/progress"
)

func TestWithTimeout(t *testing.T) {
	cases := []struct {
		name   string
		pauses []time.Duration // before each progress; then none follows
		ends   time.Duration
	}{
		{"no progress", nil, time.Second},
		{"slow progress", []time.Duration{900 * time.Millisecond, 900 * time.Millisecond}, 2800 * time.Millisecond},
		{"progress too late", []time.Duration{1100 * time.Millisecond}, time.Second},
		{"progress without end", []time.Duration{900 * time.Millisecond, 900 * time.Millisecond, 900 * time.Millisecond, 900 * time.Millisecond, 900 * time.Millisecond, 900 * time.Millisecond}, 5 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				start := time.Now()
				outer, cancelOuter := progress.WithTimeout(t.Context(), 2*time.Second, time.Hour)
				defer cancelOuter()
				ctx, cancel := progress.WithTimeout(outer, time.Second, 5*time.Second)
				defer cancel()
				until, ok := progress.Deadline(ctx)
				is.True(ok)
				is.Equal(until.Sub(start), time.Second)
				go func() {
					for _, p := range c.pauses {
						time.Sleep(p)
						progress.Reset(ctx)
					}
				}()
				<-ctx.Done()
				is.Equal(time.Since(start), c.ends)
				is.Equal(context.Cause(ctx), context.DeadlineExceeded)
				is.NoErr(outer.Err()) // it had the same progress and a longer time
				time.Sleep(10 * time.Second)
			})
		})
	}
}

func TestReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := progress.WithTimeout(t.Context(), time.Second, time.Minute)
		defer cancel()
		r, w := io.Pipe()
		go func() {
			for range 5 {
				time.Sleep(700 * time.Millisecond)
				_, _ = w.Write([]byte("x"))
			}
			_ = w.Close()
		}()
		data, err := io.ReadAll(progress.NewReader(ctx, r))
		is.NoErr(err)
		is.Equal(string(data), "xxxxx")
		is.NoErr(ctx.Err())
	})
}
