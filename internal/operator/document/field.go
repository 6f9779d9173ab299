package document

import (
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/tailscale/hujson"
)

// readFunc reads the JSON value v of the field with the given name into a T.
type readFunc[T any] = func(r *reader, e *entry[T], name string, v *hujson.Value)

var namePattern = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]*$`)

var methods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

// literal returns v as a literal if v has the given JSON kind; otherwise it reports a fault that asks for want.
func literal(r *reader, v *hujson.Value, name string, kind hujson.Kind, want string) (hujson.Literal, bool) {
	lit, ok := v.Value.(hujson.Literal)
	if ok && lit.Kind() == kind {
		return lit, true
	}
	r.fault(r.pos(v), "write "+want, "%q must be %s, not %s", name, want, typeOf(v))
	return nil, false
}

// stringOf returns the value of a string literal. An ASCII string without escapes is sliced, which avoids the cost
// of a JSON decoder for nearly all names of a large document.
func stringOf(lit hujson.Literal) string {
	for _, c := range lit {
		if c == '\\' || c >= utf8.RuneSelf {
			return lit.String()
		}
	}
	return string(lit[1 : len(lit)-1])
}

func number[T any](get func(*T) *float64, low, high float64) readFunc[T] {
	return func(r *reader, e *entry[T], name string, v *hujson.Value) {
		lit, ok := literal(r, v, name, '0', "a number")
		if !ok {
			return
		}
		n, err := strconv.ParseFloat(string(lit), 64)
		if err != nil || n < low || n > high {
			r.fault(r.pos(v), fmt.Sprintf("give a number from %v to %v", low, high), "%q is out of range: %s", name, string(lit))
			return
		}
		*get(&e.value) = n
	}
}

func integer[T any](get func(*T) *int, low, high int) readFunc[T] {
	return func(r *reader, e *entry[T], name string, v *hujson.Value) {
		lit, ok := literal(r, v, name, '0', "a whole number")
		if !ok {
			return
		}
		n, err := strconv.Atoi(string(lit))
		if err != nil || n < low || n > high {
			r.fault(r.pos(v), fmt.Sprintf("give a whole number from %d to %d", low, high), "%q is out of range: %s", name, string(lit))
			return
		}
		*get(&e.value) = n
	}
}

func duration[T any](get func(*T) *time.Duration, low, high time.Duration) readFunc[T] {
	return func(r *reader, e *entry[T], name string, v *hujson.Value) {
		lit, ok := literal(r, v, name, '"', `a duration such as "1.5s"`)
		if !ok {
			return
		}
		d, err := time.ParseDuration(stringOf(lit))
		if err != nil {
			r.fault(r.pos(v), `write a number with a unit, such as "33ms", "1.1s" or "10m"`, "%q is no duration: %s", name, string(lit))
			return
		}
		if d < low || d > high {
			r.fault(r.pos(v), fmt.Sprintf("give a duration from %s to %s", formatDuration(low), formatDuration(high)), "%q is out of range: %s", name, string(lit))
			return
		}
		*get(&e.value) = d
	}
}

func flag[T any](get func(*T) *bool) readFunc[T] {
	return func(r *reader, e *entry[T], name string, v *hujson.Value) {
		lit, ok := v.Value.(hujson.Literal)
		if !ok || (lit.Kind() != 't' && lit.Kind() != 'f') {
			r.fault(r.pos(v), "write true or false", "%q must be true or false, not %s", name, typeOf(v))
			return
		}
		*get(&e.value) = lit.Bool()
	}
}

func text[T any](get func(*T) *string) readFunc[T] {
	return checked(get, func(s string) string {
		if s == "" || len(s) > maxText {
			return fmt.Sprintf("write 1 to %d characters", maxText)
		}
		return ""
	})
}

func name[T any](get func(*T) *string) readFunc[T] { return checked(get, checkName) }

func oneOf[T any](get func(*T) *string, options ...string) readFunc[T] {
	return checked(get, func(s string) string {
		if slices.Contains(options, s) {
			return ""
		}
		return "write one of " + strings.Join(options, ", ")
	})
}

// checked returns a readFunc for a string that check accepts. check returns an empty string, or the remedy for a
// string that is not valid.
func checked[T any](get func(*T) *string, check func(string) string) readFunc[T] {
	return func(r *reader, e *entry[T], name string, v *hujson.Value) {
		lit, ok := literal(r, v, name, '"', "a string")
		if !ok {
			return
		}
		value := stringOf(lit)
		if remedy := check(value); remedy != "" {
			r.fault(r.pos(v), remedy, "%q cannot be %s", name, string(lit))
			return
		}
		*get(&e.value) = value
	}
}

// list returns a readFunc for an array of distinct strings that check accepts. It records the offset of each string.
func list[T any](get func(*T) *[]string, check func(string) string) readFunc[T] {
	return func(r *reader, e *entry[T], name string, v *hujson.Value) {
		arr, ok := v.Value.(*hujson.Array)
		if !ok {
			r.fault(r.pos(v), "write an array of strings", "%q must be an array, not %s", name, typeOf(v))
			return
		}
		var items []string
		seen := make(map[string]bool, len(arr.Elements))
		for i := range arr.Elements {
			el := &arr.Elements[i]
			lit, ok := literal(r, el, name, '"', "an array of strings")
			if !ok {
				continue
			}
			s := stringOf(lit)
			if remedy := check(s); remedy != "" {
				r.fault(r.pos(el), remedy, "%q cannot hold %s", name, string(lit))
				continue
			}
			if seen[s] {
				r.fault(r.pos(el), "keep one of the two", "%q lists %s twice", name, string(lit))
				continue
			}
			seen[s] = true
			e.addOffset(name, len(items), r.pos(el))
			items = append(items, s)
		}
		*get(&e.value) = items
	}
}

// object returns a readFunc for a nested object with the given fields.
func object[T, U any](get func(*T) *U, fields []field[U]) readFunc[T] {
	return func(r *reader, e *entry[T], name string, v *hujson.Value) {
		inner := entry[U]{value: *get(&e.value)}
		if readObject(r, v, fmt.Sprintf("%q", name), fields, &inner) {
			*get(&e.value) = inner.value
		}
	}
}

func checkName(s string) string {
	if len(s) <= maxName && namePattern.MatchString(s) {
		return ""
	}
	return fmt.Sprintf("write 1 to %d letters, digits, dots, dashes or underscores, the first a letter or digit", maxName)
}

func checkMethod(s string) string {
	if slices.Contains(methods, s) {
		return ""
	}
	return "write one of " + strings.Join(methods, ", ")
}

// formatDuration formats d without trailing zero units.
func formatDuration(d time.Duration) string {
	s := d.String()
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}
