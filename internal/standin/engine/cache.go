package engine

import "slices"

// cache holds prefix blocks in order of last use and journals what enters and leaves.
type cache struct {
	size    int
	blocks  []uint64 // least recently used first
	journal []change
	base    int // sequence number of journal[0]
}

type change struct {
	block uint64
	added bool
}

// journalSize bounds the changes kept for a reader that falls behind.
const journalSize = 8192

func (c *cache) fill() float64 { return float64(len(c.blocks)) / float64(c.size) }

// use returns how many leading blocks were cached and caches all of them.
func (c *cache) use(prefix []uint64) (hits int) {
	for i, b := range prefix {
		if at := slices.Index(c.blocks, b); at >= 0 {
			c.blocks = slices.Delete(c.blocks, at, at+1)
			if hits == i {
				hits++
			}
		} else {
			c.note(change{block: b, added: true})
		}
		c.blocks = append(c.blocks, b)
	}
	for len(c.blocks) > c.size {
		c.note(change{block: c.blocks[0]})
		c.blocks = c.blocks[1:]
	}
	return hits
}

func (c *cache) note(ch change) {
	c.journal = append(c.journal, ch)
	if extra := len(c.journal) - journalSize; extra > 0 {
		c.journal = slices.Delete(c.journal, 0, extra)
		c.base += extra
	}
}

// clear empties the cache and the journal, as a restart does.
func (c *cache) clear() {
	c.blocks = nil
	c.drop()
}

// drop forgets the journal, so that readers see a gap.
func (c *cache) drop() {
	c.base += len(c.journal) + 1
	c.journal = nil
}

// since returns the changes after sequence number after, and whether some were lost.
func (c *cache) since(after int) (changes []change, next int, gap bool) {
	next = c.base + len(c.journal)
	if after < c.base || after > next {
		return c.journal, next, after > next || after > 0 || c.base > 0
	}
	return c.journal[after-c.base:], next, false
}
