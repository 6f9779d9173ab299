// Package suspect finds the requests that crash the upstreams that run them, and quarantines them. It
// is pure: the present time is passed in. See docs/design/suspects.md.
package suspect

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies requests that are the same: customer, route and body.
type Fingerprint uint64

// NewFingerprint returns the Print of a request. The body is hashed as it came.
func NewFingerprint(customer, route string, body []byte) Fingerprint {
	var d xxhash.Digest
	d.Reset()
	part := func(b []byte) {
		var length [8]byte
		binary.LittleEndian.PutUint64(length[:], uint64(len(b)))
		_, _ = d.Write(length[:])
		_, _ = d.Write(b)
	}
	part([]byte(customer))
	part([]byte(route))
	part(body)
	return Fingerprint(d.Sum64())
}

// Quarantine is the verdict on a request that crashed an upstream while it was the only suspect there.
// It is spread to all hosts.
type Quarantine struct {
	Fingerprint Fingerprint `cbor:"print"`
	Until       time.Time   `cbor:"until"`
	Upstream    string      `cbor:"upstream"` // that crashed
	At          time.Time   `cbor:"at"`       // when it was found crashed
}

// Suspicion tells the other hosts of a request that ran on an upstream when it crashed.
type Suspicion struct {
	Fingerprint Fingerprint   `cbor:"print"`
	Crashes     int           `cbor:"crashes"`
	Until       time.Time     `cbor:"until"`
	Upstream    string        `cbor:"upstream"` // that crashed
	At          time.Time     `cbor:"at"`       // when it was found crashed
	RunTime     time.Duration `cbor:"ran"`      // until the crash
	Offset      int           `cbor:"offset"`   // tokens received until the crash
}
