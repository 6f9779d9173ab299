package exchange

import (
	"bytes"
	"context"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"hickorypath/internal/core/bodyend"
	"hickorypath/internal/core/kind"
	"hickorypath/internal/gateway/h1"
	"hickorypath/internal/gateway/upstream"
	"hickorypath/internal/policy/memory"
)

// streamProgress is how far a stream has been relayed, over all attempts.
type streamProgress struct {
	lastID       string // id of the last event that was relayed
	count        int
	startCounted bool       // the request was reported to OnStarted
	format       bodyFormat // of the response that has begun
}

// bodyFormat is what all parts of one response body have in common.
type bodyFormat struct {
	status    int
	mediaType string
	encoding  string
}

// newBodyFormat returns the format of the body of a response. The events of a stream may come without a media type.
func newBodyFormat(resp *h1.Response) bodyFormat {
	mediaType, _, _ := strings.Cut(string(resp.Get("Content-Type")), ";")
	if mediaType = strings.ToLower(strings.TrimSpace(mediaType)); mediaType == "" {
		mediaType = bodyend.EventStream
	}
	return bodyFormat{status: resp.Status(), mediaType: mediaType, encoding: string(resp.Get("Content-Encoding"))}
}

// canContinueWith reports whether the body of a response may follow the events that were relayed. The head of a
// response is not relayed any more, so a failure or another format would look like a part of the stream.
func (e *streamProgress) canContinueWith(resp *h1.Response) bool {
	return resp.HasBody() && newBodyFormat(resp) == e.format
}

// canResume reports whether another instance can continue the stream.
func (e *streamProgress) canResume() bool { return e.lastID != "" }

// maxEventSize bounds an event of a stream, in bytes.
const maxEventSize = 1 << 20

var errEventTooLarge = errors.New("event of a stream exceeds the limit")

// relayStream relays events as they arrive. It relays only complete events, so that another instance can continue
// after the last one.
func (e *exchange) relayStream(ctx context.Context, resp *h1.Response, body *h1.Body, i *upstream.Instance, a *attempt, first func()) error {
	buf := newBuffer(e.x.opts.Memory, e.x.opts.Now)
	defer buf.release()
	hasEvents := false // in this attempt
	var firstAt time.Time
	for {
		incomplete := len(buf.data)
		_, err := buf.read(body)
		if end := completeEventsLen(buf.data, incomplete); end > 0 {
			if !hasEvents {
				first()
				e.begin(resp, i)
				firstAt = e.x.opts.Now()
			} else if e.x.opts.Now().Sub(firstAt) >= begunTime {
				e.recordBegun()
			}
			e.countStarted()
			if err := e.relayEvents(resp, i, buf.data[:end]); err != nil {
				return err
			}
			buf.discard(end)
			hasEvents = true
		}
		if err == nil && len(buf.data) > maxEventSize {
			err = errEventTooLarge
		}
		if err != nil {
			a.unfinished = len(buf.data)
		}
		if errors.Is(err, io.EOF) && !isStreamTruncated(resp, buf.data, hasEvents) {
			return e.finishStream(resp, i, buf.data)
		}
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return e.broken(ctx, i, err, !errors.IsAny(err, errEventTooLarge, memory.ErrFull))
		}
	}
}

// isStreamTruncated reports whether a stream that ended with rest, the bytes after its last complete event, is truncated
// in spite of its framing.
func isStreamTruncated(resp *h1.Response, rest []byte, hasEvents bool) bool {
	contentType := string(resp.Get("Content-Type"))
	if contentType == "" {
		contentType = bodyend.EventStream
	}
	t := bodyend.New(contentType, string(resp.Get("Content-Encoding")), !resp.EndsWithConnection())
	_, _ = t.Write(rest)
	return t.IsTruncated() || resp.EndsWithConnection() && !hasEvents && len(rest) == 0
}

// relayEvents writes complete events to the client.
func (e *exchange) relayEvents(resp *h1.Response, i *upstream.Instance, p []byte) error {
	if !e.writer.IsStarted() {
		e.startStream(resp, i)
	}
	if err := e.writer.WriteChunk(p); err != nil {
		return kind.Wrap(err, kind.Canceled, "events could not be written to the client")
	}
	e.progress.count += bytes.Count(p, eventEnd)
	if id := lastEventID(p); id != "" {
		e.progress.lastID = id
	}
	return nil
}

// startStream starts the response of a stream.
func (e *exchange) startStream(resp *h1.Response, i *upstream.Instance) {
	e.recordFirstByte(resp.Status())
	e.progress.format = newBodyFormat(resp)
	e.describeSource(i)
	e.writer.StartChunked(resp, e.x.opts.Codec.KeepField)
}

// finishStream ends the response after the last event.
func (e *exchange) finishStream(resp *h1.Response, i *upstream.Instance, rest []byte) error {
	if len(rest) > 0 || !e.writer.IsStarted() {
		if !e.writer.IsStarted() {
			e.startStream(resp, i)
		}
		if err := e.writer.WriteChunk(rest); err != nil {
			return kind.Wrap(err, kind.Canceled, "events could not be written to the client")
		}
	}
	if err := e.writer.EndChunked(); err != nil {
		return kind.Wrap(err, kind.Canceled, "response could not be written to the client")
	}
	return nil
}

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// completeEventsLen returns the length of the complete events at the beginning of p. Its first bytes, of the length incomplete, are
// known to end no event.
func completeEventsLen(p []byte, incomplete int) int {
	from := max(incomplete-len(eventEnd)+1, 0)
	if i := bytes.LastIndex(p[from:], eventEnd); i >= 0 {
		return from + i + len(eventEnd)
	}
	return 0
}

// lastEventID returns the id of the last event in p that has an id.
func lastEventID(p []byte) string {
	for end := len(p); end > 0; {
		i := bytes.LastIndex(p[:end], idField)
		if i < 0 {
			return ""
		}
		if i == 0 || p[i-1] == '\n' {
			line, _, _ := bytes.Cut(p[i+len(idField):], []byte("\n"))
			return string(bytes.TrimSpace(line))
		}
		end = i
	}
	return ""
}
