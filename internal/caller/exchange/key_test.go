package exchange_test

import (
	"testing"
	"time"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/operator/key"
)

// TestKeysWhileTheHostStarts checks that a host which has not got all keys yet takes none for unknown.
func TestKeysWhileTheHostStarts(t *testing.T) {
	cases := []struct {
		name     string
		starting bool
		key      func(w *world) string
		want     kind.Kind
	}{
		{"known key, host starts", true, issued, ""},
		{"known key", false, issued, ""},
		{"unknown key, host starts", true, foreign, kind.Unavailable},
		{"unknown key", false, foreign, kind.BadKey},
		{"withdrawn key, host starts", true, withdrawn, kind.Withdrawn},
		{"no key, host starts", true, func(*world) string { return "" }, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			within(t, func(w *world) {
				w.starting = c.starting
				_, err := w.runner.Authenticate(c.key(w))
				w.Equal(kind.Of(err), c.want)
				w.True(err == nil || kind.From(err).Ran() == kind.RanNo)
			})
		})
	}
}

func issued(w *world) string { return w.key }

func foreign(*world) string {
	clear, _ := key.Generate()
	return clear
}

func withdrawn(w *world) string {
	w.True(w.keys.Put(w.record.Withdraw(time.Now())))
	return w.key
}
