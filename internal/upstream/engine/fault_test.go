package engine_test

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"hickorypath/internal/core/kind"
	standin "hickorypath/internal/standin/engine"
	"hickorypath/internal/upstream/engine"
)

// TestFaults checks which error a caller gets for each fault of an engine, and whether the error says that
// the engine may have run the request.
func TestFaults(t *testing.T) {
	mid := 50 * time.Millisecond
	cases := []struct {
		name   string
		before func(e *standin.Engine) // causes a fault before the call
		during func(e *standin.Engine) // causes a fault during the answer
		kind   kind.Kind
		ran    kind.Ran
		seen   int // requests that the engine received
	}{
		{"none", nil, nil, "", "", 1},
		{"down", (*standin.Engine).Crash, nil, kind.Lost, kind.RanMaybe, 0},
		{"rejected", func(e *standin.Engine) { e.InjectFault("reject", 1) }, nil, kind.Rejected, kind.RanNo, 1},
		{"crossed", func(e *standin.Engine) { e.InjectFault("cross", 1) }, nil, kind.ResponseMismatch, kind.RanMaybe, 1},
		{"crossed mid-stream", func(e *standin.Engine) { e.InjectFault("splice", 1) }, nil, kind.ResponseMismatch, kind.RanMaybe, 1},
		{"request that crashes the engine", func(e *standin.Engine) { e.SetCrashMark("club") }, nil, kind.Lost, kind.RanMaybe, 1},
		{"crash mid-stream", nil, (*standin.Engine).Crash, kind.Lost, kind.RanMaybe, 1},
		{"silent mid-stream", nil, (*standin.Engine).Silence, kind.UpstreamStalled, kind.RanMaybe, 1},
		{"stalled mid-stream", nil, (*standin.Engine).Stall, kind.UpstreamStalled, kind.RanMaybe, 1},
		{"slow is not silent", func(e *standin.Engine) { e.Slow(30) }, nil, "", "", 1},
		{"stall that ends", nil, func(e *standin.Engine) { e.Stall(); time.AfterFunc(time.Second, e.Restore) }, "", "", 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runHarness(t, func(h *harness) {
				if c.before != nil {
					c.before(h.engine)
				}
				if c.during != nil {
					time.AfterFunc(mid, func() { c.during(h.engine) })
				}
				_, err := h.chat(engine.Call{AttemptID: "t1", Body: []byte(streamedBody), Stream: true})
				h.Equal(kind.Of(err), c.kind)
				if err != nil {
					h.Equal(kind.From(err).Ran(), c.ran)
				}
				h.Equal(len(h.engine.Calls()), c.seen)
			})
		})
	}
}

func TestRefusedConnectionDidNotRun(t *testing.T) {
	runHarness(t, func(h *harness) {
		_, err := h.client.Chat(h.ctx, "nobody:80", engine.Call{AttemptID: "t1", Body: []byte(streamedBody)})
		h.Equal(kind.Of(err), kind.Unavailable)
		h.Equal(kind.From(err).Ran(), kind.RanNo)
	})
}

// TestSilentResume checks that a connection that becomes silent during a stream is detected within
// maxDetectionTime, and that the answer is complete after a resume.
func TestSilentResume(t *testing.T) {
	runHarness(t, func(h *harness) {
		whole, err := h.chat(engine.Call{AttemptID: "t0", Body: []byte(streamedBody), Stream: true})
		h.NoErr(err)

		time.AfterFunc(70*time.Millisecond, h.engine.Silence)
		began := time.Now()
		part, err := h.chat(engine.Call{AttemptID: "t1", Body: []byte(streamedBody), Stream: true})
		h.Equal(kind.Of(err), kind.UpstreamStalled)
		detected := time.Since(began)
		t.Logf("silence at 70 ms, detected at %s", detected)
		h.True(detected < 70*time.Millisecond+maxDetectionTime)

		offset := part[len(part)-1].Offset
		rest, err := h.chat(engine.Call{
			AttemptID: "t2", PriorAttemptID: "t1", ResumeOffset: offset, Body: []byte(streamedBody), Stream: true,
		})
		h.NoErr(err)
		h.Equal(joinText(part)+joinText(rest), joinText(whole))
	})
}

