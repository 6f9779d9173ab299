package upstream_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"hickorypath/internal/gateway/upstream"
	"hickorypath/internal/policy/advisory"
)

// TestPauseIsToldToItsHostAgain passes the pauses of a host on to it after it has started again.
func TestPauseIsToldToItsHostAgain(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	cases := []struct {
		name  string
		entry func() upstream.Entry // known to the host that has started again
		left  time.Duration
	}{
		{"the same incarnation", entry, 9 * time.Second},
		{"another incarnation", func() upstream.Entry { e := entry(); e.Born++; return e }, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			before, after := upstream.NewTable("z1", upstream.NewDialer(), zap.NewNop()), upstream.NewTable("z1", upstream.NewDialer(), zap.NewNop())
			before.Put(now, entry())
			after.Put(now, c.entry())
			is.Equal(len(before.Pauses(now)), 0)
			before.Get("u1").RecordAdvisory(now, now, advisory.Statement{Pause: advisory.ParsePause("10")})
			now := now.Add(time.Second)
			after.MergePauses(now, before.Pauses(now))
			is.Equal(after.Get("u1").PausedFor(now), c.left)
			after.MergePauses(now, map[string]upstream.Pause{"u9": {Left: time.Second}}) // an instance that this host does not know
		})
	}
}
