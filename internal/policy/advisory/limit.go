package advisory

import (
	"strconv"
	"strings"
	"time"
)

// Limit is the request rate that an upstream accepts from all hosts together. The zero value is no limit.
type Limit struct {
	named      bool
	rate       float64 // requests per second
	unreadable string  // the beginning of a value that is no rate
}

const (
	// MaxRate is the highest rate that a Limit holds, in requests per second. It is far above what one upstream can serve.
	MaxRate = 1e4
	// unreadableRate stands in for a value that is no rate, in requests per second: low enough for an upstream in need, and
	// high enough for its next response to replace it. It doubles every unreadableDoubling, so that a wrong value does not stop
	// a service.
	unreadableRate     = 1.0
	unreadableDoubling = 2 * time.Second
	// maxUnreadableLen is how much of an unreadable value is kept, in bytes.
	maxUnreadableLen = 40
)

// NewLimit returns a Limit of rate requests per second, which is bounded by 0 and MaxRate.
func NewLimit(rate float64) Limit { return Limit{named: true, rate: min(max(rate, 0), MaxRate)} }

// ParseLimit returns the Limit that the values of a header field state, without values no limit. A value is a decimal number
// of requests per second, or a list of such numbers. The lowest number counts. Without any number the Limit is unreadable, and
// low at first.
func ParseLimit(values ...string) Limit {
	if len(values) == 0 {
		return Limit{}
	}
	text, found := strings.Join(values, ","), Limit{}
	for part := range strings.SplitSeq(text, ",") {
		rate, ok := parseRate(strings.Trim(part, " \t"))
		if ok && (!found.named || rate < found.rate) {
			found = NewLimit(rate)
		}
	}
	if !found.named {
		return Limit{named: true, rate: unreadableRate, unreadable: strconv.Quote(text[:min(len(text), maxUnreadableLen)])}
	}
	return found
}

// parseRate parses a number of digits with an optional fraction. Unlike strconv.ParseFloat, it accepts no sign, exponent, infinity or NaN.
func parseRate(s string) (rate float64, ok bool) {
	if strings.Trim(s, "0123456789.") != "" {
		return 0, false
	}
	rate, err := strconv.ParseFloat(s, 64)
	return rate, err == nil || rate > MaxRate // a number beyond the range of float64 is parsed as infinity
}

// IsNamed reports whether there is a limit.
func (l Limit) IsNamed() bool { return l.named }

// Rate returns the limit in requests per second, 0 without a limit.
func (l Limit) Rate() float64 { return l.rate }

// Unreadable returns the beginning of the quoted value if the upstream stated one that is no rate, and "" otherwise.
func (l Limit) Unreadable() string { return l.unreadable }
