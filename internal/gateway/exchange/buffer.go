package exchange

import (
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"hickorypath/internal/policy/memory"
)

// firstBufferSize is the size of a new buffer, in bytes. It is granted whatever other buffers take.
const firstBufferSize = memory.FreeSize

// buffer holds a part of a response, or all of it. Its memory counts against an account until it is released.
type buffer struct {
	hold *memory.Hold
	now  func() time.Time
	data []byte
}

func newBuffer(a *memory.Account, now func() time.Time) *buffer {
	b := &buffer{hold: a.Open(now(), memory.Response, "", nil), now: now}
	_ = b.resize(firstBufferSize) // this size is always granted
	return b
}

// resize replaces the memory of the buffer. It returns memory.ErrFull if the account does not grant the size.
func (b *buffer) resize(size int) error {
	if err := b.hold.Grow(b.now(), int64(size)); err != nil {
		return err
	}
	b.data = append(make([]byte, 0, size), b.data...)
	return nil
}

// read reads from r once and appends what it gets. It returns memory.ErrFull if there is no memory for more.
func (b *buffer) read(r io.Reader) (int, error) {
	if size := cap(b.data); len(b.data) == size {
		if err := b.resize(2 * size); err != nil {
			return 0, err
		}
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
	if len(b.data) == 0 && cap(b.data) > firstBufferSize {
		_ = b.resize(firstBufferSize) // this size is always granted
	}
}

// release returns the memory of the buffer, which must not be used any more.
func (b *buffer) release() {
	b.hold.Close()
	b.data = nil
}
