package node

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"hickorypath/internal/host/replication"
)

// customerLines returns lines of a document that define customers, size bytes in all.
func customerLines(seed uint64, size int) []byte {
	r := rand.New(rand.NewPCG(seed, 1))
	var b []byte
	for len(b) < size {
		b = fmt.Appendf(b, `{"name": "customer-%08x", "class": "standard", "limits": {"requests": "%d/s", "tokens": "%d/s"}},`+"\n", r.Uint32(), r.IntN(100), 1000*r.IntN(100))
	}
	return b[:size]
}

// TestDocumentIsLateOverSlowLinks guards against chunks of a document that are sent again while they are on their way, until the
// links carry nothing else.
func TestDocumentIsLateOverSlowLinks(t *testing.T) {
	t.Parallel()
	const bound = 2 * time.Second
	cases := []struct {
		name         string
		hosts, zones int
		mbps         float64 // of each link
		before, size int     // bytes of the document that all hosts have, and of what is added to it
	}{
		{"7 hosts, 300 KB", 7, 3, 10, 0, 300_000},
		{"30 hosts, 300 KB", 30, 3, 10, 0, 300_000},
		{"30 hosts, 280 KB more", 30, 3, 10, 2_900_000, 280_000},
		{"30 hosts, 2.9 MB", 30, 3, 100, 0, 2_900_000},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newFleet(3, c.hosts, c.zones)
			s.run(5 * time.Second)
			doc := customerLines(1, c.before)
			publish := func(limit time.Duration) time.Duration {
				s.version++
				s.liveHosts()[0].core.replicator.Put(replication.TopicDocument, "", s.version, doc, time.Time{})
				took, ok := s.runUntil(limit, s.haveVersion(replication.TopicDocument, "", s.version, everyHost))
				if !ok {
					t.Errorf("not in force on all hosts within %s", limit)
				}
				return took
			}
			publish(time.Minute)
			s.run(5 * time.Second)
			s.linkRate = c.mbps * 1e6 / 8
			doc = append(doc, customerLines(2, c.size)...)
			t.Logf("in force on all hosts after %s", publish(bound))
		})
	}
}
