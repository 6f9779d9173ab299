package advisory_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hickorypath/internal/policy/advisory"
)

// TestPermitOutlivesItsLimit guards against requests that are sent long after they were permitted, beyond the limit of their upstream
// at that time.
func TestPermitOutlivesItsLimit(t *testing.T) {
	const second = time.Second
	none, one := advisory.Limit{}, advisory.NewLimit(1)
	cases := []struct {
		name   string
		before advisory.Limit // when the request is permitted
		after  advisory.Limit // when it is sent
		wait   time.Duration
		others int // requests that are permitted in between, at the time of sending
		want   bool
	}{
		{"no limit", none, none, 2 * second, 0, true},
		{"a limit is named", none, one, 100 * time.Millisecond, 0, false},
		{"a limit is named, and time passes", none, one, 3 * second / 2, 0, true},
		{"same limit, at once", one, one, 100 * time.Millisecond, 0, true},
		{"same limit, after another slot has begun", one, one, 5 * second / 2, 0, true},
		{"same limit, and another request has the new slot", one, one, 5 * second / 2, 1, false},
		{"a lower limit", advisory.NewLimit(10), one, 50 * time.Millisecond, 0, false},
		{"a higher limit", one, advisory.NewLimit(10), 50 * time.Millisecond, 0, true},
		{"the limit is withdrawn", one, none, second, 0, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			now := testStart
			s, fleet := advisory.NewState("u1"), advisory.NewMembers("h1").Fleet()
			s.Observe(now, now, advisory.Statement{Limit: c.before})
			s.MaySend(now, fleet)
			now = now.Add(second)
			is.True(s.MaySend(now, fleet))
			p := s.RecordSend()
			s.Observe(now, now.Add(time.Millisecond), advisory.Statement{Limit: c.after})
			s.MaySend(now, fleet)
			now = now.Add(c.wait)
			for range c.others {
				is.True(s.MaySend(now, fleet))
				s.RecordSend()
			}
			_, ok := s.Renew(now, fleet, p)
			is.Equal(ok, c.want)
		})
	}
}
