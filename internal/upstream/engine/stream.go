package engine

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/upstream/httpclient"
)

// Usage holds the token counts that the engine reports.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

// Event is one event of a streamed answer, or a complete answer that is not streamed.
type Event struct {
	Data   []byte // SSE data or the complete body; valid until the next call of Next
	Tokens int    // new output tokens in this event
	Offset int    // output tokens so far, including those before a resume
	Usage  *Usage // nil if the event has none
	Done   bool   // the answer is complete; further calls of Next return io.EOF
}

// Stream is the answer to one attempt. Next and Close must be called from the same goroutine.
type Stream struct {
	client  *Client
	addr    string
	call    Call
	ctx     context.Context
	parent  context.Context
	cancel  context.CancelFunc
	account httpclient.SendTracker

	res    *http.Response
	reader *bufio.Reader
	data   []byte // buffer for the data lines of the current event
	completionID
	echoed bool // the answer has an attempt id
	done   bool
	closed bool

	offset    atomic.Int64
	timing    tokenTiming
	lastEvent atomic.Int64 // time of the last event, in nanoseconds of the boot clock
	abortErr  atomic.Pointer[kind.Error]
	mu        sync.Mutex // guards timer
	timer     *time.Timer
	backoff   time.Duration
	suspect   bool // a probe found a fault, which another probe has to confirm

	probedOffset int           // offset reported by the last probe, for an answer that is not streamed
	probedIdle   time.Duration // idle time when a probe first reported that offset
}

const readerSize = 8 << 10

func (c *Client) newStream(ctx context.Context, addr string, call Call) *Stream {
	s := &Stream{client: c, addr: addr, call: call, parent: ctx}
	s.ctx, s.cancel = context.WithCancel(ctx)
	s.offset.Store(int64(call.ResumeOffset))
	s.timing = c.history.newTiming(addr)
	s.lastEvent.Store(int64(c.options.Clock.Boot()))
	return s
}

func (s *Stream) setResponse(res *http.Response) {
	s.res = res
	s.reader = bufio.NewReaderSize(res.Body, readerSize)
}

// recordLate records what the engine states in a response that came after the deadline.
func (s *Stream) recordLate(res *http.Response) {
	echoed := res.Header.Get(httpclient.HeaderRequestID) != ""
	mustEcho := s.client.history.recordEcho(s.addr, echoed)
	if s.call.OnAdvisory != nil && (echoed || !mustEcho) && s.account.Concerns(res, s.call.AttemptID) {
		s.call.OnAdvisory(httpclient.Statement(res.StatusCode, res.Header))
	}
}

// checkResponse checks the echoed attempt id and the status before any of the answer is used. Answers
// without an id are accepted from an engine that has never echoed one. After its first echo, an engine must
// echo the id in every answer. A refusal without an id is accepted only as the first answer on its connection.
func (s *Stream) checkResponse() error {
	s.echoed = s.res.Header.Get(httpclient.HeaderRequestID) != ""
	mustEcho := s.client.history.recordEcho(s.addr, s.echoed)
	if mustEcho && !s.echoed || !s.account.Concerns(s.res, s.call.AttemptID) {
		s.client.counters.crossed.Add(1)
		s.account.CloseConn()
		return kind.New(kind.ResponseMismatch, "engine %s answered for another attempt", s.addr)
	}
	if s.call.OnAdvisory != nil {
		s.call.OnAdvisory(httpclient.Statement(s.res.StatusCode, s.res.Header))
	}
	if s.res.StatusCode != http.StatusOK {
		return s.statusError()
	}
	if s.call.IsBegun && s.Version() != s.call.Version {
		return kind.New(kind.Failed, "engine %s runs version %q and cannot continue an answer of version %q", s.addr, s.Version(), s.call.Version)
	}
	return nil
}

// Next returns the next event. After the event with Done set, Next returns io.EOF.
func (s *Stream) Next() (Event, error) {
	if s.done {
		return Event{}, io.EOF
	}
	if !s.call.Stream {
		return s.readBody()
	}
	for {
		raw, err := s.readEvent()
		if err != nil {
			return Event{}, s.classifyError(err)
		}
		event, isNew, err := s.decode(raw)
		if err != nil {
			return Event{}, err
		}
		s.recordEvent(event)
		if isNew {
			return event, nil
		}
	}
}

// recordEvent marks the stream as active and measures the time since the previous event.
func (s *Stream) recordEvent(e Event) {
	now := int64(s.client.options.Clock.Boot())
	before := s.lastEvent.Swap(now)
	if e.Tokens == 0 {
		return
	}
	first := s.timing.first == 0
	s.timing.add(time.Duration(now-before), e.Tokens)
	if first {
		s.resetTimer(s.client.options.MinProbeDelay)
	}
}

// Offset returns the number of output tokens received, including those before a resume.
func (s *Stream) Offset() int { return int(s.offset.Load()) }

// Version returns the software version that the engine stated in its answer, empty if none.
func (s *Stream) Version() string { return s.res.Header.Get(httpclient.HeaderVersion) }

// FirstTokenLatency returns the time to the first token, or zero before its arrival.
func (s *Stream) FirstTokenLatency() time.Duration { return s.timing.first }

// MeanTokenGap returns the mean time between tokens so far.
func (s *Stream) MeanTokenGap() time.Duration { return s.timing.mean() }

// Close ends the stream. If the answer was not read to its end, Close closes the connection, which cancels
// the request at the engine.
func (s *Stream) Close() {
	if s.closed {
		return
	}
	s.closed = true
	s.stopWatchdog()
	if s.done {
		s.drain()
	}
	s.cancel()
	if s.res != nil {
		_ = s.res.Body.Close()
	}
	s.client.history.merge(s.addr, s.timing)
}

// drainTimeout is the maximum wait for the end of a body whose content is complete.
const drainTimeout = 100 * time.Millisecond

// drain reads the rest of the body so that the connection can be reused.
func (s *Stream) drain() {
	timer := time.AfterFunc(drainTimeout, s.cancel)
	defer timer.Stop()
	_, _ = io.Copy(io.Discard, io.LimitReader(s.reader, readerSize))
}
