package document

import "time"

// Bounds of the numbers and texts in a document.
const (
	maxTier            = 6
	maxRate            = 1e6           // requests per second
	maxTokensPerMinute = 1_000_000_000 // tokens per minute
	maxInFlightLimit   = 1_000_000     // requests in flight
	minWeight          = 0.01
	maxWeight          = 1000
	maxSlots           = 100_000
	maxUpstreams       = 10_000
	maxBodySize        = 1 << 30 // bytes
	maxName            = 64      // characters
	maxText            = 256     // characters
)

// Defaults of fields that are left out.
const (
	defaultWeight      = 1
	defaultSlots       = 16
	defaultQueueTime   = 5 * time.Second
	defaultBodySize    = 4 << 20 // bytes
	defaultTimeout     = 10 * time.Minute
	defaultClaimExpiry = 24 * time.Hour
)
