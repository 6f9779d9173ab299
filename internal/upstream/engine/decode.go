package engine

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"io"
	"strconv"

	"github.com/tidwall/gjson"

	"hickorypath/internal/core/kind"
)

// rawEvent is a server-sent event before decoding: its data, and the offset in its id line or -1 without one.
type rawEvent struct {
	data   []byte
	offset int
}

// Limits in bytes for the responses of an engine.
const (
	maxEvent       = 1 << 20 // with the comments and blank lines before it
	defaultMaxBody = 64 << 20
)

var (
	fieldData  = []byte("data:")
	fieldID    = []byte("id:")
	doneMarker = []byte("[DONE]")
	usageKey   = []byte(`"usage":`)
	errorKey   = []byte(`"error"`)
)

// readEvent reads lines up to the blank line that ends an event and skips comments.
func (s *Stream) readEvent() (rawEvent, error) {
	e := rawEvent{offset: -1}
	s.data = s.data[:0]
	for size := 0; size <= maxEvent; {
		line, err := s.readLine()
		if err != nil {
			return rawEvent{}, err
		}
		size += len(line) + 1
		switch {
		case len(line) == 0:
			if len(s.data) > 0 {
				e.data = s.data
				return e, nil
			}
		case bytes.HasPrefix(line, fieldData):
			s.data = appendData(s.data, fieldValue(line, fieldData))
		case bytes.HasPrefix(line, fieldID):
			e.offset = parseOffset(fieldValue(line, fieldID))
		}
	}
	return rawEvent{}, io.ErrShortBuffer
}

// readLine returns a line without its line ending. The slice is valid until the next read.
func (s *Stream) readLine() ([]byte, error) {
	line, err := s.reader.ReadSlice('\n')
	if err == nil {
		return bytes.TrimRight(line, "\r\n"), nil
	}
	long := bytes.Clone(line)
	for err != nil {
		if err != bufio.ErrBufferFull || len(long) > maxEvent {
			return nil, err
		}
		line, err = s.reader.ReadSlice('\n')
		long = append(long, line...)
	}
	return bytes.TrimRight(long, "\r\n"), nil
}

func fieldValue(line, field []byte) []byte {
	return bytes.TrimPrefix(line[len(field):], []byte(" "))
}

func appendData(data, more []byte) []byte {
	if len(data) > 0 {
		data = append(data, '\n')
	}
	return append(data, more...)
}

func parseOffset(text []byte) int {
	n, err := strconv.Atoi(string(text))
	if err != nil || n < 0 {
		return -1
	}
	return n
}

// decode converts a raw event to an Event. isNew is false for an event that was received before.
func (s *Stream) decode(r rawEvent) (e Event, isNew bool, err error) {
	if bytes.Equal(r.data, doneMarker) {
		s.done = true
		return Event{Data: r.data, Offset: s.Offset(), Done: true}, true, nil
	}
	if err := s.checkID(r.data); err != nil {
		return Event{}, false, err
	}
	if err := s.checkError(r.data); err != nil {
		return Event{}, false, err
	}
	before := s.Offset()
	tokens, err := s.advance(r)
	if err != nil {
		return Event{}, false, err
	}
	if tokens < 0 {
		return Event{}, false, nil
	}
	e = Event{Data: r.data, Tokens: tokens, Offset: before + tokens}
	if bytes.Contains(r.data, usageKey) {
		e.Usage = parseUsage(r.data)
	}
	return e, true, nil
}

// checkError returns an error if an event states that the engine has failed.
func (s *Stream) checkError(data []byte) error {
	if !bytes.Contains(data, errorKey) {
		return nil
	}
	stated := gjson.GetBytes(data, "error")
	if !stated.Exists() || stated.Type == gjson.Null {
		return nil
	}
	return kind.New(kind.Failed, "engine %s: %s", s.addr, cmp.Or(stated.Get("message").String(), "failed in the stream")).WithRan(kind.RanMaybe)
}

// advance updates the stream's offset and returns the number of new tokens, or -1 for an event that was
// received before.
func (s *Stream) advance(r rawEvent) (int, error) {
	before := s.Offset()
	switch {
	case r.offset > before:
		s.offset.Store(int64(r.offset))
		return r.offset - before, nil
	case r.offset == before && !hasOutput(r.data):
		return 0, nil
	case r.offset < 0 && !hasOutput(r.data):
		return 0, nil
	case before > 0 && before == s.call.ResumeOffset:
		return 0, s.resumeError()
	case r.offset < 0:
		s.offset.Store(int64(before + 1))
		return 1, nil
	}
	return -1, nil
}

// hasOutput reports whether a chunk contains text or tool calls.
func hasOutput(data []byte) bool {
	delta := gjson.GetBytes(data, "choices.0.delta")
	return delta.Get("content").String() != "" || delta.Get("tool_calls").Exists()
}

func (s *Stream) resumeError() error {
	return kind.New(kind.Failed, "engine %s did not resume at offset %d", s.addr, s.call.ResumeOffset).WithRan(kind.RanMaybe)
}

// readBody reads and decodes an answer that is not streamed.
func (s *Stream) readBody() (Event, error) {
	limit := s.client.options.MaxBody
	body, err := io.ReadAll(io.LimitReader(s.reader, limit+1))
	if err != nil {
		return Event{}, s.classifyError(err)
	}
	if int64(len(body)) > limit {
		return Event{}, kind.New(kind.Failed, "answer of engine %s exceeds %d bytes", s.addr, limit).WithRan(kind.RanMaybe)
	}
	if s.res.ContentLength < 0 && !json.Valid(body) {
		return Event{}, s.classifyError(io.ErrUnexpectedEOF)
	}
	if err := s.checkID(body); err != nil {
		return Event{}, err
	}
	s.done = true
	e := Event{Data: body, Done: true}
	if e.Usage = parseUsage(body); e.Usage != nil {
		e.Tokens = e.Usage.CompletionTokens
	}
	s.offset.Store(int64(e.Tokens))
	e.Offset = e.Tokens
	s.recordEvent(e)
	return e, nil
}

func parseUsage(data []byte) *Usage {
	found := gjson.GetBytes(data, "usage")
	if !found.IsObject() {
		return nil
	}
	var u Usage
	if err := json.Unmarshal([]byte(found.Raw), &u); err != nil {
		return nil
	}
	return &u
}

// completionID is the completion id that all events of a stream share. The first event with an id sets it.
type completionID struct {
	idText  []byte
	idIndex int // byte index of the id in that event
}

// checkID returns an error if the completion id of an event differs from that of the stream's first event.
// It looks at the byte index of the first event's id before it searches the JSON text.
func (s *Stream) checkID(data []byte) error {
	end := s.idIndex + len(s.idText)
	if len(s.idText) > 0 && len(data) >= end && bytes.Equal(data[s.idIndex:end], s.idText) {
		return nil
	}
	at, id := findID(data)
	if id == nil {
		return nil
	}
	if len(s.idText) == 0 {
		s.idIndex, s.idText = at, bytes.Clone(id)
		return nil
	}
	if bytes.Equal(id, s.idText) {
		return nil
	}
	s.client.counters.crossed.Add(1)
	return kind.New(kind.ResponseMismatch, "engine %s changed over to another answer", s.addr)
}

// findID returns the top-level id of a completion, including its quotes, and the byte index of the id.
func findID(data []byte) (at int, id []byte) {
	found := gjson.GetBytes(data, "id")
	if found.Type != gjson.String || found.Index == 0 {
		return 0, nil
	}
	return found.Index, data[found.Index : found.Index+len(found.Raw)]
}
