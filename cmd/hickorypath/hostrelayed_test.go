package main

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"hickorypath/internal/caller/exchange"
	"hickorypath/internal/caller/reply"
	"hickorypath/internal/core/kind"
)

// TestRefusalOfAFullHostIsTakenForAnUpstreams guards against refusals that are not marked, so that the host which has sent the request tells its
// caller that it may have run.
func TestRefusalOfAFullHostIsTakenForAnUpstreams(t *testing.T) {
	for _, limit := range []int{0, 1} {
		is := is.New(t)
		sent := http.Header{}
		token := reply.SetRelay(sent, 0, false, exchange.Progress{})
		r := httptest.NewRequest(http.MethodPost, "/dues", http.NoBody)
		r.Header = sent
		w := httptest.NewRecorder()
		limitRelayed(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			reply.WriteError(w, kind.New(kind.Draining, "the host is shutting down"))
		}), limit).ServeHTTP(w, r)
		is.Equal(w.Code, http.StatusServiceUnavailable)
		ran, ok := reply.RefusalRan(w.Header(), token)
		is.True(ok)
		is.Equal(ran, kind.RanNo)
	}
}
