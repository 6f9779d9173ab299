package engine

import "container/list"

// cache holds prefix blocks in order of last use and journals what enters and leaves.
type cache struct {
	size    int
	order   *list.List
	blocks  map[uint64]*list.Element
	journal []change
	base    int // sequence number of journal[0]
}

type change struct {
	block uint64
	added bool
}

// journalSize bounds the changes kept for a reader that falls behind.
const journalSize = 8192

func newCache(size int) *cache {
	return &cache{size: size, order: list.New(), blocks: map[uint64]*list.Element{}}
}

func (c *cache) fill() float64 { return float64(c.order.Len()) / float64(c.size) }

// use returns how many leading blocks were cached and caches all of them.
func (c *cache) use(prefix []uint64) (hits int) {
	for hits < len(prefix) && c.blocks[prefix[hits]] != nil {
		hits++
	}
	for _, b := range prefix {
		c.touch(b)
	}
	return hits
}

func (c *cache) touch(b uint64) {
	if at := c.blocks[b]; at != nil {
		c.order.MoveToFront(at)
		return
	}
	c.blocks[b] = c.order.PushFront(b)
	c.note(change{block: b, added: true})
	if c.order.Len() <= c.size {
		return
	}
	oldest := c.order.Back()
	gone := c.order.Remove(oldest).(uint64)
	delete(c.blocks, gone)
	c.note(change{block: gone})
}

func (c *cache) note(ch change) {
	c.journal = append(c.journal, ch)
	if extra := len(c.journal) - journalSize; extra > 0 {
		c.journal = append(c.journal[:0], c.journal[extra:]...)
		c.base += extra
	}
}

// clear empties the cache and the journal, as a restart does.
func (c *cache) clear() {
	c.order.Init()
	clear(c.blocks)
	c.base += len(c.journal) + 1
	c.journal = nil
}

// drop forgets the journal, so that readers see a gap.
func (c *cache) drop() {
	c.base += len(c.journal) + 1
	c.journal = nil
}

// since returns the changes after sequence number after, and whether some were lost.
func (c *cache) since(after int) (changes []change, next int, gap bool) {
	next = c.base + len(c.journal)
	if after > next {
		return c.journal, next, true
	}
	if after < c.base {
		return c.journal, next, after > 0 || c.base > 0
	}
	return c.journal[after-c.base:], next, false
}
