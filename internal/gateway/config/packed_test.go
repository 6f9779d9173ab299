package config_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/gateway/config"
)

func TestPack(t *testing.T) {
	text := []byte(strings.Repeat(`{"name":"r-1","host":"a.example","prefix":"/a/"}`, 1000))
	packed := config.Pack(text)
	cases := []struct {
		name   string
		packed []byte
		want   []byte // nil for an error
	}{
		{"whole", packed, text},
		{"empty", config.Pack(nil), []byte{}},
		{"cut", packed[:len(packed)/2], nil},
		{"not compressed", text, nil},
		{"too large", config.Pack(make([]byte, config.MaxBytes+1)), nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got, err := config.Unpack(c.packed)
			if c.want == nil {
				is.Equal(kind.Of(err), kind.Peer)
				return
			}
			is.NoErr(err)
			is.True(bytes.Equal(got, c.want))
		})
	}
}
