package review

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/textproto"
	"strconv"
	"strings"
	"time"
)

// reply is what a caller got.
type reply struct {
	status int
	fields textproto.MIMEHeader
	body   []byte
	whole  bool  // the answer has come to its proper end
	err    error // of the channel
	bad    string
}

// channel is a caller's connection.
type channel struct {
	net.Conn
	br *bufio.Reader
}

func open(address string) (*channel, error) {
	c, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{c, bufio.NewReader(c)}, nil
}

// ask sends a request and reads the answer.
func (c *channel) ask(head, body string, within time.Duration) (r reply) {
	_ = c.SetDeadline(time.Now().Add(within))
	if _, r.err = fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body); r.err != nil {
		return r
	}
	return c.read()
}

// read reads one answer. r.bad says what in it is no answer in the protocol.
func (c *channel) read() (r reply) {
	tp := textproto.NewReader(c.br)
	line, err := tp.ReadLine()
	if err != nil {
		r.err = err
		return r
	}
	if !strings.HasPrefix(line, "HTTP/1.1 ") || len(line) < 12 {
		r.bad = fmt.Sprintf("status line %q", line)
		return r
	}
	if r.status, err = strconv.Atoi(line[9:12]); err != nil {
		r.bad = fmt.Sprintf("status line %q", line)
		return r
	}
	if r.fields, r.err = tp.ReadMIMEHeader(); r.err != nil {
		return r
	}
	if r.fields.Get("Transfer-Encoding") != "chunked" {
		n, err := strconv.Atoi(r.fields.Get("Content-Length"))
		if err != nil {
			r.bad = "no length"
			return r
		}
		r.body = make([]byte, n)
		_, r.err = io.ReadFull(c.br, r.body)
		r.whole = r.err == nil
		return r
	}
	for {
		line, err := tp.ReadLine()
		if err != nil {
			r.err = err
			return r
		}
		n, err := strconv.ParseUint(line, 16, 32)
		if err != nil {
			r.bad = fmt.Sprintf("%q where the size of a chunk is due", line)
			return r
		}
		chunk := make([]byte, n+2)
		if _, r.err = io.ReadFull(c.br, chunk); r.err != nil {
			return r
		}
		if string(chunk[n:]) != "\r\n" {
			r.bad = "no end of a chunk"
			return r
		}
		if n == 0 {
			r.whole = true
			return r
		}
		r.body = append(r.body, chunk[:n]...)
	}
}

var errNoAnswer = errors.New("no answer")