// maxDetectionTime is the maximum time from the last event of a stream to the error of a silent connection.
const maxDetectionTime = 500 * time.Millisecond

// TestIdleSilent sends a request on an idle connection that has become silent. The client must detect this
// before the first token, by a probe that the engine answers without knowing the attempt.
func TestIdleSilent(t *testing.T) {
	runHarness(t, func(h *harness) {
		_, err := h.chat(engine.Call{AttemptID: "t1", Body: []byte(streamedBody), Stream: true})
		h.NoErr(err)
		h.engine.Silence()
		began := time.Now()
		_, err = h.chat(engine.Call{AttemptID: "t2", Body: []byte(streamedBody), Stream: true})
		h.Equal(kind.Of(err), kind.UpstreamStalled)
		h.True(time.Since(began) < 1500*time.Millisecond)
		h.Equal(len(h.engine.Calls()), 1)
		_, err = h.chat(engine.Call{AttemptID: "t3", Body: []byte(streamedBody), Stream: true})
		h.NoErr(err)
	})
}

// TestLateAnswer checks that the late answer to an abandoned attempt is not delivered to any caller, and
// that its connection is not reused for another attempt.
func TestLateAnswer(t *testing.T) {
	runHarness(t, func(h *harness) {
		_, err := h.chat(engine.Call{AttemptID: "t1", Body: []byte(streamedBody), Stream: true})
		h.NoErr(err)
		h.engine.InjectFault("late", 1)
		events, err := h.chat(engine.Call{AttemptID: "t2", Body: []byte(otherBody), Stream: true})
		h.Equal(kind.Of(err), kind.ResponseMismatch)
		h.Equal(len(events), 0)
		events, err = h.chat(engine.Call{AttemptID: "t3", Body: []byte(otherBody), Stream: true})
		h.NoErr(err)
		h.True(events[len(events)-1].Done)
		h.Equal(h.client.Counts().Crossed, int64(1))
	})
}

// TestGoodRecheckClearsTheSuspicion covers a stream with long pauses, whose probes are sometimes ahead of its events. A stream
// is aborted only if two probes in a row find a fault.
func TestGoodRecheckClearsTheSuspicion(t *testing.T) {
	runHarness(t, func(h *harness) {
		offsets := []int{1, 0, 1, 0, 1, 0} // tokens produced, as the probes find them; 1 is ahead of the stream
		probes := 0
		mux := http.NewServeMux()
		mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, `{"offset":`+strconv.Itoa(offsets[min(probes, len(offsets)-1)])+`}`)
			probes++
		})
		mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			time.Sleep(20 * time.Second)
			_, _ = io.WriteString(w, "id: 1\ndata: {\"id\":\"c\",\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\ndata: [DONE]\n\n")
		})
		defer h.net.Serve("raw:80", mux)()
		s, err := h.client.Chat(h.ctx, "raw:80", engine.Call{AttemptID: "t1", Stream: true, Body: []byte(streamedBody)})
		if err == nil {
			_, err = readAll(s)
			s.Close()
		}
		h.NoErr(err)
		h.True(probes > 2)
	})
}

