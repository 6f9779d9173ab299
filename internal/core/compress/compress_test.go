package compress_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"

	"hickorypath/internal/core/compress"
	"hickorypath/internal/core/kind"
)

func TestEncode(t *testing.T) {
	text := []byte(strings.Repeat(`{"name":"r-1","host":"a.example","prefix":"/a/"}`, 1000))
	const maxBytes = 1 << 20
	packed := compress.Encode(text)
	cases := []struct {
		name   string
		packed []byte
		want   []byte // nil for an error
	}{
		{"whole", packed, text},
		{"empty", compress.Encode(nil), []byte{}},
		{"cut", packed[:len(packed)/2], nil},
		{"not compressed", text, nil},
		{"too large", compress.Encode(make([]byte, maxBytes+1)), nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got, err := compress.Decode(c.packed, maxBytes)
			if c.want == nil {
				is.Equal(kind.Of(err), kind.Peer)
				return
			}
			is.NoErr(err)
			is.True(bytes.Equal(got, c.want))
		})
	}
}
