package lease

import "time"

// Token shows that a lease was held when it was taken; Valid tells whether it still is.
type Token struct {
	lease *Lease
	fence uint64
}

// Fence returns the fencing number of the holder.
func (t Token) Fence() uint64 { return t.fence }

// Valid returns an error of kind Lapsed unless the lease stays valid for need.
func (t Token) Valid(need time.Duration) error {
	t.lease.mu.Lock()
	defer t.lease.mu.Unlock()
	return t.lease.check(t.fence, need)
}