// TestAnswerWithoutIDOfAnEchoingEngine sends several requests to an engine that echoes the attempt id in some answers.
func TestAnswerWithoutIDOfAnEchoingEngine(t *testing.T) {
	cases := []struct {
		name   string
		echoes string // per answer: e with the id, - without
		want   string // per answer: a accepted, r refused
	}{
		{"never echoes", "---", "aaa"},
		{"always echoes", "eee", "aaa"},
		{"one without", "e-e", "ara"},
		{"echoes after a while", "-e-", "aar"},
		{"another engine at the address", "e-----", "arrraa"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runHarness(t, func(h *harness) {
				n := 0
				stop := h.net.Serve("raw:80", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if c.echoes[n] == 'e' {
						w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
					}
					n++
					_, _ = io.WriteString(w, `{"id":"c","choices":[]}`)
				}))
				defer stop()
				got := ""
				for i := range c.echoes {
					s, err := h.client.Chat(h.ctx, "raw:80", engine.Call{AttemptID: "t" + strconv.Itoa(i), Body: []byte(plainBody)})
					switch {
					case err == nil:
						_, err = s.Next()
						h.NoErr(err)
						s.Close()
						got += "a"
					case kind.Of(err) == kind.ResponseMismatch:
						got += "r"
					}
				}
				h.Equal(got, c.want)
			})
		})
	}
}

const otherBody = `{"model":"m","stream":true,"messages":[{"role":"user","content":"Another question"}],"max_tokens":12}`

func TestNotResumed(t *testing.T) {
	cases := []struct {
		name   string
		stream string
		want   kind.Kind
	}{
		{"starts from the beginning", "id: 1\ndata: {\"id\":\"c\",\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n", kind.Failed},
		{"without offsets", "data: {\"id\":\"c\",\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n", kind.Failed},
		{"resumes", "id: 6\ndata: {\"id\":\"c\",\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\ndata: [DONE]\n\n", ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runHarness(t, func(h *harness) {
				stop := h.serve("raw:80", c.stream)
				defer stop()
				s, err := h.client.Chat(h.ctx, "raw:80", engine.Call{AttemptID: "t1", ResumeOffset: 5, Stream: true, Body: []byte(streamedBody)})
				h.NoErr(err)
				_, err = readAll(s)
				s.Close()
				h.Equal(kind.Of(err), c.want)
			})
		})
	}
}

// TestDecode covers the stream formats that engines send.
func TestDecode(t *testing.T) {
	text := func(s string) string {
		return `data: {"id":"c","choices":[{"delta":{"content":"` + s + `"}}]}` + "\n\n"
	}
	at := func(id, s string) string { return "id: " + id + "\n" + text(s) }
	end := "data: [DONE]\n\n"
	usage := `data: {"id":"c","choices":[],"usage":{"prompt_tokens":3,"completion_tokens":1}}` + "\n\n"
	cases := []struct {
		name   string
		stream string
		tokens int
		kind   kind.Kind
	}{
		{"without offsets", text("a") + text("b") + end, 2, ""},
		{"empty first chunk", text("") + text("b") + end, 1, ""},
		{"offsets", at("1", "a") + at("2", "b") + end, 2, ""},
		{"several tokens in one event", at("3", "abc") + at("5", "de") + end, 5, ""},
		{"duplicate dropped", at("1", "a") + at("1", "a") + at("2", "b") + end, 2, ""},
		{"older dropped", at("1", "a") + at("2", "b") + at("1", "a") + end, 2, ""},
		{"done marker twice", text("a") + end + end, 1, ""},
		{"event after the end", text("a") + end + text("b") + end, 1, ""},
		{"another answer after the end", text("a") + end + strings.Replace(text("b"), `"c"`, `"d"`, 1) + end, 1, ""},
		{"usage twice", text("a") + usage + usage + end, 1, ""},
		{"comments and carriage returns", ": hi\r\n\r\n" + strings.ReplaceAll(at("1", "a"), "\n", "\r\n") + end, 1, ""},
		{"another answer", text("a") + strings.Replace(text("b"), `"c"`, `"d"`, 1) + end, 1, kind.ResponseMismatch},
		{"cut before its end", text("a"), 1, kind.Lost},
		{"cut inside an event", text("a") + `data: {"id`, 1, kind.Lost},
		{"long event", text(strings.Repeat("x", 20_000)) + end, 1, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runHarness(t, func(h *harness) {
				stop := h.serve("raw:80", c.stream)
				defer stop()
				s, err := h.client.Chat(h.ctx, "raw:80", engine.Call{AttemptID: "t1", Stream: true, Body: []byte(streamedBody)})
				h.NoErr(err)
				events, err := readAll(s)
				s.Close()
				h.Equal(kind.Of(err), c.kind)
				tokens := 0
				for _, e := range events {
					tokens += e.Tokens
				}
				h.Equal(tokens, c.tokens)
			})
		})
	}
}

