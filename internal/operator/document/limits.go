package document

import "time"

// Ranges of the document's numbers.
const (
	maxTier      = 6
	maxRate      = 1e6           // requests per second
	maxTokens    = 1_000_000_000 // tokens per minute
	maxOpen      = 1_000_000     // requests in flight
	minWeight    = 0.01
	maxWeight    = 1000
	maxSlots     = 100_000
	maxUpstreams = 10_000
	maxBody      = 1 << 30 // bytes
	maxName      = 64      // characters
	maxText      = 256     // characters
)

// Values of fields that a document leaves out.
const (
	defaultWeight  = 1
	defaultSlots   = 16
	defaultWait    = 5 * time.Second
	defaultBody    = 4 << 20 // bytes
	defaultTimeout = 10 * time.Minute
	defaultExpiry  = 24 * time.Hour
)
