package exchange

import (
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

// firstBufferSize is the size of a new buffer, in bytes. It is granted whatever other buffers take.
const firstBufferSize = 4 << 10

// errBufferFull means that a response needs more memory than the host grants it.
var errBufferFull = errors.New("the response exceeds the memory for responses")

// bufferBudget is the memory that the responses in hand may take together, in bytes. It is safe for concurrent use.
type bufferBudget struct {
	total int

	mu   sync.Mutex
	used int
}

// resize changes the size of one buffer and reports whether the budget allows it. A buffer may take half of what the others leave, so
// that large ones, of upstreams that send without end, always leave room for small ones.
func (b *bufferBudget) resize(from, to int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	others := b.used - from
	if to > firstBufferSize && to > (b.total-others)/2 {
		return false
	}
	b.used = others + to
	return true
}

// buffer holds a part of a response, or all of it. Its memory counts against a budget until it is released.
type buffer struct {
	budget *bufferBudget
	data   []byte
}

func newBuffer(b *bufferBudget) *buffer {
	b.resize(0, firstBufferSize)
	return &buffer{budget: b, data: make([]byte, 0, firstBufferSize)}
}

// read reads from r once and appends what it gets. It returns errBufferFull if there is no memory for more.
func (b *buffer) read(r io.Reader) (int, error) {
	if size := cap(b.data); len(b.data) == size {
		if !b.budget.resize(size, 2*size) {
			return 0, errBufferFull
		}
		b.data = append(make([]byte, 0, 2*size), b.data...)
	}
	n, err := r.Read(b.data[len(b.data):cap(b.data)])
	b.data = b.data[:len(b.data)+n]
	return n, err
}

// readAll reads up to the end of r, but stops once it has more than limit bytes.
func (b *buffer) readAll(r io.Reader, limit int) error {
	for len(b.data) <= limit {
		if _, err := b.read(r); err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
	}
	return nil
}

// discard removes the first n bytes. An empty buffer returns the memory that it has grown by.
func (b *buffer) discard(n int) {
	b.data = append(b.data[:0], b.data[n:]...)
	if size := cap(b.data); len(b.data) == 0 && size > firstBufferSize {
		b.budget.resize(size, firstBufferSize)
		b.data = make([]byte, 0, firstBufferSize)
	}
}

// release returns the memory of the buffer, which must not be used any more.
func (b *buffer) release() {
	b.budget.resize(cap(b.data), 0)
	b.data = nil
}
