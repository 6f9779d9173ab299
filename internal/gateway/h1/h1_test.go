package h1_test

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"

	"hickorypath/internal/gateway/h1"
)

const limit = 1024

func TestRequest(t *testing.T) {
	cases := []struct {
		name string
		raw  string
		err  error
		body string
	}{
		{"no body", "GET /a?b HTTP/1.1\r\nHost: h\r\n\r\n", nil, ""},
		{"length", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc", nil, "abc"},
		{"chunks", "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1;x=y\r\nc\r\n0\r\nT: v\r\n\r\n", nil, "abc"},
		{"empty lines before the request line", "\r\n\r\nGET /a HTTP/1.1\r\nHost: h\r\n\r\n", nil, ""},
		{"too many empty lines", "\r\n\r\n\r\nGET /a HTTP/1.1\r\nHost: h\r\n\r\n", h1.ErrMalformed, ""},
		{"closed before the request", "", io.EOF, ""},
		{"closed inside the head", "GET /a HTT", io.ErrUnexpectedEOF, ""},
		{"large head", "GET /" + strings.Repeat("a", limit) + " HTTP/1.1\r\nHost: h\r\n\r\n", h1.ErrHeadTooLarge, ""},
		{"space before the colon", "GET /a HTTP/1.1\r\nHost : h\r\n\r\n", h1.ErrMalformed, ""},
		{"no host", "GET /a HTTP/1.1\r\n\r\n", h1.ErrMalformed, ""},
		{"two hosts", "GET /a HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n", h1.ErrMalformed, ""},
		{"signed length", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: +3\r\n\r\nabc", h1.ErrMalformed, ""},
		{"list of lengths", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3, 3\r\n\r\nabc", h1.ErrMalformed, ""},
		{"unsupported transfer coding", "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", h1.ErrMalformed, ""},
		{"target is not a path", "GET http://h/a HTTP/1.1\r\nHost: h\r\n\r\n", h1.ErrMalformed, ""},
		{"control character", "GET /a HTTP/1.1\r\nHost: h\r\nX: a\x00b\r\n\r\n", h1.ErrMalformed, ""},
		{"unsupported version", "GET /a HTTP/2\r\nHost: h\r\n\r\n", h1.ErrMalformed, ""},
		{"bad chunk size", "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\n", h1.ErrMalformed, ""},
		{"huge chunk size", "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\n", h1.ErrMalformed, ""},
		{"chunk longer than its size", "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n0\r\n\r\n", h1.ErrMalformed, ""},
		{"large body", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2000\r\n\r\n", h1.ErrBodyTooLarge, ""},
		{"large chunks", "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n7d0\r\n" + strings.Repeat("a", 2000) + "\r\n0\r\n\r\n", h1.ErrBodyTooLarge, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			br := bufio.NewReader(strings.NewReader(c.raw))
			var r h1.Request
			err := r.Read(br, limit, h1.Budget{})
			var body []byte
			if err == nil {
				body, err = r.ReadBody(br, limit)
			}
			is.True(errors.Is(err, c.err))
			if err == nil {
				is.Equal(string(body), c.body)
			}
		})
	}
}

func TestResponse(t *testing.T) {
	cases := []struct {
		name    string
		method  string
		raw     string
		err     error
		body    string
		persist bool
	}{
		{"length", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", nil, "ok", true},
		{"body until the connection closes", "GET", "HTTP/1.1 200 OK\r\n\r\nok", nil, "ok", false},
		{"interim response first", "POST", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", nil, "ok", true},
		{"response to HEAD", "HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", nil, "", true},
		{"close", "GET", "HTTP/1.1 200 OK\r\nConnection: Close\r\nContent-Length: 2\r\n\r\nok", nil, "ok", false},
		{"truncated", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok", io.ErrUnexpectedEOF, "", true},
		{"truncated chunk", "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nok", io.ErrUnexpectedEOF, "", true},
		{"no last chunk", "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", io.ErrUnexpectedEOF, "", true},
		{"no status", "GET", "HTTP/1.1 OK\r\n\r\n", h1.ErrMalformed, "", false},
		{"not HTTP", "GET", "SSH-2.0-x\r\n\r\n", h1.ErrMalformed, "", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			br := bufio.NewReader(strings.NewReader(c.raw))
			var r h1.Response
			err := r.Read(br, limit, []byte(c.method))
			var body []byte
			if err == nil {
				is.Equal(r.IsPersistent(), c.persist)
				body, err = io.ReadAll(r.Body(br))
			}
			is.True(errors.Is(err, c.err))
			if err == nil {
				is.Equal(string(body), c.body)
			}
		})
	}
}

// FuzzRequest checks that an accepted request has only one interpretation: at most one framing field, no line end
// or NUL inside a field value, and no body beyond the limit.
func FuzzRequest(f *testing.F) {
	f.Add("GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
	f.Add("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n")
	f.Add("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\nab")
	f.Fuzz(func(t *testing.T, raw string) {
		br := bufio.NewReader(strings.NewReader(raw))
		var r h1.Request
		if r.Read(br, limit, h1.Budget{}) != nil {
			return
		}
		if r.Count("Content-Length")+r.Count("Transfer-Encoding") > 1 {
			t.Fatal("two framings were accepted")
		}
		for _, field := range r.Fields() {
			if strings.ContainsAny(string(field.Value()), "\r\n\x00") {
				t.Fatal("a line end inside a field was accepted")
			}
		}
		body, err := r.ReadBody(br, limit)
		if err == nil && len(body) > limit {
			t.Fatal("a body beyond the limit was accepted")
		}
	})
}

// FuzzResponse checks that the parser survives any response of an upstream and never returns a body longer than
// the message.
func FuzzResponse(f *testing.F) {
	f.Add("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n")
	f.Fuzz(func(t *testing.T, raw string) {
		br := bufio.NewReader(strings.NewReader(raw))
		var r h1.Response
		if r.Read(br, limit, []byte("GET")) != nil {
			return
		}
		body, _ := io.ReadAll(r.Body(br)) // any error is acceptable
		if len(body) > len(raw) {
			t.Fatal("the body is longer than the message")
		}
	})
}
