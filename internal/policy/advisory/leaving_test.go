package advisory_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickorypath/internal/policy/advisory"
)

func TestParseLeaving(t *testing.T) {
	cases := []struct {
		name     string
		values   []string
		stated   bool
		readable bool
	}{
		{"none", nil, false, true},
		{"leaves", []string{"1"}, true, true},
		{"stays", []string{"0"}, false, true},
		{"white space", []string{" 1\t"}, true, true},
		{"repeated", []string{"0", "1"}, true, true},
		{"list", []string{"0, 1"}, true, true},
		{"empty", []string{""}, true, false},
		{"word", []string{"soon"}, true, false},
		{"negative", []string{"-1"}, true, false},
		{"unreadable, then readable", []string{"x, 1"}, true, true},
		{"unreadable, then 0", []string{"x, 0"}, true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l := advisory.ParseLeaving(c.values...)
			is.Equal(l.IsStated(), c.stated)
			is.Equal(l.Unreadable() == "", c.readable)
		})
	}
}

func TestParsePause(t *testing.T) {
	const stand = time.Second // stands in for an unreadable value
	cases := []struct {
		name     string
		values   []string
		length   time.Duration
		readable bool
	}{
		{"none", nil, 0, true},
		{"seconds", []string{"3"}, 3 * time.Second, true},
		{"fraction", []string{"0.25"}, 250 * time.Millisecond, true},
		{"white space", []string{" 2\t"}, 2 * time.Second, true},
		{"zero", []string{"0"}, 0, true},
		{"repeated", []string{"5", "2"}, 5 * time.Second, true},
		{"list with an unreadable part", []string{"x, 2"}, 2 * time.Second, true},
		{"huge", []string{strings.Repeat("9", 400)}, advisory.MaxPause, true},
		{"beyond the bound", []string{"86400"}, advisory.MaxPause, true},
		{"negative", []string{"-5"}, stand, false},
		{"exponent", []string{"1e9"}, stand, false},
		{"date", []string{"Fri, 04 Dec 2026 12:00:00 GMT"}, stand, false},
		{"empty", []string{""}, stand, false},
		{"word", []string{"later"}, stand, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := advisory.ParsePause(c.values...)
			is.Equal(p.Length(), c.length)
			is.Equal(p.Unreadable() == "", c.readable)
		})
	}
}

// FuzzParseLeavingAndPause parses any values: a pause stays within its bounds, and what cannot be read is told.
func FuzzParseLeavingAndPause(f *testing.F) {
	for _, v := range []string{"", "1", "0.5", "-1", "1e300", "9999999999999999999999", "Fri, 04 Dec 2026 12:00:00 GMT", "1,2", "\x00"} {
		f.Add(v, v)
	}
	f.Fuzz(func(t *testing.T, a, b string) {
		is := is.New(t)
		p, l := advisory.ParsePause(a, b), advisory.ParseLeaving(a, b)
		is.True(p.Length() >= 0 && p.Length() <= advisory.MaxPause)
		is.True(len(p.Unreadable()) <= 4*40+2 && len(l.Unreadable()) <= 4*40+2)
		is.True(l.IsStated() || l.Unreadable() == "")
	})
}

// TestLeaving checks for how long an upstream counts as leaving. Times are in seconds.
func TestLeaving(t *testing.T) {
	type heard struct {
		at      float64
		sent    float64 // time at which the request was sent, for a response
		stated  bool
		age     float64 // of what another host tells; negative for a response
		changed bool
	}
	response := func(at, sent float64, stated, changed bool) heard { return heard{at, sent, stated, -1, changed} }
	told := func(at, age float64, changed bool) heard { return heard{at, 0, true, age, changed} }
	cases := []struct {
		name  string
		heard []heard
		at    float64
		known float64 // since when the host knows that the upstream leaves, negative if it does not
	}{
		{"never", []heard{response(1, 0, false, false)}, 2, -1},
		{"stated", []heard{response(1, 0, true, true)}, 3, 2},
		{"stated again", []heard{response(1, 0, true, true), response(2, 1, true, false)}, 3, 2},
		{"overtaken", []heard{response(1, 0, true, true), response(2, 0.5, false, false)}, 3, 2},
		{"no longer stated", []heard{response(1, 0, true, true), response(3, 2, false, true)}, 4, -1},
		{"a minute later", []heard{response(1, 0, true, true)}, 61, -1},
		{"stated again within a minute", []heard{response(1, 0, true, true), response(50, 49, true, false)}, 61, 60},
		{"told by another host", []heard{told(5, 3, true)}, 6, 1},
		{"told again", []heard{told(5, 3, true), told(6, 1, false)}, 7, 2},
		{"told of an old statement", []heard{told(100, 60, false)}, 101, -1},
		{"told of what was withdrawn", []heard{response(1, 0, true, true), response(3, 2, false, true), told(4, 3, false)}, 5, -1},
		{"told of a later statement", []heard{response(1, 0, true, true), response(3, 2, false, true), told(4, 0.5, true)}, 5, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			at := func(s float64) time.Time {
				return time.Unix(1_800_000_000, 0).Add(time.Duration(s * float64(time.Second)))
			}
			s := advisory.NewState("u1")
			for _, h := range c.heard {
				if h.age >= 0 {
					is.Equal(s.MergeLeaving(at(h.at), time.Duration(h.age*float64(time.Second))), h.changed)
					continue
				}
				l := advisory.Leaving{}
				if h.stated {
					l = advisory.ParseLeaving("1")
				}
				is.Equal(s.ObserveLeaving(at(h.at), at(h.sent), l), h.changed)
			}
			d, ok := s.LeavingFor(at(c.at))
			is.Equal(ok, c.known >= 0)
			if ok {
				is.Equal(d.Seconds(), c.known)
			}
		})
	}
}

// TestPausedFor checks how long an upstream is left alone. Times are in seconds.
func TestPausedFor(t *testing.T) {
	type response struct {
		at    float64
		pause string
	}
	cases := []struct {
		name      string
		responses []response
		at, left  float64
	}{
		{"no pause", nil, 1, 0},
		{"within", []response{{0, "3"}}, 1, 2},
		{"at its end", []response{{0, "3"}}, 3, 0},
		{"longer", []response{{0, "3"}, {1, "5"}}, 2, 4},
		{"shorter", []response{{0, "9"}, {1, "1"}}, 3, 6},
		{"zero", []response{{0, "9"}, {1, "0"}}, 3, 6},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			at := func(s float64) time.Time {
				return time.Unix(1_800_000_000, 0).Add(time.Duration(s * float64(time.Second)))
			}
			s := advisory.NewState("u1")
			for _, r := range c.responses {
				s.ObservePause(at(r.at), advisory.ParsePause(r.pause))
			}
			is.Equal(s.PausedFor(at(c.at)).Seconds(), c.left)
		})
	}
}
