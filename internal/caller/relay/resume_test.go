package relay_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"hickorypath/internal/caller/exchange"
	"hickorypath/internal/caller/relay"
	"hickorypath/internal/core/kind"
)

// TestRestOfAStreamIsWrong guards against a stream that another host takes up and that then begins anew, ends without its last event as if it
// were whole, or breaks off although a further host takes it up.
func TestRestOfAStreamIsWrong(t *testing.T) {
	rest := func(head, body string) string {
		return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + head + "Connection: close\r\n\r\n" + body
	}
	const follows = "Hickorypath-Relay-Tokens: 3\r\n"
	whole := rest(follows, "data: d\n\n: waiting\n\ndata: e\n\ndata: [DONE]\n\n")
	cases := []struct {
		name   string
		first  script
		asked  int
		events string
		taken  bool
		kind   kind.Kind // of the error
	}{
		{"serves", script{answer: whole}, 1, "d e", true, ""},
		{"cannot be reached", script{unreachable: true}, 1, "d e", true, ""},
		{"is cut off too", script{answer: refusal(503, kind.Unavailable, kind.RanNo)}, 2, "d e", true, ""},
		{"has no place", script{answer: refusal(503, kind.Overload, kind.RanNo)}, 2, "d e", true, ""},
		{"closes", script{}, 2, "d e", true, ""},
		{"begins anew", script{answer: rest("", "data: a\n\n")}, 2, "d e", true, ""},
		{"follows something else", script{answer: rest("Hickorypath-Relay-Tokens: 2\r\n", "data: c\n\n")}, 2, "d e", true, ""},
		{"breaks off", script{answer: rest(follows, "data: d\n\n")}, 1, "d", true, kind.Lost},
		{"fails", script{answer: rest(follows, "data: d\n\ndata: {\"error\":{\"kind\":\"lost\"}}\n\n")}, 1, "d", true, kind.Lost},
		{"an event without end", script{answer: rest(follows, "data: d\n\ndata: "+strings.Repeat("x", 2<<20))}, 1, "d", true, kind.Lost},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := &fleet{
				hosts:   []relay.Host{{ID: "near", Zone: "a"}, {ID: "far", Zone: "b"}},
				scripts: map[string]script{"near": c.first, "far": {answer: whole}}, request: map[string]string{},
			}
			client := relay.New(relay.Options{Zone: "a", Hosts: func() []relay.Host { return f.hosts }, Open: f.open, Log: zap.NewNop()})
			r := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", http.NoBody)
			r.Header.Set("Hickorypath-Relay-Tokens", "9") // of the caller
			var events []string
			taken, err := client.Resume(relay.Request{
				Request: r, Body: []byte("{}"), Pool: "p", Repeatable: true, TimeLeft: 1500 * time.Millisecond,
				Progress: exchange.Progress{Tokens: 3, Version: "v1", AttemptID: "r1-1"},
			}, func(event []byte) error {
				events = append(events, string(event))
				return nil
			})
			is.Equal(taken, c.taken)
			is.Equal(kind.Of(err), c.kind)
			is.Equal(strings.Join(events, " "), c.events)
			is.Equal(len(f.asked), c.asked)
			for _, header := range []string{"Relay-Tokens:[3]", "Relay-Version:[v1]", "Relay-Attempt:[r1-1]", "Relay-Time:[1500]"} {
				is.True(strings.Contains(f.request[f.asked[len(f.asked)-1]], header))
			}
		})
	}
}

// TestStreamIsNotTakenUp checks what is reported when no host takes a stream up, or the caller stops reading.
func TestStreamIsNotTakenUp(t *testing.T) {
	is := is.New(t)
	f := &fleet{scripts: map[string]script{"a1": {answer: "HTTP/1.1 200 OK\r\nHickorypath-Relay-Tokens: 3\r\nConnection: close\r\n\r\ndata: d\n\n"}}, request: map[string]string{}}
	client := relay.New(relay.Options{Zone: "a", Hosts: func() []relay.Host { return f.hosts }, Open: f.open, Log: zap.NewNop()})
	r := relay.Request{Request: httptest.NewRequest(http.MethodPost, "/v1/chat/completions", http.NoBody), Pool: "p", Progress: exchange.Progress{Tokens: 3}}
	gone := func([]byte) error { return errors.New("the caller has left") }
	taken, err := client.Resume(r, gone)
	is.True(!taken)
	is.Equal(kind.Of(err), kind.Unavailable)
	f.hosts = []relay.Host{{ID: "a1", Zone: "a"}}
	taken, err = client.Resume(r, gone)
	is.True(taken)
	is.Equal(kind.Of(err), kind.Canceled)
}