// TestErrorEventIsPassedOnAsOutput guards against a stream that counts as complete although its engine has ended it with an error event.
func TestErrorEventIsPassedOnAsOutput(t *testing.T) {
	const (
		begun = `data: {"id":"c","choices":[{"delta":{"content":"a"}}]}` + "\n\n"
		end   = "data: [DONE]\n\n"
	)
	cases := []struct {
		name   string
		stream string
		events int
		kind   kind.Kind
	}{
		{"before the first token", `data: {"error":{"message":"failed"}}` + "\n\n" + end, 0, kind.Failed},
		{"after a token", begun + `data: {"error":{"message":"failed"}}` + "\n\n" + end, 1, kind.Failed},
		{"with spaces", begun + `data: { "error": {"message": "failed"} }` + "\n\n" + end, 1, kind.Failed},
		{"as text", begun + `data: {"error":"failed"}` + "\n\n" + end, 1, kind.Failed},
		{"after another member", begun + `data: {"id":"c","error":{"message":"failed"}}` + "\n\n" + end, 1, kind.Failed},
		{"with an offset", begun + "id: 2\n" + `data: {"error":{"message":"failed"}}` + "\n\n" + end, 1, kind.Failed},
		{"without an end", begun + `data: {"error":{"message":"failed"}}` + "\n\n", 1, kind.Failed},
		{"none", begun + `data: {"id":"c","error":null,"choices":[{"delta":{"content":"b"}}]}` + "\n\n" + end, 3, ""},
		{"in the text", begun + `data: {"id":"c","choices":[{"delta":{"content":"{\"error\":{}}"}}]}` + "\n\n" + end, 3, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runHarness(t, func(h *harness) {
				defer h.serve("raw:80", c.stream)()
				s, err := h.client.Chat(h.ctx, "raw:80", engine.Call{AttemptID: "t1", Stream: true, Body: []byte(streamedBody)})
				h.NoErr(err)
				events, err := readAll(s)
				s.Close()
				h.Equal(kind.Of(err), c.kind)
				h.Equal(len(events), c.events)
				h.True(err == nil || kind.From(err).Ran() == kind.RanMaybe)
			})
		})
	}
}

// TestCallerCancelsAttempt checks the error of an attempt whose caller canceled it or whose deadline passed, and that
// the engine stops the attempt.
func TestCallerCancelsAttempt(t *testing.T) {
	cases := []struct {
		name  string
		after time.Duration
		limit time.Duration
		kind  kind.Kind
	}{
		{"canceled before the answer", 5 * time.Millisecond, time.Hour, kind.Canceled},
		{"canceled mid-stream", 70 * time.Millisecond, time.Hour, kind.Canceled},
		{"deadline mid-stream", time.Hour, 70 * time.Millisecond, kind.Timeout},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runHarness(t, func(h *harness) {
				ctx, cancel := context.WithTimeout(h.ctx, c.limit)
				defer cancel()
				timer := time.AfterFunc(c.after, cancel)
				defer timer.Stop()
				h.ctx = ctx
				_, err := h.chat(engine.Call{AttemptID: "t1", Body: []byte(streamedBody), Stream: true})
				h.Equal(kind.Of(err), c.kind)
				h.Equal(kind.From(err).Ran(), kind.RanMaybe)
				time.Sleep(time.Second)
				h.Equal(h.engine.Load().Running, 0)
				h.True(!h.engine.Calls()[0].Done())
			})
		})
	}
}
