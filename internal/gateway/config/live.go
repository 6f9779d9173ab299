package config

import "sync/atomic"

// Live holds the configuration in force. It is safe for concurrent use.
type Live struct {
	current atomic.Pointer[Config]
}

// NewLive returns a Live without a configuration.
func NewLive() *Live { return &Live{} }

// Load returns the configuration in force, nil before the first.
func (l *Live) Load() *Config { return l.current.Load() }

// StoreIfNewer puts c in force if it is newer than the one in force, and reports whether it did.
func (l *Live) StoreIfNewer(c *Config) bool {
	for {
		old := l.current.Load()
		if old != nil && old.version >= c.version {
			return false
		}
		if l.current.CompareAndSwap(old, c) {
			return true
		}
	}
}
