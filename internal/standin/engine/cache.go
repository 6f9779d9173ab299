package engine

import "slices"

// cache is a prefix cache with LRU eviction. It journals added and evicted blocks for GET /events.
type cache struct {
	size     int      // in blocks
	blocks   []uint64 // least recently used first
	journal  []change
	firstSeq int // sequence number of journal[0]
}

// change is a block that was added to the cache or evicted from it.
type change struct {
	block uint64
	added bool
}

// journalSize bounds the number of changes kept for a reader that falls behind.
const journalSize = 8192

func (c *cache) fillRatio() float64 { return float64(len(c.blocks)) / float64(c.size) }

// insert adds all blocks of a prefix and returns how many leading blocks were already cached.
func (c *cache) insert(prefix []uint64) (hits int) {
	for i, b := range prefix {
		if at := slices.Index(c.blocks, b); at >= 0 {
			c.blocks = slices.Delete(c.blocks, at, at+1)
			if hits == i {
				hits++
			}
		} else {
			c.record(change{block: b, added: true})
		}
		c.blocks = append(c.blocks, b)
	}
	for len(c.blocks) > c.size {
		c.record(change{block: c.blocks[0]})
		c.blocks = c.blocks[1:]
	}
	return hits
}

func (c *cache) record(ch change) {
	c.journal = append(c.journal, ch)
	if extra := len(c.journal) - journalSize; extra > 0 {
		c.journal = slices.Delete(c.journal, 0, extra)
		c.firstSeq += extra
	}
}

// clear empties the cache and the journal, as an engine restart does.
func (c *cache) clear() {
	c.blocks = nil
	c.discardJournal()
}

// discardJournal drops the journal and skips a sequence number, so that readers see a gap.
func (c *cache) discardJournal() {
	c.firstSeq += len(c.journal) + 1
	c.journal = nil
}

// changesSince returns the changes from sequence number after on, the sequence number to ask for next, and whether
// changes were lost in between.
func (c *cache) changesSince(after int) (changes []change, next int, gap bool) {
	next = c.firstSeq + len(c.journal)
	if after < c.firstSeq || after > next {
		return c.journal, next, after > next || after > 0 || c.firstSeq > 0
	}
	return c.journal[after-c.firstSeq:], next, false
}
