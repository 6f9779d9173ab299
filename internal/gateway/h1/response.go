package h1

import (
	"bufio"
	"bytes"
	"net/http"

	"github.com/cockroachdb/errors"
)

// Response is the head of a response and the framing of its body.
type Response struct {
	Head
	status  int
	framing framing
	length  int64
}

// Status returns the status code.
func (r *Response) Status() int { return r.status }

// maxInterim bounds the interim responses before a final one.
const maxInterim = 32

// Read reads the head of the final response to a request with the given method. Interim responses are skipped.
func (r *Response) Read(br *bufio.Reader, limit int, method []byte) error {
	for range maxInterim + 1 {
		if err := r.read(br, limit); err != nil {
			return err
		}
		if err := r.parse(); err != nil {
			return err
		}
		if err := r.validate(method); err != nil {
			return err
		}
		if r.status >= http.StatusOK {
			return nil
		}
	}
	return errors.Wrap(ErrMalformed, "too many interim responses")
}

func (r *Response) validate(method []byte) error {
	if !isVersion(r.first) || len(r.second) != 3 {
		return errors.Wrap(ErrMalformed, "status line")
	}
	n, err := parseLength(r.second)
	if err != nil || n < 100 {
		return errors.Wrap(ErrMalformed, "status code")
	}
	r.status = int(n)
	r.framing, r.length, err = parseFraming(&r.Head)
	if bytes.Equal(method, []byte(http.MethodHead)) || n < 200 || n == http.StatusNoContent || n == http.StatusNotModified {
		r.framing, r.length = framingNone, 0
	}
	return err
}

// isVersion reports whether b is a version of HTTP/1.
func isVersion(b []byte) bool {
	minor, ok := bytes.CutPrefix(b, []byte("HTTP/1."))
	return ok && len(minor) == 1 && minor[0] >= '0' && minor[0] <= '9'
}

// Framing returns how the body is delimited: "none", "length", "chunked", or "close" if it ends with the connection.
func (r *Response) Framing() string { return r.framing.String() }

// HasBody reports whether a body follows the head.
func (r *Response) HasBody() bool { return r.framing != framingNone }

// EndsWithConnection reports whether the body has neither a length nor chunks. The end of such a body does not show
// whether it is complete.
func (r *Response) EndsWithConnection() bool { return r.framing == framingClose }

// IsPersistent reports whether the connection can carry another request after the body.
func (r *Response) IsPersistent() bool {
	return r.framing != framingClose && bytes.Equal(r.first, []byte("HTTP/1.1")) && !r.HasToken("Connection", "close")
}

// Body returns a reader for the body that follows the head.
func (r *Response) Body(br *bufio.Reader) *Body {
	return &Body{br: br, framing: r.framing, remaining: r.length}
}
