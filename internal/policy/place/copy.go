package place

// CachedPrefix tells how many tokens at the beginning of a prompt are in the memory of upstreams.
type CachedPrefix struct {
	Local  int // of the upstream that is looked at
	Remote int // of the one that holds most of them
}

const (
	// copyLeast is the least number of tokens that is worth a copy: reading fewer takes about as long as setting it up.
	copyLeast = 300
	// copySetup is the time before a copy begins, in milliseconds.
	copySetup = 5.0
	// copyPrice weighs the bytes of one copied token against delay, in milliseconds. It keeps requests with the same
	// beginning together while their upstream has time for them.
	copyPrice = 0.015
)

// TokensToCopy returns the number of tokens that an upstream should copy from another one before it reads the rest of a prompt.
// It answers requests with long common beginnings that meet at more upstreams than one: copying is several times faster
// than reading and takes nothing from the requests beside it.
func (m CostModel) TokensToCopy(h CachedPrefix) int {
	if m.CopyPerMs <= 0 || h.Remote-h.Local < copyLeast {
		return 0
	}
	return h.Remote - h.Local
}
