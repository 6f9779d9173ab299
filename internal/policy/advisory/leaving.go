package advisory

import (
	"strconv"
	"strings"
)

// Leaving tells whether a response states that its upstream leaves. The zero value states nothing.
type Leaving struct {
	stated     bool
	unreadable string
}

// ParseLeaving returns what the values of a header field state: 1 that the upstream leaves, 0 and no value that it does not. One
// value of several that states it suffices. Any other value counts as if it stated it, since an upstream that leaves must get no
// requests.
func ParseLeaving(values ...string) Leaving {
	text, found := strings.Join(values, ","), Leaving{}
	if len(values) == 0 {
		return found
	}
	for part := range strings.SplitSeq(text, ",") {
		switch strings.Trim(part, " \t") {
		case "0":
		case "1":
			return Leaving{stated: true}
		default:
			found = Leaving{stated: true, unreadable: strconv.Quote(text[:min(len(text), maxUnreadableLen)])}
		}
	}
	return found
}

// IsStated reports whether the upstream leaves.
func (l Leaving) IsStated() bool { return l.stated }

// Unreadable returns the beginning of the quoted value if it is neither 0 nor 1, and "" otherwise.
func (l Leaving) Unreadable() string { return l.unreadable }
