package store

// lastWriteLimit bounds the number of keys whose last write a client remembers.
const lastWriteLimit = 4096

// unwrap decodes the envelope of an entry and remembers the write that the envelope names.
func (c *sharedState) unwrap(raw Entry) (Entry, envelope) {
	env := decodeEnvelope(raw.value)
	c.rememberWrite(raw.key, raw.revision, env)
	c.journal.adopt(c.opts.Clock.Boot(), EraOf(raw.revision), raw.key, env, c.noncePrefix)
	return NewEntry(raw.key, env.Value, raw.revision), env
}

func (c *sharedState) rememberWrite(key string, revision uint64, e envelope) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s, ok := c.lastWrites[key]; ok && s.revision >= revision {
		return
	}
	if len(c.lastWrites) >= lastWriteLimit {
		c.evictAny()
	}
	c.lastWrites[key] = lastWrite{revision: revision, nonce: e.Nonce, priorWrites: e.PriorWrites, complete: e.Complete}
}

// evictAny removes an arbitrary key from lastWrites; the caller holds the lock.
func (c *sharedState) evictAny() {
	for key := range c.lastWrites {
		delete(c.lastWrites, key)
		return
	}
}

func (c *sharedState) lastWrite(key string) lastWrite {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastWrites[key]
}
