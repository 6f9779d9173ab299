package burn

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"hickorypath/internal/core/kind"
)

// Snapshot is the encodable form of a Book. Snapshots of several hosts add up in a Book by Merge.
type Snapshot struct {
	Rows []SnapshotRow `cbor:"1,keyasint"`
}

// SnapshotRow holds the cells of one row that are in their windows, by window.
type SnapshotRow struct {
	Scope uint8    `cbor:"1,keyasint"`
	Name  string   `cbor:"2,keyasint"`
	Class string   `cbor:"3,keyasint,omitempty"`
	Cells [][]cell `cbor:"4,keyasint"`
}

// Snapshot returns the counts at now. All classes and pools are in it, and up to limit customers: those
// with the most missed calls of the longest window.
func (b *Aggregator) Snapshot(now time.Time, limit int) Snapshot {
	var rows, pairs []SnapshotRow
	missed := make(map[rowKey]uint32)
	for k, s := range b.rows {
		if s.isEmpty(now) {
			continue
		}
		row := SnapshotRow{Scope: uint8(k.scope), Name: k.name, Class: k.class, Cells: s.export(now)}
		if k.scope != scopePair {
			rows = append(rows, row)
			continue
		}
		total := s.sum(now, len(layout)-1)
		missed[k] = total.Calls - total.Met
		pairs = append(pairs, row)
	}
	slices.SortFunc(rows, compareRows)
	slices.SortFunc(pairs, func(x, y SnapshotRow) int {
		return cmp.Or(cmp.Compare(missed[y.key()], missed[x.key()]), compareRows(x, y))
	})
	return Snapshot{Rows: append(rows, pairs[:min(len(pairs), limit)]...)}
}

func compareRows(x, y SnapshotRow) int {
	return cmp.Or(cmp.Compare(x.Scope, y.Scope), cmp.Compare(x.Name, y.Name), cmp.Compare(x.Class, y.Class))
}

func (r SnapshotRow) key() rowKey { return rowKey{scope: scope(r.Scope), name: r.Name, class: r.Class} }

func (s *series) export(now time.Time) [][]cell {
	out := make([][]cell, len(layout))
	for i := range layout {
		out[i] = s.inside(now, i)
	}
	return out
}

// Merge adds the counts of a snapshot. The snapshots of one host replace each other, so each is merged once
// into a Book made for the report.
func (b *Aggregator) Merge(now time.Time, s Snapshot) {
	for _, row := range s.Rows {
		if row.Scope > uint8(scopePool) {
			continue
		}
		series := b.row(now, row.key())
		for i := range min(len(row.Cells), len(layout)) {
			for _, c := range row.Cells[i] {
				if c.Slot >= 0 && c.Slot <= math.MaxUint32 {
					series.put(i, c)
				}
			}
		}
	}
}

// Encode returns the snapshot as CBOR.
func (s Snapshot) Encode() []byte {
	data, err := cbor.Marshal(s)
	if err != nil {
		panic("burn: snapshot: " + err.Error()) // the form holds only strings and numbers
	}
	return data
}

// DecodeSnapshot reads a snapshot that Encode wrote. The error is of kind Peer.
func DecodeSnapshot(data []byte) (Snapshot, error) {
	var s Snapshot
	if err := cbor.Unmarshal(data, &s); err != nil {
		return Snapshot{}, kind.Wrap(err, kind.Peer, "a burn snapshot cannot be read")
	}
	return s, nil
}
