package usage

import (
	"cmp"
	"context"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"hickorypath/internal/state/store"
)

const (
	// hashDigits is the number of hexadecimal digits of the stream hash in the keys of segments.
	hashDigits = 4
	// hashBase is the number of values of one hexadecimal digit.
	hashBase = 16
	// streamsPerListing is the average number of streams whose segments one listing may return.
	streamsPerListing = 16
)

// storedSegment is a segment with the revision of its key.
type storedSegment struct {
	segment
	revision uint64
}

// withoutRows returns the segment without its rows.
func (seg storedSegment) withoutRows() storedSegment {
	seg.Rows = nil
	return seg
}

// streamHash returns the hash that the segment keys of a stream contain, so that segments can be listed in
// groups of streams.
func streamHash(stream string) string {
	return fmt.Sprintf("%0*x", hashDigits, uint16(xxhash.Sum64String(stream)))
}

// listingPrefixes returns the key prefixes that together cover all segments. Their number grows with the
// number of streams, so that no listing returns the segments of many hosts.
func listingPrefixes(streams int) []string {
	digits, count := 0, 1
	for n := streams; n > streamsPerListing && digits < hashDigits; n /= hashBase {
		digits++
		count *= hashBase
	}
	if digits == 0 {
		return []string{segmentPrefix}
	}
	out := make([]string, 0, count)
	for i := range count {
		out = append(out, fmt.Sprintf("%s%0*x", segmentPrefix, digits, i))
	}
	return out
}

// eachSegment calls fn with every segment. The segments of one host come together and ordered by number. Only
// the segments of a few hosts are in memory at a time: the greater of streams, the number of streams that the
// caller knows of, and the number of hosts determines into how many listings the segments are divided.
func (r *Reporter) eachSegment(ctx context.Context, streams int, fn func(storedSegment) error) error {
	for _, prefix := range listingPrefixes(max(streams, r.opts.HostCount())) {
		if err := r.eachSegmentWithPrefix(ctx, prefix, fn); err != nil {
			return err
		}
	}
	return nil
}

// eachSegmentWithPrefix calls fn with the segments whose keys have a prefix. It decodes one segment at a time.
func (r *Reporter) eachSegmentWithPrefix(ctx context.Context, prefix string, fn func(storedSegment) error) error {
	list, _, err := r.client.List(ctx, prefix)
	if err != nil {
		return err
	}
	slices.SortFunc(list, func(a, b store.Entry) int { return cmp.Compare(a.Key(), b.Key()) })
	for _, e := range list {
		seg, err := decode[segment](e.Value())
		if err != nil {
			return err
		}
		if err := fn(storedSegment{seg, e.Revision()}); err != nil {
			return err
		}
	}
	return nil
}
