package exchange

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"
	"github.com/tidwall/gjson"

	"hickorypath/internal/core/kind"
)

// Sizes used to estimate a prompt before an engine has counted it.
const (
	bytesPerToken  = 4
	blockBytes     = 1024 // one block of prompt text for cache affinity
	maxBlocks      = 64
	optionsField   = "stream_options"
	usageField     = "include_usage"
	defaultChoices = 1
)

// ChatBody is a parsed chat completion request.
type ChatBody struct {
	fields   map[string]json.RawMessage
	model    string
	messages json.RawMessage
	stream   bool
	usage    bool
	max      int
	choices  int
}

// ParseChat reads the body of a chat completion request.
func ParseChat(data []byte) (*ChatBody, error) {
	b := &ChatBody{}
	if err := json.Unmarshal(data, &b.fields); err != nil {
		return nil, kind.Wrap(err, kind.Invalid, "the body is not a JSON object")
	}
	var known struct {
		Model     string          `json:"model"`
		Messages  json.RawMessage `json:"messages"`
		Stream    bool            `json:"stream"`
		Max       int             `json:"max_tokens"`
		MaxNew    int             `json:"max_completion_tokens"`
		Choices   *int            `json:"n"`
		StreamOpt struct {
			Usage bool `json:"include_usage"`
		} `json:"stream_options"`
	}
	if err := json.Unmarshal(data, &known); err != nil {
		return nil, kind.Wrap(err, kind.Invalid, "a field of the body has the wrong type")
	}
	if known.Model == "" {
		return nil, kind.New(kind.Invalid, "the body names no model; set \"model\"")
	}
	if len(known.Messages) == 0 || known.Messages[0] != '[' {
		return nil, kind.New(kind.Invalid, "the body has no list of messages; set \"messages\"")
	}
	b.model = known.Model
	b.messages = known.Messages
	b.stream = known.Stream
	b.usage = known.StreamOpt.Usage
	b.max = max(known.Max, known.MaxNew)
	b.choices = defaultChoices
	if known.Choices != nil {
		b.choices = *known.Choices
	}
	return b, nil
}

// Model returns the model asked for.
func (b *ChatBody) Model() string { return b.model }

// IsStream reports whether the caller wants a streamed answer.
func (b *ChatBody) IsStream() bool { return b.stream }

// PromptTokens estimates the length of the prompt in tokens.
func (b *ChatBody) PromptTokens() int { return len(b.messages)/bytesPerToken + 1 }

// Upstream returns the body to send to an engine; a streamed answer always asks for its usage.
func (b *ChatBody) Upstream() ([]byte, error) {
	if !b.stream {
		return json.Marshal(b.fields)
	}
	options := map[string]json.RawMessage{}
	if raw, ok := b.fields[optionsField]; ok && string(raw) != "null" {
		if err := json.Unmarshal(raw, &options); err != nil {
			return nil, kind.Wrap(err, kind.Invalid, "stream_options is not an object")
		}
	}
	options[usageField] = json.RawMessage("true")
	raw, err := json.Marshal(options)
	if err != nil {
		return nil, kind.Wrap(err, kind.Internal, "stream options cannot be written")
	}
	b.fields[optionsField] = raw
	return json.Marshal(b.fields)
}

// Prefix returns chained hashes of the prompt's blocks. The customer is part of every hash, so that
// cache affinity never tells one customer about the prompts of another.
func (b *ChatBody) Prefix(customer string) []uint64 {
	n := min(len(b.messages)/blockBytes, maxBlocks)
	hashes := make([]uint64, 0, n)
	h := xxhash.New()
	_, _ = h.WriteString(customer)
	_, _ = h.WriteString("\x00" + b.model + "\x00")
	for i := range n {
		_, _ = h.Write(b.messages[i*blockBytes : (i+1)*blockBytes])
		hashes = append(hashes, h.Sum64())
	}
	return hashes
}

// isUsageOnly reports whether a streamed event carries its usage and no choice.
func isUsageOnly(data []byte) bool {
	return gjson.GetBytes(data, "choices.#").Int() == 0
}
