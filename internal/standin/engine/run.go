package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// run is the life of one chat request.
type run struct {
	engine     *Engine
	req        *Request
	answer     answer
	completion completion
	w          http.ResponseWriter
	r          *http.Request
	text       strings.Builder
}

func (r *run) serve() {
	place := r.enter()
	defer r.leave(place)
	if r.completion.Stream {
		r.w.Header().Set("Content-Type", "text/event-stream")
		r.w.WriteHeader(http.StatusOK)
		r.flush()
	}
	r.wait(place.ready)
	r.engine.crashOn(r.req.body)
	r.sleep(r.engine.prefill(r.req, r.completion, r.answer.prompt))
	for i := r.req.offset; i < r.answer.length; i++ {
		if i > r.req.offset {
			r.sleep(r.engine.gap())
		}
		r.produce(i)
	}
	r.finish()
}

func (r *run) enter() *waiter {
	e := r.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	r.req.ran = true
	e.running[r.req.id] = r.req
	return e.batch.enter(r.req.priority)
}

func (r *run) leave(place *waiter) {
	e := r.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.running, r.req.id)
	e.batch.leave(place)
}

// wait blocks until ready is closed; a crash, a cancel or a lost caller end the request.
func (r *run) wait(ready <-chan struct{}) {
	r.engine.mu.Lock()
	down := r.engine.faults.down
	r.engine.mu.Unlock()
	select {
	case <-ready:
	case <-down:
		panic(http.ErrAbortHandler)
	case <-r.req.cancel:
		panic(http.ErrAbortHandler)
	case <-r.r.Context().Done():
		panic(http.ErrAbortHandler)
	}
}

func (r *run) sleep(d time.Duration) {
	done := make(chan struct{})
	timer := time.AfterFunc(d, func() { close(done) })
	defer timer.Stop()
	r.wait(done)
	r.engine.mu.Lock()
	stall := r.engine.faults.stall
	r.engine.mu.Unlock()
	if stall != nil {
		r.wait(stall)
	}
}

// produce makes output token i and sends it if the call is streamed.
func (r *run) produce(i int) {
	token := r.answer.token(i)
	r.engine.mu.Lock()
	r.req.tokens++
	if r.req.tokens > 1 && r.completion.Stream && take(&r.engine.faults.splice) {
		r.answer.id = "spliced-" + r.answer.id
	}
	r.engine.mu.Unlock()
	if !r.completion.Stream {
		r.text.WriteString(token)
		return
	}
	delta := &message{Content: token}
	if i == 0 {
		delta.Role = "assistant"
	}
	r.send(i+1, r.chunk(delta, ""))
}

func (r *run) finish() {
	r.engine.mu.Lock()
	r.req.done = true
	r.engine.mu.Unlock()
	if !r.completion.Stream {
		r.whole()
		return
	}
	r.send(r.answer.length, r.chunk(&message{}, r.answer.finish))
	if r.completion.Options.Usage {
		last := r.chunk(nil, "")
		last.Choices = []choice{}
		last.Usage = r.usage()
		r.send(r.answer.length, last)
	}
	r.write("data: [DONE]\n\n")
}

func (r *run) whole() {
	r.w.Header().Set("Content-Type", "application/json")
	all := r.chunk(nil, r.answer.finish)
	all.Object = "chat.completion"
	all.Choices[0].Message = &message{Role: "assistant", Content: r.text.String()}
	all.Usage = r.usage()
	data, _ := json.Marshal(all)
	r.write(string(data))
}

// chunk is one event of a streamed answer or the whole answer.
type chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index   int      `json:"index"`
	Delta   *message `json:"delta,omitempty"`
	Message *message `json:"message,omitempty"`
	Finish  *string  `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

type usage struct {
	Prompt int `json:"prompt_tokens"`
	Output int `json:"completion_tokens"`
	Total  int `json:"total_tokens"`
}

func (r *run) chunk(delta *message, finish string) chunk {
	c := chunk{
		ID:      "chatcmpl-" + r.answer.id,
		Object:  "chat.completion.chunk",
		Model:   r.answer.model,
		Choices: []choice{{Delta: delta}},
	}
	if finish != "" {
		c.Choices[0].Finish = &finish
	}
	return c
}

func (r *run) usage() *usage {
	a := r.answer
	return &usage{Prompt: a.prompt, Output: a.length, Total: a.prompt + a.length}
}

func (r *run) send(offset int, event chunk) {
	data, _ := json.Marshal(event)
	r.write(fmt.Sprintf("id: %d\ndata: %s\n\n", offset, data))
}

// write sends text unless the connection has gone silent, in which case it is lost.
func (r *run) write(text string) {
	if r.engine.isSilent(r.r.RemoteAddr) {
		return
	}
	if _, err := r.w.Write([]byte(text)); err != nil {
		panic(http.ErrAbortHandler)
	}
	r.flush()
}

func (r *run) flush() {
	if f, ok := r.w.(http.Flusher); ok {
		f.Flush()
	}
}
