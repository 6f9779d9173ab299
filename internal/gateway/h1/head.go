// Package h1 reads HTTP/1.1 messages without changing any byte that they carry.
//
// The parser is stricter than net/http: contradictory or repeated framing, bare line feeds and folded header
// fields are errors. Two parsers that read a message differently would allow request smuggling, where one request
// hides inside another.
package h1

import (
	"bufio"
	"bytes"
	"io"
	"unsafe"

	"github.com/cockroachdb/errors"
)

// Errors returned for messages that cannot be read.
var (
	ErrMalformed    = errors.New("malformed message")
	ErrHeadTooLarge = errors.New("head of a message exceeds the limit")
	ErrBodyTooLarge = errors.New("body of a message exceeds the limit")
)

// Field is one header field as received, without the white space around the value.
type Field struct {
	name, value []byte
}

// Name returns the field name in the letter case of the sender.
func (f Field) Name() []byte { return f.name }

// Value returns the field value.
func (f Field) Value() []byte { return f.value }

// Is reports whether the field has the given name, ignoring letter case.
func (f Field) Is(name string) bool {
	return len(f.name) == len(name) && bytes.EqualFold(f.name, []byte(name))
}

// fieldSize is the memory that a Field takes beside the bytes of its line. A line of a few bytes takes more of it than of the line.
const fieldSize = int(unsafe.Sizeof(Field{}))

// Head is the start line and the header fields of a message. Its slices are valid until the next read into the
// same Head.
type Head struct {
	budget Budget
	buf    []byte
	first  []byte // method of a request, version of a response
	second []byte // target of a request, status code of a response
	third  []byte // version of a request, reason phrase of a response
	fields []Field
}

// Fields returns the header fields in the order of the message.
func (h *Head) Fields() []Field { return h.fields }

// Get returns the value of the first field with the given name, nil if there is none.
func (h *Head) Get(name string) []byte {
	for i := range h.fields {
		if h.fields[i].Is(name) {
			return h.fields[i].value
		}
	}
	return nil
}

// Values returns the values of all fields with the given name, nil if there is none.
func (h *Head) Values(name string) (values []string) {
	for i := range h.fields {
		if h.fields[i].Is(name) {
			values = append(values, string(h.fields[i].value))
		}
	}
	return values
}

// Count returns the number of fields with the given name.
func (h *Head) Count(name string) (n int) {
	for i := range h.fields {
		if h.fields[i].Is(name) {
			n++
		}
	}
	return n
}

// HasToken reports whether a field with the given name, whose value is a comma-separated list, contains the
// token, ignoring letter case.
func (h *Head) HasToken(name, token string) bool {
	for i := range h.fields {
		if !h.fields[i].Is(name) {
			continue
		}
		for part := range bytes.SplitSeq(h.fields[i].value, []byte(",")) {
			if bytes.EqualFold(bytes.TrimSpace(part), []byte(token)) {
				return true
			}
		}
	}
	return false
}

// maxEmptyLines is the number of empty lines that are ignored before a request line, as RFC 9112 recommends for
// servers.
const maxEmptyLines = 2

// read reads the lines of a head up to and including the empty line at its end. It returns io.EOF only if the
// peer closed the connection before the first byte.
func (h *Head) read(br *bufio.Reader, limit int) error {
	h.buf = h.buf[:0]
	h.fields = h.fields[:0]
	begin, empty := 0, 0 // start of the current line, and number of lines skipped before the first
	for {
		part, err := br.ReadSlice('\n')
		if len(h.buf)+len(part) > limit {
			return ErrHeadTooLarge
		}
		if growErr := h.reserve(len(part)); growErr != nil {
			return growErr
		}
		h.buf = append(h.buf, part...)
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			if len(h.buf) > 0 && errors.Is(err, io.EOF) {
				return io.ErrUnexpectedEOF
			}
			return err
		}
		line := h.buf[begin:]
		if len(line) < 2 || line[len(line)-2] != '\r' {
			return errors.Wrap(ErrMalformed, "line ends without a carriage return")
		}
		if len(line) > 2 {
			begin = len(h.buf)
			continue
		}
		if begin > 0 {
			return nil
		}
		if empty++; empty > maxEmptyLines {
			return errors.Wrap(ErrMalformed, "empty lines before the start line")
		}
		h.buf = h.buf[:0]
	}
}

// minHeadSize is the size of the first buffer of a head, in bytes.
const minHeadSize = 1 << 10

// reserve makes room for n further bytes.
func (h *Head) reserve(n int) error {
	size := max(cap(h.buf), minHeadSize)
	for size < len(h.buf)+n {
		size *= 2
	}
	if size == cap(h.buf) {
		return nil
	}
	if err := h.budget.grow(size); err != nil {
		return err
	}
	h.buf = append(make([]byte, 0, size), h.buf...)
	return nil
}

// size returns the memory that the head takes, in bytes.
func (h *Head) size() int { return cap(h.buf) + cap(h.fields)*fieldSize }

// parse splits the lines that read has collected into start line and fields.
func (h *Head) parse() error {
	rest := h.buf
	if n := bytes.Count(rest, []byte("\n")); n > cap(h.fields) {
		if err := h.budget.grow(cap(h.buf) + n*fieldSize); err != nil {
			return err
		}
		h.fields = make([]Field, 0, n)
	}
	line, rest := cutLine(rest)
	if err := h.parseStart(line); err != nil {
		return err
	}
	for {
		line, rest = cutLine(rest)
		if len(line) == 0 {
			return nil
		}
		f, err := parseField(line)
		if err != nil {
			return err
		}
		h.fields = append(h.fields, f)
	}
}

// cutLine returns the first line without its CRLF, and the rest of b.
func cutLine(b []byte) (line, rest []byte) {
	i := bytes.IndexByte(b, '\n')
	return b[:i-1], b[i+1:]
}

func (h *Head) parseStart(line []byte) error {
	i := bytes.IndexByte(line, ' ')
	if i <= 0 {
		return errors.Wrap(ErrMalformed, "start line")
	}
	h.first, line = line[:i], line[i+1:]
	h.second, h.third, _ = bytes.Cut(line, []byte(" "))
	if len(h.second) == 0 {
		return errors.Wrap(ErrMalformed, "start line")
	}
	return nil
}

func parseField(line []byte) (Field, error) {
	i := bytes.IndexByte(line, ':')
	if i <= 0 {
		return Field{}, errors.Wrap(ErrMalformed, "field without a name")
	}
	for _, c := range line[:i] {
		if !isTokenChar[c] {
			return Field{}, errors.Wrap(ErrMalformed, "field name")
		}
	}
	value := bytes.Trim(line[i+1:], " \t")
	for _, c := range value {
		if c < ' ' && c != '\t' || c == 0x7f {
			return Field{}, errors.Wrap(ErrMalformed, "control character in a field value")
		}
	}
	return Field{name: line[:i], value: value}, nil
}

// isTokenChar marks the characters that RFC 9110 allows in tokens.
var isTokenChar = func() (t [256]bool) {
	for c := byte('0'); c <= '9'; c++ {
		t[c] = true
	}
	for c := byte('a'); c <= 'z'; c++ {
		t[c], t[c-'a'+'A'] = true, true
	}
	for _, c := range []byte("!#$%&'*+-.^_`|~") {
		t[c] = true
	}
	return t
}()
