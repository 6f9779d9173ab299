// Package bodyend detects truncated bodies from their content. A message that is delimited by the end of its connection
// looks complete wherever its sender stopped, but some media types show where their content ends.
package bodyend

import (
	"mime"
	"strings"
)

// EventStream is the media type of server-sent events.
const EventStream = "text/event-stream"

// Tracker follows a body as it is read. The zero Tracker follows a body of an unknown type, which never counts as
// truncated.
type Tracker struct {
	advance   func(*Tracker, byte)
	truncated bool

	lineStart bool // event streams: the next byte starts a line
	comment   bool // event streams: the current line is a comment
	pending   bool // event streams: the current event has a field
	lastCR    bool // event streams: the last byte was a carriage return

	depth   int  // JSON: open objects and arrays
	quoted  bool // JSON: inside a string
	escaped bool // JSON: the previous byte was a backslash in a string
	started bool // JSON: the value has started
}

// New returns a Tracker for a body with the given Content-Type and Content-Encoding. If the message is framed, by a length
// or in chunks, only an event stream can count as truncated.
func New(contentType, contentEncoding string, framed bool) *Tracker {
	media, _, err := mime.ParseMediaType(contentType)
	switch {
	case err != nil, contentEncoding != "" && contentEncoding != "identity":
		return &Tracker{}
	case media == EventStream:
		return &Tracker{advance: (*Tracker).advanceEvents, lineStart: true}
	case !framed && (media == "application/json" || strings.HasSuffix(media, "+json")):
		return &Tracker{advance: (*Tracker).advanceJSON, truncated: true}
	}
	return &Tracker{}
}

// Write reads the next bytes of the body. It never fails.
func (t *Tracker) Write(p []byte) (int, error) {
	if t.advance != nil {
		for _, c := range p {
			t.advance(t, c)
		}
	}
	return len(p), nil
}

// IsTruncated reports whether a body that ends here is truncated: an event stream inside an event or a comment, or JSON
// before the end of its value. A number or a literal as the whole JSON value is never reported.
func (t *Tracker) IsTruncated() bool { return t.truncated }

func (t *Tracker) advanceEvents(c byte) {
	crlf := c == '\n' && t.lastCR
	t.lastCR = c == '\r'
	switch {
	case crlf: // the carriage return has ended the line
	case c == '\n' || c == '\r':
		if t.lineStart {
			t.pending = false // a blank line ends the event
		} else if !t.comment {
			t.pending = true
		}
		t.lineStart, t.comment = true, false
	case t.lineStart:
		t.lineStart, t.comment = false, c == ':'
	}
	t.truncated = t.pending || !t.lineStart
}

func (t *Tracker) advanceJSON(c byte) {
	switch {
	case t.escaped:
		t.escaped = false
	case t.quoted:
		t.escaped = c == '\\'
		t.quoted = c != '"'
	case c == '"':
		t.quoted, t.started = true, true
	case c == '{' || c == '[':
		t.depth++
		t.started = true
	case c == '}' || c == ']':
		t.depth--
	case c != ' ' && c != '\t' && c != '\r' && c != '\n':
		t.started = true
	}
	t.truncated = !t.started || t.quoted || t.depth > 0
}
