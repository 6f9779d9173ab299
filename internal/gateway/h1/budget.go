package h1

// Budget bounds the memory of a request while it is read. The zero value sets no bound.
type Budget struct {
	// Grow is called before the memory of the request grows to a size in bytes. The request is not read any further if it returns an error,
	// which the reader returns.
	Grow func(size int) error
	// Received is called with the number of bytes of the body that have arrived.
	Received func(n int)
}

func (b Budget) grow(size int) error {
	if b.Grow == nil {
		return nil
	}
	return b.Grow(size)
}

func (b Budget) received(n int) {
	if b.Received != nil {
		b.Received(n)
	}
}
