package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"hickorypath/internal/policy/route"
	"hickorypath/internal/standin/upstream"
)

// HTTP header names of the engine protocol.
const (
	headerPriority = "X-Priority"
	headerOffset   = "Last-Event-ID"
	headerSalt     = "X-Cache-Salt"
)

// chatRun is the execution of one chat completion request.
type chatRun struct {
	engine     *Engine
	call       *upstream.Call
	completion completion
	answer     answer
	ctx        context.Context // ends with the client's request or by POST /cancel
	cancel     context.CancelFunc
	w          http.ResponseWriter
	r          *http.Request
	text       strings.Builder
	isDone     bool // the last token is made and the slot is free
}

func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	call := e.ReadCall(w, r)
	if call == nil {
		return
	}
	var c completion
	if err := json.Unmarshal(call.Body(), &c); err != nil || len(c.Messages) == 0 {
		upstream.Refuse(w, http.StatusBadRequest, "body cannot be read")
		return
	}
	run := &chatRun{engine: e, call: call, completion: c, answer: newAnswer(call.ID(), c), w: w, r: r}
	run.applyAnswerFaults()
	run.serve()
}

// applyAnswerFaults replaces the response by that of another request if the WrongID or PreviousAnswer fault applies.
func (r *chatRun) applyAnswerFaults() {
	e := r.engine
	e.mu.Lock()
	before := e.previousCall
	e.previousCall = r.call
	e.mu.Unlock()
	switch {
	case e.ConsumeFault(upstream.WrongID):
		r.answer.id, r.answer.seed = "other-"+r.answer.id, hash([]byte("other"))
	case before != nil && e.ConsumeFault(upstream.PreviousAnswer):
		r.answer.id, r.answer.seed = before.ID(), hash(before.Body())
	}
	r.w.Header().Set(upstream.HeaderID, r.answer.id)
}

func (r *chatRun) serve() {
	place := r.enter()
	defer r.leave(place)
	if r.completion.Stream {
		r.w.Header().Set("Content-Type", "text/event-stream")
		r.w.WriteHeader(http.StatusOK)
		r.flush()
	}
	r.engine.Wait(r.ctx, place.ready)
	if r.engine.CrashIfMarked(r.call.Body()) && r.engine.options.RestartDelay > 0 {
		time.AfterFunc(r.engine.options.RestartDelay, r.engine.Restore)
	}
	r.engine.Sleep(r.ctx, r.prefill())
	offset := headerInt(r.call, headerOffset)
	for i := offset; i < r.answer.length; i++ {
		if i > offset {
			r.engine.Sleep(r.ctx, r.engine.tokenInterval())
		}
		r.produce(i)
	}
	r.freeSlot(place)
	r.finish()
}

func (r *chatRun) enter() *waiter {
	e := r.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	r.call.MarkStarted()
	r.ctx, r.cancel = context.WithCancel(r.r.Context())
	e.running[r.call.ID()] = r.cancel
	return e.batch.enter(headerInt(r.call, headerPriority))
}

func (r *chatRun) leave(place *waiter) {
	e := r.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	r.cancel()
	delete(e.running, r.call.ID())
	if !r.isDone {
		e.batch.leave(place)
	}
}

// freeSlot gives back the slot of a request whose last token is made, before the response ends: the router may send the next request
// as soon as it has the end.
func (r *chatRun) freeSlot(place *waiter) {
	e := r.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	r.isDone = true
	e.batch.leave(place)
}

// prefill adds the prompt to the prefix cache and returns the time to the first token.
func (r *chatRun) prefill() time.Duration {
	e := r.engine
	blocks := route.BlockHashes(r.call.Header().Get(headerSalt), r.completion.Messages)
	e.mu.Lock()
	defer e.mu.Unlock()
	hits := e.cache.insert(blocks)
	missing := r.answer.prompt
	if len(blocks) > 0 {
		missing = missing * (len(blocks) - hits) / len(blocks)
	}
	return e.options.TokenInterval + time.Duration(missing)*e.options.PrefillPerToken
}

// tokenInterval returns the time between two tokens at the current batch size.
func (e *Engine) tokenInterval() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	others := float64(max(0, e.batch.running-1))
	return time.Duration(float64(e.options.TokenInterval) * (1 + e.options.BatchSlowdown*others))
}

// produce generates output token i, and sends it if the response is streamed.
func (r *chatRun) produce(i int) {
	r.call.AddToken()
	if !r.completion.Stream {
		r.text.WriteString(r.answer.token(i))
		return
	}
	if r.call.Tokens() > 1 && r.engine.ConsumeFault(upstream.Splice) {
		r.answer.id = "spliced-" + r.answer.id
	}
	delta := &message{Content: r.answer.token(i)}
	if i == 0 {
		delta.Role = "assistant"
	}
	r.send(i+1, r.answer.chunk(delta, ""))
}

func (r *chatRun) finish() {
	r.call.MarkFinished()
	if !r.completion.Stream {
		r.w.Header().Set("Content-Type", "application/json")
		data, _ := json.Marshal(r.answer.fullResponse(r.text.String()))
		r.write(string(data))
		return
	}
	r.send(r.answer.length, r.answer.chunk(&message{}, r.answer.finish))
	if r.completion.Options.Usage {
		last := r.answer.chunk(nil, "")
		last.Choices = []choice{}
		last.Usage = r.answer.usage()
		r.send(r.answer.length, last)
	}
	r.write("data: [DONE]\n\n")
}

// send writes one server-sent event whose id is the number of output tokens sent so far.
func (r *chatRun) send(offset int, event chunk) {
	data, _ := json.Marshal(event)
	r.write(fmt.Sprintf("id: %d\ndata: %s\n\n", offset, data))
}

// write sends text to the client and flushes it. On a silent connection the text is discarded.
func (r *chatRun) write(text string) {
	if r.engine.IsSilent(r.r) {
		return
	}
	if _, err := r.w.Write([]byte(text)); err != nil {
		panic(http.ErrAbortHandler)
	}
	r.flush()
}

func (r *chatRun) flush() { _ = http.NewResponseController(r.w).Flush() }
