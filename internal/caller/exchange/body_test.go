package exchange_test

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"

	"hickorypath/internal/caller/exchange"
	"hickorypath/internal/core/kind"
)

// parse parses and validates the body of a chat completion request.
func parse(data []byte) (*exchange.ChatBody, error) {
	b, err := exchange.ParseChat(data)
	if err != nil {
		return nil, err
	}
	return b, b.Validate()
}

func TestParseChat(t *testing.T) {
	cases := []struct {
		name  string
		body  string
		want  kind.Kind // empty for a valid body
		model string
		limit int // of output tokens, over all choices
	}{
		{"plain", `{"model":"a","messages":[{}]}`, "", "a", 0},
		{"nulls count as left out", `{"model":"a","messages":[{}],"max_tokens":null,"n":null,"stream_options":null}`, "", "a", 0},
		{"several choices", `{"model":"a","messages":[{}],"max_tokens":100,"n":8}`, "", "a", 800},
		{"the last of equal names counts", `{"model":"a","model":"b","messages":[{}]}`, "", "b", 0},
		{"longest limit", `{"model":"a","messages":[{}],"max_tokens":9223372036854775807,"n":128}`, "", "a", 128 << 30},
		{"no object", `[]`, kind.Invalid, "", 0},
		{"null", `null`, kind.Invalid, "", 0},
		{"no model", `{"messages":[{}]}`, kind.Invalid, "", 0},
		{"no messages", `{"model":"a"}`, kind.Invalid, "", 0},
		{"empty messages", `{"model":"a","messages":[ ]}`, kind.Invalid, "", 0},
		{"messages of another type", `{"model":"a","messages":{}}`, kind.Invalid, "", 0},
		{"a second model in capitals", `{"model":"a","Model":"b","messages":[{}]}`, kind.Invalid, "", 0},
		{"a name under another case", `{"model":"a","messages":[{}],"STREAM":true}`, kind.Invalid, "", 0},
		{"no choices", `{"model":"a","messages":[{}],"n":0}`, kind.Invalid, "", 0},
		{"negative choices", `{"model":"a","messages":[{}],"max_tokens":100,"n":-8}`, kind.Invalid, "", 0},
		{"too many choices", `{"model":"a","messages":[{}],"n":129}`, kind.Invalid, "", 0},
		{"negative limit", `{"model":"a","messages":[{}],"max_tokens":-1}`, kind.Invalid, "", 0},
		{"stream options of another type", `{"model":"a","messages":[{}],"stream":true,"stream_options":[]}`, kind.Invalid, "", 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b, err := parse([]byte(c.body))
			is.Equal(kind.Of(err), c.want)
			if err == nil {
				is.Equal(b.Model(), c.model)
				is.Equal(b.OutputLimit(), c.limit)
			}
		})
	}
}

// FuzzParseChat checks that the engine receives the same model that the request was routed for.
func FuzzParseChat(f *testing.F) {
	f.Add([]byte(`{"model":"a","messages":[{"role":"user","content":"x"}],"stream":true}`))
	f.Add([]byte(`{"model":"a","Model":"b","messages":[],"n":2,"max_tokens":-3}`))
	f.Add([]byte(`{"model":"a","messages":[],"stream":true,"stream_options":{"include_usage":false}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		b, err := parse(data)
		if err != nil {
			return
		}
		sent, err := b.UpstreamBody()
		if err != nil {
			t.Fatal(err)
		}
		var got struct {
			Model  string `json:"model"`
			Stream bool   `json:"stream"`
		}
		if err := json.Unmarshal(sent, &got); err != nil {
			t.Fatal(err)
		}
		if got.Model != b.Model() || got.Stream != b.IsStream() {
			t.Fatalf("routed for %q, stream %t; sent %s", b.Model(), b.IsStream(), sent)
		}
		if b.OutputLimit() < 0 || b.PromptTokens() < 1 {
			t.Fatalf("limit %d, prompt %d", b.OutputLimit(), b.PromptTokens())
		}
	})
}
