package exchange

import (
	"bytes"
	"encoding/json"
	"maps"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/tidwall/gjson"

	"hickorypath/internal/core/kind"
)

// Sizes used to estimate the length of a prompt, before an engine has counted its tokens, and to hash its start.
const (
	bytesPerToken = 4
	blockBytes    = 1024 // of prompt text per prefix hash
	maxBlocks     = 64
)

// Limits of what a caller may request.
const (
	maxChoices = 128
	maxOutput  = 1 << 30 // tokens of one choice; a greater limit is reduced to this one
)

// Names of the fields that the router reads. Fields with other names are passed to the engine unchanged.
const (
	fieldModel    = "model"
	fieldMessages = "messages"
	fieldStream   = "stream"
	fieldOptions  = "stream_options"
	fieldMax      = "max_tokens"
	fieldMaxNew   = "max_completion_tokens"
	fieldChoices  = "n"
	fieldUsage    = "include_usage" // in the stream options
)

// jsonSpace is the white space that JSON allows between tokens.
const jsonSpace = " \t\r\n"

var fieldNames = []string{fieldModel, fieldMessages, fieldStream, fieldOptions, fieldMax, fieldMaxNew, fieldChoices}

// ChatBody is a parsed chat completion request.
type ChatBody struct {
	fields      map[string]json.RawMessage
	options     map[string]json.RawMessage // the stream options
	model       string
	messages    json.RawMessage
	stream      bool
	wantsUsage  bool
	outputLimit int // output tokens of all choices together, 0 if there is no limit
}

// ParseChat reads the model in the body of a chat completion request. The other fields are not read until Validate
// is called, so that a caller who may not use the model is refused for that first. The error has kind Invalid.
//
// Field names are case-sensitive. A name that differs from a known one only by case is refused, because an engine
// might accept it for the known one and so run another model than the one that the request was routed for.
func ParseChat(data []byte) (*ChatBody, error) {
	b := &ChatBody{}
	if err := json.Unmarshal(data, &b.fields); err != nil {
		return nil, kind.Wrap(err, kind.Invalid, "the body is not a JSON object")
	}
	if err := b.checkNames(); err != nil {
		return nil, err
	}
	if err := readField(b.fields, fieldModel, &b.model); err != nil {
		return nil, err
	}
	if b.model == "" {
		return nil, kind.New(kind.Invalid, "the body names no model; set %q", fieldModel)
	}
	return b, nil
}

// Validate reads and checks the fields other than the model. The error has kind Invalid.
func (b *ChatBody) Validate() error {
	var oldMax, newMax int
	choices := 1
	known := []struct {
		name string
		into any
	}{
		{fieldMessages, &b.messages},
		{fieldStream, &b.stream},
		{fieldOptions, &b.options},
		{fieldMax, &oldMax},
		{fieldMaxNew, &newMax},
		{fieldChoices, &choices},
	}
	for _, f := range known {
		if err := readField(b.fields, f.name, f.into); err != nil {
			return err
		}
	}
	if err := readField(b.options, fieldUsage, &b.wantsUsage); err != nil {
		return err
	}
	if len(b.messages) == 0 || b.messages[0] != '[' {
		return kind.New(kind.Invalid, "the body has no list of messages; set %q", fieldMessages)
	}
	if bytes.HasPrefix(bytes.TrimLeft(b.messages[1:], jsonSpace), []byte("]")) {
		return kind.New(kind.Invalid, "the list of messages is empty; put one into %q", fieldMessages)
	}
	return b.setLimit(max(oldMax, newMax), min(oldMax, newMax), choices)
}

// checkNames refuses field names that differ from a known one only by case.
func (b *ChatBody) checkNames() error {
	for name := range b.fields {
		for _, known := range fieldNames {
			if name != known && strings.EqualFold(name, known) {
				return kind.New(kind.Invalid, "the body has the field %q; write %q", name, known)
			}
		}
	}
	return nil
}

// readField decodes a field into the variable that into points to. If the field is missing or null, the variable
// keeps its value.
func readField(fields map[string]json.RawMessage, name string, into any) error {
	raw, ok := fields[name]
	if !ok {
		return nil
	}
	if err := json.Unmarshal(raw, into); err != nil {
		return kind.Wrap(err, kind.Invalid, "the field %q of the body has the wrong type", name)
	}
	return nil
}

// setLimit checks the caller's limit of output tokens per choice and the number of choices, and stores their
// product. The body may carry the limit in two fields: most and least are the greater and the smaller value.
func (b *ChatBody) setLimit(most, least, choices int) error {
	if least < 0 {
		return kind.New(kind.Invalid, "the limit of %d output tokens is negative; set %q to 1 or more", least, fieldMax)
	}
	if choices < 1 || choices > maxChoices {
		return kind.New(kind.Invalid, "the body asks for %d choices; set %q from 1 to %d", choices, fieldChoices, maxChoices)
	}
	b.outputLimit = min(most, maxOutput) * choices
	return nil
}

// Model returns the requested model.
func (b *ChatBody) Model() string { return b.model }

// IsStream reports whether the caller requested a streamed response.
func (b *ChatBody) IsStream() bool { return b.stream }

// PromptTokens returns an estimate of the prompt's length in tokens.
func (b *ChatBody) PromptTokens() int { return len(b.messages)/bytesPerToken + 1 }

// OutputLimit returns the maximum number of output tokens of all choices together, 0 if there is no limit.
func (b *ChatBody) OutputLimit() int { return b.outputLimit }

// UpstreamBody returns the body to send to an engine. A streamed response is always requested with its usage.
func (b *ChatBody) UpstreamBody() ([]byte, error) {
	fields := maps.Clone(b.fields)
	if b.stream {
		options := map[string]json.RawMessage{}
		maps.Copy(options, b.options)
		options[fieldUsage] = json.RawMessage("true")
		raw, err := json.Marshal(options)
		if err != nil {
			return nil, kind.Wrap(err, kind.Internal, "stream options cannot be written")
		}
		fields[fieldOptions] = raw
	}
	data, err := json.Marshal(fields)
	if err != nil {
		return nil, kind.Wrap(err, kind.Internal, "the body cannot be written")
	}
	return data, nil
}

// PrefixHashes returns a chained hash for each block of the prompt. The customer is part of every hash, so that
// cache affinity does not reveal the prompts of one customer to another.
func (b *ChatBody) PrefixHashes(customer string) []uint64 {
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

// isUsageOnly reports whether an event of a stream carries the usage and no choices.
func isUsageOnly(data []byte) bool {
	return gjson.GetBytes(data, "choices.#").Int() == 0
}
