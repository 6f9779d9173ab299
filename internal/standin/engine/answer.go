package engine

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"
)

// completion is the part of a chat completion request that the stand-in evaluates.
type completion struct {
	Model    string          `json:"model"`
	Messages json.RawMessage `json:"messages"`
	Stream   bool            `json:"stream"`
	Options  struct {
		Usage bool `json:"include_usage"`
	} `json:"stream_options"`
	Max    int `json:"max_tokens"`
	Tokens int `json:"max_completion_tokens"`
}

// chunk is one event of a streamed response, or a whole response that is not streamed.
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

// answer is the output for one request. Its tokens are a deterministic function of the messages and the token limit.
type answer struct {
	id, model, finish string
	seed              uint64
	prompt, length    int // in tokens
}

const (
	bytesPerToken = 4
	minTokens     = 8
	tokenRange    = 57
)

var words = [...]string{
	"the", "ledger", "shows", "an", "entry", "of", "dues", "paid", "in", "March", "and", "one",
	"letter", "from", "agency", "with", "a", "notice", "for", "each", "member", "that", "was", "sent",
}

func newAnswer(id string, c completion) answer {
	seed := hash(c.Messages)
	a := answer{id: id, model: c.Model, finish: "stop", seed: seed}
	a.prompt = len(c.Messages)/bytesPerToken + 1
	a.length = minTokens + int(seed%tokenRange)
	if limit := max(c.Max, c.Tokens); limit > 0 && limit <= a.length {
		a.length, a.finish = limit, "length"
	}
	return a
}

func hash(data []byte) uint64 { return xxhash.Sum64(data) }

// token returns output token i.
func (a answer) token(i int) string {
	x := (a.seed + uint64(i)) * 0x9e3779b97f4a7c15
	word := words[(x>>33)%uint64(len(words))]
	if i == 0 {
		return word
	}
	return " " + word
}

func (a answer) chunk(delta *message, finish string) chunk {
	c := chunk{ID: "chatcmpl-" + a.id, Object: "chat.completion.chunk", Model: a.model, Choices: []choice{{Delta: delta}}}
	if finish != "" {
		c.Choices[0].Finish = &finish
	}
	return c
}

func (a answer) fullResponse(text string) chunk {
	c := a.chunk(nil, a.finish)
	c.Object = "chat.completion"
	c.Choices[0].Message = &message{Role: "assistant", Content: text}
	c.Usage = a.usage()
	return c
}

func (a answer) usage() *usage {
	return &usage{Prompt: a.prompt, Output: a.length, Total: a.prompt + a.length}
}
