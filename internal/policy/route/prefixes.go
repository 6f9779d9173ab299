package route

import "sort"

// holders are the members whose cache holds a block, the latest first; noMember fills the rest.
type holders [maxHolders]uint16

const (
	maxHolders    = 4
	noMember      = ^uint16(0)
	maxIndex      = int(noMember) - 1
	defaultBlocks = 1 << 16
)

var noHolders = holders{noMember, noMember, noMember, noMember}

// prefixes knows which members hold which prefix blocks. Its size is bounded; what is used least
// recently is forgotten by halves.
type prefixes struct {
	size     int
	young    map[uint64]holders
	old      map[uint64]holders
	affinity [maxAffine]affine
	found    int
}

// affine is a member with the number of leading blocks that it holds.
type affine struct {
	member uint16
	blocks int
}

// maxAffine bounds the candidates that come from the prefix cache.
const maxAffine = 6

func newPrefixes(size int) *prefixes {
	if size == 0 {
		size = defaultBlocks
	}
	return &prefixes{size: size, young: map[uint64]holders{}}
}

func (p *prefixes) get(block uint64) (holders, bool) {
	if h, ok := p.young[block]; ok {
		return h, true
	}
	h, ok := p.old[block]
	if ok {
		p.put(block, h)
	}
	return h, ok
}

func (p *prefixes) put(block uint64, h holders) {
	p.young[block] = h
	if len(p.young) >= p.size/2 {
		p.old = p.young
		p.young = make(map[uint64]holders, len(p.old)/2)
	}
}

// add notes member as the latest holder of block.
func (p *prefixes) add(block uint64, member uint16) {
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

// remove forgets member as a holder of block.
func (p *prefixes) remove(block uint64, member uint16) {
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

func (p *prefixes) clear() {
	clear(p.young)
	p.old = nil
}

// match finds the members that hold the longest leading parts of prefix. It looks up a number of
// blocks that grows with the logarithm of the prefix only.
func (p *prefixes) match(prefix []uint64) []affine {
	p.found = 0
	known := sort.Search(len(prefix), func(i int) bool {
		_, ok := p.get(prefix[i])
		return !ok
	})
	for step := 1; step < known; step *= 2 {
		p.noteAll(prefix, step)
	}
	if known > 0 {
		p.noteAll(prefix, known)
	}
	return p.affinity[:p.found]
}

// noteAll notes the holders of the block that ends a leading part.
func (p *prefixes) noteAll(prefix []uint64, blocks int) {
	h, _ := p.get(prefix[blocks-1])
	for _, m := range h {
		if m == noMember {
			return
		}
		p.note(m, blocks)
	}
}

// note records that a member holds a number of leading blocks. A block's hash covers all before it,
// so a holder of a later block is taken to hold the earlier ones.
func (p *prefixes) note(member uint16, blocks int) {
	weakest := 0
	for i := range p.affinity[:p.found] {
		if p.affinity[i].member == member {
			p.affinity[i].blocks = blocks
			return
		}
		if p.affinity[i].blocks < p.affinity[weakest].blocks {
			weakest = i
		}
	}
	if p.found < maxAffine {
		p.affinity[p.found] = affine{member, blocks}
		p.found++
		return
	}
	p.affinity[weakest] = affine{member, blocks}
}
