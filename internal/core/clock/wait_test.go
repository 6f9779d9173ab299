package clock_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"hickorypath/internal/core/clock"
)

func TestEveryStopsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithTimeout(t.Context(), 3500*time.Millisecond)
		defer cancel()
		steps := 0
		clock.Every(ctx, time.Second, func() { steps++ })
		is.Equal(steps, 3)
	})
}

func TestPauseEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		start := time.Now()
		clock.Pause(ctx, time.Minute)
		is.Equal(time.Since(start), time.Second)
	})
}
