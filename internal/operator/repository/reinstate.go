package repository

import (
	"context"
	"slices"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/operator/key"
)

// reinstatedBy is the operator's name in the history for a revision that was lost and written again.
const reinstatedBy = "(written again after a restore of the store)"

// Reinstate makes a document that is in force the newest revision again, with its number, and reports whether the store had lost
// it. A store with this revision or a later one is left as it is. The error is of kind Conflict when the root changed meanwhile.
func (repo *Repository) Reinstate(ctx context.Context, source []byte, number uint64) (lost bool, err error) {
	r, err := repo.readRoot(ctx)
	if err != nil || r.current().number >= number {
		return false, err
	}
	next := repo.newRevision(Change{BaseRevision: number - 1, Source: slices.Clone(source), Operator: reinstatedBy})
	next.prevStoreRevision = r.valueRevision
	chunks := Split(source)
	manifest := newManifest(chunks)
	next.manifest = manifest.hash
	if err := repo.writeChunks(ctx, Revision{}, chunks, manifest); err != nil {
		return true, err
	}
	recent, err := repo.archive(ctx, r.recent)
	if err != nil {
		return true, err
	}
	return true, repo.store.Swap(ctx, RootKey, encodeRevisions(append(recent, next)), r.valueRevision)
}

// ReinstateKeys writes the records that the store has lost or holds in an earlier version, and returns their number.
func (repo *Repository) ReinstateKeys(ctx context.Context, records []key.Record) (lost int, err error) {
	stored, err := repo.Keys(ctx)
	if err != nil {
		return 0, err
	}
	versions := make(map[string]uint64, len(stored))
	for _, rec := range stored {
		versions[rec.ID()] = rec.Version()
	}
	for _, rec := range records {
		if versions[rec.ID()] >= rec.Version() {
			continue
		}
		lost++
		_, err := repo.changeKey(ctx, rec.ID(), func(old key.Record, ok bool) (key.Record, error) {
			if ok && old.Version() >= rec.Version() {
				return old, nil
			}
			return rec, nil
		})
		if err != nil && !isKind(err, kind.Missing) {
			return lost, err
		}
	}
	return lost, nil
}
