package route

import "sort"

// holders are the indexes of the members whose prefix cache holds a block, the latest first. Unused elements are noMember.
type holders [maxHolders]uint16

const (
	maxHolders       = 4                 // members remembered for each block
	noMember         = ^uint16(0)        // index of no member
	maxIndex         = int(noMember) - 1 // largest index of a member
	defaultMaxBlocks = 1 << 16
)

var noHolders = holders{noMember, noMember, noMember, noMember}

// prefixIndex records which members hold which prefix blocks, by block hash. Its size is bounded by two generations:
// when the current one reaches half of maxBlocks, the previous one is dropped, which holds the least recently used blocks.
type prefixIndex struct {
	maxBlocks  int
	current    map[uint64]holders
	previous   map[uint64]holders
	matches    [maxMatches]prefixMatch // result of the latest call of match
	matchCount int                     // used elements of matches
}

// prefixMatch is a member and the number of leading blocks of a prompt that it holds.
type prefixMatch struct {
	member uint16 // index
	blocks int
}

// maxMatches bounds the number of candidates that match returns.
const maxMatches = 6

// newPrefixIndex returns an empty prefixIndex; maxBlocks 0 means defaultMaxBlocks.
func newPrefixIndex(maxBlocks int) *prefixIndex {
	if maxBlocks == 0 {
		maxBlocks = defaultMaxBlocks
	}
	return &prefixIndex{maxBlocks: maxBlocks, current: map[uint64]holders{}}
}

// get returns the holders of block and moves the block to the current generation.
func (p *prefixIndex) get(block uint64) (holders, bool) {
	if h, ok := p.current[block]; ok {
		return h, true
	}
	h, ok := p.previous[block]
	if ok {
		p.put(block, h)
	}
	return h, ok
}

// put sets the holders of block, and starts a new generation when the current one is full.
func (p *prefixIndex) put(block uint64, h holders) {
	p.current[block] = h
	if len(p.current) >= p.maxBlocks/2 {
		p.previous = p.current
		p.current = make(map[uint64]holders, len(p.previous)/2)
	}
}

// add records member as the latest holder of block. It replaces the earliest one when there are maxHolders.
func (p *prefixIndex) add(block uint64, member uint16) {
	h, ok := p.get(block)
	if !ok {
		h = noHolders
	}
	at := maxHolders - 1
	for i, m := range h {
		if m == member || m == noMember {
			at = i
			break
		}
	}
	copy(h[1:at+1], h[:at])
	h[0] = member
	p.put(block, h)
}

// remove removes member from the holders of block.
func (p *prefixIndex) remove(block uint64, member uint16) {
	h, ok := p.get(block)
	if !ok {
		return
	}
	for i, m := range h {
		if m == member {
			copy(h[i:], h[i+1:])
			h[maxHolders-1] = noMember
			p.put(block, h)
			return
		}
	}
}

// clear removes all blocks.
func (p *prefixIndex) clear() {
	clear(p.current)
	p.previous = nil
}

// match returns the members that hold the longest leading parts of prefix, at most maxMatches. It finds the last known
// block by binary search and looks up the holders at powers of two only, so that the number of lookups is logarithmic in
// the length of prefix. The result is valid until the next call.
func (p *prefixIndex) match(prefix []uint64) []prefixMatch {
	p.matchCount = 0
	known := sort.Search(len(prefix), func(i int) bool {
		_, ok := p.get(prefix[i])
		return !ok
	})
	for step := 1; step < known; step *= 2 {
		p.addHolders(prefix, step)
	}
	if known > 0 {
		p.addHolders(prefix, known)
	}
	return p.matches[:p.matchCount]
}

// addHolders adds a match of blocks leading blocks for each holder of the last of these blocks.
func (p *prefixIndex) addHolders(prefix []uint64, blocks int) {
	h, _ := p.get(prefix[blocks-1])
	for _, m := range h {
		if m == noMember {
			return
		}
		p.addMatch(m, blocks)
	}
}

// addMatch records that member holds blocks leading blocks. It replaces the shortest match when there are maxMatches.
// The hash of a block covers all blocks before it, so a holder of a block is assumed to hold the earlier blocks too.
func (p *prefixIndex) addMatch(member uint16, blocks int) {
	weakest := 0
	for i := range p.matches[:p.matchCount] {
		if p.matches[i].member == member {
			p.matches[i].blocks = blocks
			return
		}
		if p.matches[i].blocks < p.matches[weakest].blocks {
			weakest = i
		}
	}
	if p.matchCount < maxMatches {
		p.matches[p.matchCount] = prefixMatch{member, blocks}
		p.matchCount++
		return
	}
	p.matches[weakest] = prefixMatch{member, blocks}
}
