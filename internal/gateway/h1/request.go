package h1

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

// Request is the head of a request and the framing of its body.
type Request struct {
	Head
	framing framing
	length  int64
}

type framing int

const (
	framingNone framing = iota
	framingLength
	framingChunked
	framingClose // the body ends when the connection is closed
)

func (f framing) String() string { return [...]string{"none", "length", "chunked", "close"}[f] }

// Method returns the request method.
func (r *Request) Method() []byte { return r.first }

// Target returns the request target as received, with path and query.
func (r *Request) Target() []byte { return r.second }

// IsPersistent reports whether the client allows the connection to stay open after the response.
func (r *Request) IsPersistent() bool {
	return bytes.Equal(r.third, []byte("HTTP/1.1")) && !r.HasToken("Connection", "close")
}

// AcceptsChunks reports whether the client can read a chunked response, which came with HTTP/1.1.
func (r *Request) AcceptsChunks() bool { return bytes.Equal(r.third, []byte("HTTP/1.1")) }

// ExpectsContinue reports whether the client waits for an interim response before it sends the body.
func (r *Request) ExpectsContinue() bool {
	return r.framing != framingNone && r.HasToken("Expect", "100-continue")
}

// Read reads the head of the next request, at most limit bytes. The request draws its memory on a budget.
func (r *Request) Read(br *bufio.Reader, limit int, b Budget) error {
	r.budget = b
	if err := r.read(br, limit); err != nil {
		return err
	}
	if err := r.parse(); err != nil {
		return err
	}
	return r.validate()
}

func (r *Request) validate() error {
	for _, c := range r.first {
		if !isTokenChar[c] {
			return errors.Wrap(ErrMalformed, "method")
		}
	}
	if r.second[0] != '/' && !bytes.Equal(r.second, []byte("*")) {
		return errors.Wrap(ErrMalformed, "target is not a path")
	}
	for _, c := range r.second {
		if c <= ' ' || c >= 0x7f {
			return errors.Wrap(ErrMalformed, "character in the target")
		}
	}
	if !bytes.Equal(r.third, []byte("HTTP/1.1")) && !bytes.Equal(r.third, []byte("HTTP/1.0")) {
		return errors.Wrap(ErrMalformed, "version")
	}
	if r.Count("Host") != 1 {
		return errors.Wrap(ErrMalformed, "not exactly one Host field")
	}
	var err error
	r.framing, r.length, err = parseFraming(&r.Head)
	if r.framing == framingClose {
		r.framing = framingNone
	}
	return err
}

// parseFraming returns how the body of a message is delimited, and its length if known. Contradictory and
// repeated framing fields are errors.
func parseFraming(h *Head) (framing, int64, error) {
	lengths, codings := h.Count("Content-Length"), h.Count("Transfer-Encoding")
	switch {
	case lengths+codings > 1:
		return 0, 0, errors.Wrap(ErrMalformed, "contradictory or repeated framing")
	case codings == 1:
		if !bytes.EqualFold(h.Get("Transfer-Encoding"), []byte("chunked")) {
			return 0, 0, errors.Wrap(ErrMalformed, "transfer coding")
		}
		return framingChunked, 0, nil
	case lengths == 1:
		n, err := parseLength(h.Get("Content-Length"))
		if n == 0 {
			return framingNone, 0, err
		}
		return framingLength, n, err
	default:
		return framingClose, 0, nil
	}
}

// parseLength accepts only digits; strconv.ParseInt would also accept a sign.
func parseLength(b []byte) (int64, error) {
	for _, c := range b {
		if c < '0' || c > '9' {
			return 0, errors.Wrap(ErrMalformed, "length")
		}
	}
	n, err := strconv.ParseInt(string(b), 10, 63)
	if err != nil {
		return 0, errors.Wrap(ErrMalformed, "length")
	}
	return n, nil
}

const (
	// trustedLength is the length up to which a body gets its memory before it arrives. A longer one gets it as it arrives, since the
	// client may never send it.
	trustedLength = 64 << 10
	// minBodySize is the size of the first buffer of a body of unknown length.
	minBodySize = 4 << 10
)

// ReadBody reads the whole body, at most limit bytes.
func (r *Request) ReadBody(br *bufio.Reader, limit int64) ([]byte, error) {
	if r.length > limit {
		return nil, ErrBodyTooLarge
	}
	if r.framing == framingNone {
		return nil, nil
	}
	most := limit + 1 // to see that the body exceeds the limit
	size := int64(minBodySize)
	if r.framing == framingLength {
		most, size = r.length, trustedLength
	}
	body := Body{br: br, framing: r.framing, remaining: r.length}
	var data []byte
	for {
		if len(data) == cap(data) {
			if cap(data) > 0 {
				size = 2 * int64(cap(data))
			}
			size = min(size, most)
			if err := r.budget.grow(r.size() + int(size)); err != nil {
				return nil, err
			}
			data = append(make([]byte, 0, size), data...)
		}
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		r.budget.received(n)
		if int64(len(data)) > limit {
			return nil, ErrBodyTooLarge
		}
		if errors.Is(err, io.EOF) || err == nil && body.done {
			return data, nil
		}
		if err != nil {
			return nil, err
		}
	}
}
