package advisory_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"hickorypath/internal/policy/advisory"
)

func TestParseLimit(t *testing.T) {
	const low = 1 // requests per second that stand in for an unreadable value
	cases := []struct {
		name     string
		values   []string
		named    bool
		readable bool
		rate     float64
	}{
		{"none", nil, false, true, 0},
		{"whole", []string{"3"}, true, true, 3},
		{"fraction", []string{"0.25"}, true, true, 0.25},
		{"fraction only", []string{".5"}, true, true, 0.5},
		{"white space", []string{" 2\t"}, true, true, 2},
		{"zero", []string{"0"}, true, true, 0},
		{"repeated", []string{"5", "2"}, true, true, 2},
		{"list", []string{"5, 2"}, true, true, 2},
		{"list with an unreadable part", []string{"x, 2"}, true, true, 2},
		{"large", []string{"1000000"}, true, true, advisory.MaxRate},
		{"beyond a float64", []string{strings.Repeat("9", 400)}, true, true, advisory.MaxRate},
		{"empty", []string{""}, true, false, low},
		{"word", []string{"none"}, true, false, low},
		{"negative", []string{"-1"}, true, false, low},
		{"exponent", []string{"1e3"}, true, false, low},
		{"hexadecimal", []string{"0x10"}, true, false, low},
		{"infinity", []string{"Inf"}, true, false, low},
		{"not a number", []string{"NaN"}, true, false, low},
		{"two points", []string{"1.2.3"}, true, false, low},
		{"point", []string{"."}, true, false, low},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l := advisory.ParseLimit(c.values...)
			is.Equal(l.IsNamed(), c.named)
			is.Equal(l.Unreadable() == "", c.readable)
			is.Equal(l.Rate(), c.rate)
		})
	}
}

func ExampleParseLimit() {
	l := advisory.ParseLimit("2.5")
	fmt.Println(l.IsNamed(), l.Rate())
	// Output: true 2.5
}

// FuzzParseLimit checks that any value gives a rate within the bounds, and that unreadable values are kept short.
func FuzzParseLimit(f *testing.F) {
	for _, s := range []string{"1", "0.5", "-1", "1, 2", "1e400", "\x00", strings.Repeat("9", 400)} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		l := advisory.ParseLimit(s)
		if !l.IsNamed() || !(l.Rate() >= 0 && l.Rate() <= advisory.MaxRate) {
			t.Fatalf("limit %v", l)
		}
		if len(l.Unreadable()) > 400 {
			t.Fatal("the value is kept at full length")
		}
	})
}
