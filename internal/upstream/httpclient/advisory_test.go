package httpclient_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickorypath/internal/upstream/httpclient"
)

func TestStatement(t *testing.T) {
	cases := []struct {
		name   string
		status int
		header http.Header
		limit  float64
		leaves bool
		pause  time.Duration
	}{
		{"nothing", 200, nil, 0, false, 0},
		{"limit", 200, http.Header{"X-Limit": {"2.5"}}, 2.5, false, 0},
		{"leaves", 200, http.Header{"X-Leaving": {"1"}}, 0, true, 0},
		{"pause", 503, http.Header{"Retry-After": {"1.5"}}, 0, false, 1500 * time.Millisecond},
		{"time to return after another status", 429, http.Header{"Retry-After": {"5"}}, 0, false, 0},
		{"all", 503, http.Header{"X-Limit": {"3"}, "X-Leaving": {"0", "1"}, "Retry-After": {"1", "2"}}, 3, true, 2 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := httpclient.Statement(c.status, c.header)
			is.Equal(s.Limit.Rate(), c.limit)
			is.Equal(s.Leaving.IsStated(), c.leaves)
			is.Equal(s.Pause.Length(), c.pause)
		})
	}
}

func TestStatementOfABrittleUpstream(t *testing.T) {
	cases := []struct {
		name     string
		status   int
		header   http.Header
		brittle  bool
		rejected bool
	}{
		{"serves", 200, http.Header{"X-Brittle": {"4"}}, true, false},
		{"rejects", 503, http.Header{"X-Brittle": {"4"}, "X-Ran": {"no"}}, true, true},
		{"fails", 503, http.Header{"X-Brittle": {"4"}}, true, false},
		{"rejects, sound", 503, http.Header{"X-Ran": {"no"}}, false, true},
		{"too many of one customer", 429, http.Header{"X-Brittle": {"4"}, "X-Ran": {"no"}}, true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := httpclient.Statement(c.status, c.header)
			is.Equal(s.Brittle.IsStated(), c.brittle)
			is.Equal(s.Rejected, c.rejected)
		})
	}
}
