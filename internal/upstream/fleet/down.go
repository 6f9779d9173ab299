package fleet

// maxFails is how many polls in a row must fail before an upstream counts as down.
const maxFails = 3

// Down takes an upstream that crashed out of service until it answers a poll again. Plain services are not
// polled and stay in service.
func (f *Fleet) Down(pool, upstream string) {
	e, ok := f.entry(pool)
	if ok && e.poller != nil && e.noteFailed(upstream, maxFails) {
		f.refreshPool(pool)
	}
}

// IsDown reports whether an upstream is out of service because it does not answer.
func (f *Fleet) IsDown(pool, upstream string) bool {
	e, ok := f.entry(pool)
	return ok && e.isDown(upstream)
}

// refreshPool puts the present list of a pool's upstreams in force again.
func (f *Fleet) refreshPool(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e, ok := f.pools[name]; ok {
		e.setTargets(f.sized(name))
	}
}

// noteFailed counts n failed polls and reports whether the upstream is down from now on.
func (e *entry) noteFailed(upstream string, n int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	before := e.fails[upstream]
	e.fails[upstream] = min(before+n, maxFails)
	return before < maxFails && e.fails[upstream] == maxFails
}

// noteUp forgets failed polls and reports whether the upstream is up again from now on.
func (e *entry) noteUp(upstream string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	before := e.fails[upstream]
	delete(e.fails, upstream)
	return before == maxFails
}

func (e *entry) isDown(upstream string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fails[upstream] == maxFails
}
