package document

import (
	"bytes"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/tailscale/hujson"
)

// span is the byte range of one object in a list of the document: from start up to, not including, end.
type span struct {
	start int
	end   int
}

// spans are sorted by offset.
type spans []span

// listDepth is the number of brackets that enclose an object of a top-level list: the document's brace and the
// list's bracket.
const listDepth = 2

// outlineOf returns a copy of data in which each object of a list is replaced by a 0 padded with spaces, and the
// spans of those objects. The syntax tree of a large document takes far more memory than its text, so the objects
// are parsed one at a time. Byte offsets and line numbers are preserved. If the brackets of data do not match,
// outlineOf returns data unchanged and no spans.
func outlineOf(data []byte) ([]byte, spans) {
	var (
		found spans
		depth int
		start = -1
	)
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case '"':
			i = skipString(data, i)
		case '/':
			i = skipComment(data, i)
		case '{', '[':
			if depth == listDepth && data[i] == '{' {
				start = i
			}
			depth++
		case '}', ']':
			depth--
			if depth != listDepth || start < 0 {
				continue
			}
			if data[i] != '}' {
				return data, nil
			}
			found = append(found, span{start, i + 1})
			start = -1
		}
	}
	if depth != 0 {
		return data, nil
	}
	return blank(data, found), found
}

// skipString returns the index of the closing quote of the string that starts at i, or an index past the end of
// data if the string is not terminated.
func skipString(data []byte, i int) int {
	for i++; i < len(data) && data[i] != '"'; i++ {
		if data[i] == '\\' {
			i++
		}
	}
	return i
}

// skipComment returns the index of the last byte of the comment that starts at i, or i if no comment starts there.
func skipComment(data []byte, i int) int {
	rest := data[i:]
	var end, size int
	switch {
	case bytes.HasPrefix(rest, []byte("//")):
		end, size = bytes.IndexByte(rest, '\n'), 1
	case bytes.HasPrefix(rest, []byte("/*")):
		end, size = bytes.Index(rest[2:], []byte("*/"))+2, 2
	default:
		return i
	}
	if end < size {
		return len(data) // the comment is not terminated
	}
	return i + end + size - 1
}

func blank(data []byte, found spans) []byte {
	out := slices.Clone(data)
	for _, s := range found {
		for i := s.start; i < s.end; i++ {
			if out[i] != '\n' {
				out[i] = ' '
			}
		}
		out[s.start] = '0'
	}
	return out
}

// endOf returns the end offset of the span that starts at start and reports whether there is such a span.
func (s spans) endOf(start int) (int, bool) {
	i, ok := slices.BinarySearchFunc(s, start, func(x span, start int) int { return x.start - start })
	if !ok {
		return 0, false
	}
	return s[i].end, true
}

// readElement reads a list element into e. If the outline holds a placeholder for the element, its source text is
// parsed first, or the customer with the same text in the prior document is reused.
func readElement[T any](r *reader, v *hujson.Value, what string, fields []field[T], e *entry[T]) bool {
	start := r.pos(v)
	end, ok := r.spans.endOf(start)
	if !ok {
		return readObject(r, v, what, fields, e)
	}
	text := r.locator.data[start:end]
	if reuseCustomer(r, text, e) {
		e.offset = start
		return true
	}
	el, err := hujson.Parse(text)
	if err != nil {
		r.addSyntaxFault(start, text, err)
		return false
	}
	r.base = start
	defer func() { r.base = 0 }()
	return readObject(r, &el, what, fields, e)
}

// reuseCustomer copies the customer with the same source text from the prior document into e and reports whether there
// is one.
func reuseCustomer[T any](r *reader, text []byte, e *entry[T]) bool {
	e.hash = xxhash.Sum64(text)
	target, ok := any(&e.value).(*Customer)
	if !ok || r.prior == nil {
		return false
	}
	known, ok := r.prior.customerCache[e.hash]
	if !ok || !bytes.Equal(r.prior.source[known.span.start:known.span.end], text) {
		return false
	}
	*target = *known.customer
	return true
}

// parsedCustomer is a customer with the span of its source text.
type parsedCustomer struct {
	span     span
	customer *Customer
}

// newCustomerCache returns the customers by the hash of their source text, for the parsing of the next document.
func newCustomerCache(entries []*entry[Customer], customers []*Customer, found spans) map[uint64]parsedCustomer {
	texts := make(map[uint64]parsedCustomer, len(entries))
	for i, e := range entries {
		if end, ok := found.endOf(e.offset); ok {
			texts[e.hash] = parsedCustomer{span{e.offset, end}, customers[i]}
		}
	}
	return texts
}
