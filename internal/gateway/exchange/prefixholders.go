package exchange

import (
	"time"

	"hickorypath/internal/gateway/upstream"
	"hickorypath/internal/policy/place"
)

const (
	// homeBonus lowers the cost of the home instance, in milliseconds, so that all hosts send a prompt part that
	// no instance has read yet to the same one.
	homeBonus = 60
	// minHomeTokens is the number of shared prompt tokens from which a prompt is sent to its home instance.
	minHomeTokens = 1000
	// largeServiceSize is the number of instances from which hosts hear of too few of each other's requests to
	// know the contents of all caches. The home instance of a part is then assumed to hold the part.
	largeServiceSize = 24
)

// prefixHolders are the instances whose caches hold the beginning of a prompt.
type prefixHolders struct {
	most, second prefixHolder // with the most and second most cached tokens, as far as known
	// home is where all hosts expect the shared parts, and previousHome where they expected them before home was
	// added: the first and second choice of the rendezvous hash. They are nil if the home does not matter.
	home, previousHome *upstream.Instance
	large              bool  // the home instance is assumed to hold the shared parts
	sharedTokens       int   // size of the shared parts
	cachedTokens       []int // known to be cached, for each instance of the list; valid until the next call of findPrefixHolders
}

type prefixHolder struct {
	instance     *upstream.Instance
	cachedTokens int
}

// findPrefixHolders returns the instances whose caches hold the beginning of the prompt of e, as far as e may use them.
func (x *Exchanger) findPrefixHolders(s *serviceState, e *exchange, list []*upstream.Instance, now time.Time) prefixHolders {
	parts := e.info.PromptParts
	s.tokensBuf = append(s.tokensBuf[:0], make([]int, len(list))...)
	holders := prefixHolders{large: len(list) >= largeServiceSize, sharedTokens: sharedTokens(parts), cachedTokens: s.tokensBuf}
	if len(parts) == 0 {
		return holders
	}
	for n, i := range list {
		holders.cachedTokens[n] = s.cache.CachedTokens(now, i.ID(), parts)
		if status := i.Status(now, 0); i.IsRemoved() || status == upstream.Down || status == upstream.Evacuated || !e.mayUse(i) {
			continue // a draining instance still serves copies from its cache
		}
		switch h := (prefixHolder{i, holders.cachedTokens[n]}); {
		case h.cachedTokens > holders.most.cachedTokens:
			holders.most, holders.second = h, holders.most
		case h.cachedTokens > holders.second.cachedTokens:
			holders.second = h
		}
	}
	if n := len(parts); n > 1 && holders.sharedTokens >= minHomeTokens && (holders.large || !s.cache.Contains(now, parts[n-2].ID)) {
		holders.home, holders.previousHome = homeInstances(e.usable(list), parts[n-2].ID)
	}
	return holders
}

// held returns how many tokens of the prompt are cached at instance i, where here is known to be cached, and at
// the best other instance.
func (p *prefixHolders) held(i *upstream.Instance, here int) place.CachedPrefix {
	if p.most.instance == i {
		return place.CachedPrefix{Local: here, Remote: p.second.cachedTokens}
	}
	return place.CachedPrefix{Local: here, Remote: p.most.cachedTokens}
}

// copySource returns the instance from which instance i, where here tokens are known to be cached, may copy the
// beginning of the prompt; nil for none. If the source is only expected to hold the beginning, an attempt to copy
// costs nothing when it does not.
func (p *prefixHolders) copySource(i *upstream.Instance, here int) *upstream.Instance {
	most := p.most
	if most.instance == i {
		most = p.second
	}
	switch {
	case most.cachedTokens > here:
		return most.instance
	case !p.large || p.home == nil || here >= p.sharedTokens:
		return nil
	case i != p.home:
		return p.home
	default:
		return p.previousHome
	}
}

// homeInstances returns the two instances with the highest rendezvous hash rank for a prompt part, which are the
// same on all hosts; nil if there is none. Draining and evacuated instances are left out.
func homeInstances(list []*upstream.Instance, part uint64) (first, second *upstream.Instance) {
	var firstRank, secondRank uint64
	for _, i := range list {
		if i.IsDraining() || i.IsEvacuated() {
			continue
		}
		switch rank := place.RendezvousRank(part, i.ID()); {
		case first == nil || rank > firstRank:
			first, firstRank, second, secondRank = i, rank, first, firstRank
		case second == nil || rank > secondRank:
			second, secondRank = i, rank
		}
	}
	return first, second
}

// sharedTokens returns the number of prompt tokens that other requests may share: all parts but the last.
func sharedTokens(parts []place.PromptPart) (n int) {
	for _, p := range parts[:max(len(parts)-1, 0)] {
		n += p.Tokens
	}
	return n
}
