package h1

import (
	"bufio"
	"io"

	"github.com/cockroachdb/errors"
)

// Body reads the body of one message. Read returns io.EOF only at the proper end of the body; a truncated body
// ends with another error.
type Body struct {
	br        *bufio.Reader
	framing   framing
	remaining int64 // bytes remaining of the body or of the current chunk
	inChunk   bool  // a chunk was started whose terminating CRLF has not been read
	done      bool
}

// Bounds of a chunked body: maxTrailerLineSize bounds each line (chunk size lines and trailer fields) in bytes,
// and maxTrailerLines the number of trailer lines.
const (
	maxTrailerLineSize = 4096
	maxTrailerLines    = 32
)

// Read implements io.Reader. It returns as soon as any bytes are available.
func (b *Body) Read(p []byte) (int, error) {
	if b.done {
		return 0, io.EOF
	}
	switch b.framing {
	case framingLength:
		return b.readLength(p)
	case framingChunked:
		return b.readChunked(p)
	case framingClose:
		n, err := b.br.Read(p)
		b.done = errors.Is(err, io.EOF)
		return n, err
	default:
		b.done = true
		return 0, io.EOF
	}
}

func (b *Body) readLength(p []byte) (int, error) {
	n, err := b.readRemaining(p)
	if err == nil && b.remaining == 0 {
		b.done = true
	}
	return n, err
}

// readRemaining reads at most the remaining bytes of the body or chunk.
func (b *Body) readRemaining(p []byte) (int, error) {
	n, err := b.br.Read(p[:min(int64(len(p)), b.remaining)])
	b.remaining -= int64(n)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

func (b *Body) readChunked(p []byte) (int, error) {
	if b.remaining == 0 {
		if err := b.nextChunk(); err != nil {
			return 0, err
		}
		if b.remaining == 0 {
			b.done = true
			return 0, b.readTrailer()
		}
	}
	return b.readRemaining(p)
}

// nextChunk reads the end of the previous chunk and the size line of the next one.
func (b *Body) nextChunk() error {
	if b.inChunk {
		line, err := b.line()
		if err != nil {
			return err
		}
		if len(line) != 0 {
			return errors.Wrap(ErrMalformed, "end of a chunk")
		}
	}
	line, err := b.line()
	if err != nil {
		return err
	}
	b.remaining, err = parseChunkSize(line)
	b.inChunk = true
	return err
}

// maxSizeDigits bounds the hexadecimal digits of a chunk size, so that the size cannot overflow.
const maxSizeDigits = 12

func parseChunkSize(line []byte) (int64, error) {
	size, digits := int64(0), 0
	for _, c := range line {
		d, ok := hexDigit(c)
		if !ok {
			if c == ';' && digits > 0 {
				break
			}
			return 0, errors.Wrap(ErrMalformed, "size of a chunk")
		}
		size = size<<4 | d
		digits++
	}
	if digits == 0 || digits > maxSizeDigits {
		return 0, errors.Wrap(ErrMalformed, "size of a chunk")
	}
	return size, nil
}

func hexDigit(c byte) (int64, bool) {
	switch {
	case c >= '0' && c <= '9':
		return int64(c - '0'), true
	case c >= 'a' && c <= 'f':
		return int64(c-'a') + 10, true
	case c >= 'A' && c <= 'F':
		return int64(c-'A') + 10, true
	}
	return 0, false
}

// readTrailer reads up to the empty line that ends the message, and returns io.EOF.
func (b *Body) readTrailer() error {
	for range maxTrailerLines {
		line, err := b.line()
		if err != nil {
			return err
		}
		if len(line) == 0 {
			return io.EOF
		}
	}
	return errors.Wrap(ErrMalformed, "trailer")
}

// line reads one line and returns it without its CRLF.
func (b *Body) line() ([]byte, error) {
	line, err := b.br.ReadSlice('\n')
	if errors.Is(err, io.EOF) {
		return nil, io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, err
	}
	if len(line) < 2 || line[len(line)-2] != '\r' || len(line) > maxTrailerLineSize {
		return nil, errors.Wrap(ErrMalformed, "line of a chunked body")
	}
	return line[:len(line)-2], nil
}
