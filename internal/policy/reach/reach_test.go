package reach_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickorypath/internal/policy/reach"
)

var start = time.Unix(1_800_000_000, 0)

func names(n int) (all []string) {
	for i := range n {
		all = append(all, fmt.Sprint("u", i))
	}
	return all
}

// TestServiceIsOutOfReach plays events, one each 100 ms, in the order of a script: u0- is a failure of u0, u0+ a connection to it, and
// a number a wait of as many seconds.
func TestServiceIsOutOfReach(t *testing.T) {
	cases := []struct {
		name    string
		of      int // upstreams
		script  string
		cut     bool
		reached string
	}{
		{"nothing", 9, "", false, "u0 u1"},
		{"one fails", 9, "u0-", false, "u0 u1"},
		{"one fails again and again", 9, "u0- u0- u0- u0-", false, "u0 u1"},
		{"two that are tried fail", 9, "u0- u1- u2-", false, "u0 u1"},
		{"all that are tried fail", 9, "u0- u1- u2- u3-", true, ""},
		{"others fail, and none that is tried", 9, "u0- u4- u5- u6- u7-", false, "u0 u1"},
		{"one that is tried answers", 9, "u0- u2+", false, "u1"},
		{"the last one that is tried answers", 9, "u0- u1- u2- u3+", false, ""},
		{"another answers in between", 9, "u0- u1- u8+ u2- u3-", false, ""},
		{"it answers after all", 9, "u0- u2+ u0+", false, "u0 u1"},
		{"another fails right after an answer", 9, "u0- u2+ u1-", false, ""},
		{"another fails a while after an answer", 9, "u0- u2+ 4 u1-", false, "u1"},
		{"all fail right after an answer", 9, "u0- u1+ u0- u1-", false, ""},
		{"the last one fails right after its answer", 2, "u0- u1+ u1-", false, "u1"},
		{"all fail a while after an answer", 9, "u0- u1+ 4 u0- u1- u2- u3- u4-", true, ""},
		{"all fail while one is out of reach by itself", 4, "u0- u3+ 4 u1- u2- u3- u0-", true, ""},
		{"a try has no result", 9, "u0- u1- u2- 4 u0- u1- u2- u3-", true, ""},
		{"too late", 9, "u0- u1- u2- 4 u3-", false, "u0 u1"},
		{"all of two fail", 2, "u0- u1-", true, ""},
		{"the only one fails", 1, "u0-", true, ""},
		{"one that is gone has failed", 9, "x- u1- u2-", false, "u0 u1"},
		{"one answers again", 9, "u0- u1- u2- u3- u1+", true, "u1"},
		{"it fails once more", 9, "u0- u1- u2- u3- u1+ u1-", true, ""},
		{"half answer again", 4, "u0- u1- u2- u3- u1+ u3+", false, "u0 u1"},
		{"six of many answer again", 40, "u0- u1- u2- u3- u3+ u4+ u5+ u6+ u7+ u8+", false, "u0 u1"},
		{"six of many answer, others do not", 40, "u0- u1- u2- u3- u3+ u4+ u5+ u9- u6+ u7+ u8+", true, ""},
		{"one of two answers again", 2, "u0- u1- u1+", false, "u0 u1"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var s reach.Service
			now, all := start, names(c.of)
			for event := range strings.FieldsSeq(c.script) {
				now = now.Add(100 * time.Millisecond)
				id := event[:len(event)-1]
				switch event[len(event)-1] {
				case '-':
					s.RecordFailed(now, id, all)
				case '+':
					s.RecordOpened(now, id, all)
				default:
					now = now.Add(4 * time.Second)
				}
			}
			is.Equal(s.IsCut(), c.cut)
			var reached []string
			for _, id := range []string{"u0", "u1"} {
				if s.Reaches(id) {
					reached = append(reached, id)
				}
			}
			is.Equal(strings.Join(reached, " "), c.reached)
		})
	}
}

// TestTriesAreSpread checks which upstreams a host tries when one has not answered, and while it is cut off.
func TestTriesAreSpread(t *testing.T) {
	is := is.New(t)
	var s reach.Service
	all := names(19)
	try, _ := s.RecordFailed(start, "u1", all)
	is.Equal(try, []string{"u0", "u2", "u3"})
	is.Equal(s.Return(start, all), nil)
	for _, id := range try {
		again, _ := s.RecordFailed(start, id, all)
		is.Equal(again, nil)
	}
	is.True(s.IsCut())
	is.Equal(s.Return(start, all), all[:16])
	is.Equal(s.Return(start.Add(1), all), []string{"u16", "u17", "u18", "u0"})
	is.Equal(s.Return(start.Add(2), all), []string{"u1", "u2", "u3", "u4"})
	s.RecordOpened(start, "u5", all)
	is.Equal(s.Return(start.Add(3), all), []string{"u6", "u7", "u8", "u9"})
}

// TestUpstreamOutOfReachByItselfIsTried checks when a host tries an upstream again that has not answered while others did.
func TestUpstreamOutOfReachByItselfIsTried(t *testing.T) {
	is := is.New(t)
	var s reach.Service
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	all := names(9)
	s.RecordFailed(at(0), "u0", all)
	s.RecordOpened(at(10), "u2", all)
	s.RecordFailed(at(20), "u1", all)
	is.True(!s.IsWhole())
	is.Equal(s.Return(at(100), all), []string{})
	is.Equal(s.Return(at(115), all), []string{"u0"})
	is.Equal(s.Return(at(125), all), []string{"u1"})
	is.Equal(s.Return(at(500), all), []string{})
	is.Equal(s.Return(at(525), all), []string{"u0", "u1"})
	s.RecordOpened(at(630), "u0", all)
	is.Equal(s.Return(at(2000), all[2:]), []string{}) // u1 is gone
	is.True(s.IsWhole())
}
