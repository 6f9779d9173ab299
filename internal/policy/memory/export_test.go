package memory

// Force sets the size of a hold whatever the account allows.
func (h *Hold) Force(size int64) { h.account.resize(h, size) }
