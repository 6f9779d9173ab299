package repository

import (
	"context"

	"github.com/fxamacker/cbor/v2"

	"hickorypath/internal/core/kind"
)

// DefaultRetainedRevisions is the number of newest revisions whose source texts are kept.
const DefaultRetainedRevisions = 1000

// maxRevisionsPerRun bounds the revisions that one call of CollectGarbage handles, and so the calls to the store.
const maxRevisionsPerRun = 32

// CollectGarbage deletes the source texts of all revisions but the newest keep (at least 2); the history keeps their
// entries. It returns the number of deleted chunks. The host that holds the lease calls CollectGarbage; a concurrent
// second caller does no harm.
//
// A chunk is deleted with the last revision that contains the chunk. When a later revision contains the chunk again, the
// chunk was written again, so its revision in the store is later than the acceptance of the document without the
// chunk, and the chunk is kept. The conditional delete keeps a chunk that is written at the same time.
func (repo *Repository) CollectGarbage(ctx context.Context, keep int) (removed int, err error) {
	current, err := repo.Current(ctx)
	if err != nil {
		return 0, err
	}
	collected, err := repo.readCollected(ctx)
	if err != nil {
		return 0, err
	}
	last := min(current.number-min(current.number, uint64(max(keep, 2))), collected+maxRevisionsPerRun)
	for n := collected + 1; n <= last; n++ {
		count, err := repo.collectRevision(ctx, n)
		removed += count
		if err != nil {
			return removed, err
		}
		if err := repo.store.Put(ctx, collectedKey, encode(n)); err != nil {
			return removed, err
		}
	}
	return removed, nil
}

// readCollected returns the number of the newest revision whose source text was collected, 0 for none.
func (repo *Repository) readCollected(ctx context.Context) (uint64, error) {
	e, err := repo.store.Get(ctx, collectedKey)
	if isKind(err, kind.Missing) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	var n uint64
	if err := cbor.Unmarshal(e.Value, &n); err != nil {
		return 0, kind.Wrap(err, kind.Peer, "the mark of the sweep cannot be read")
	}
	return n, nil
}

// collectRevision deletes the chunks that revision n contains and revision n+1 does not.
func (repo *Repository) collectRevision(ctx context.Context, n uint64) (removed int, err error) {
	list, err := repo.History(ctx, n+3, 3)
	if err != nil {
		return 0, err
	}
	if len(list) < 3 || list[2].number != n {
		return 0, kind.New(kind.Internal, "the history has no revision %d", n)
	}
	accepted, next, old := list[0].prevStoreRevision, list[1], list[2]
	candidates, err := repo.unreferencedChunks(ctx, old, next)
	if err != nil {
		return 0, err
	}
	for _, h := range candidates {
		gone, err := repo.removeChunk(ctx, h, accepted)
		if err != nil {
			return removed, err
		}
		if gone {
			removed++
		}
	}
	return removed, nil
}

// unreferencedChunks returns the chunks of old that next does not contain, and last the manifest of old. It returns none
// if the manifest no longer exists, since the revision was collected before.
func (repo *Repository) unreferencedChunks(ctx context.Context, old, next Revision) ([]Hash, error) {
	before, err := repo.readManifest(ctx, old)
	if isKind(err, kind.Missing) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	after, err := repo.readManifest(ctx, next)
	if err != nil {
		return nil, err
	}
	kept := make(map[Hash]bool, len(after))
	for _, h := range after {
		kept[h] = true
	}
	var list []Hash
	for _, h := range before {
		if !kept[h] {
			list = append(list, h)
		}
	}
	return append(list, old.manifest), nil
}

// removeChunk deletes a chunk unless the chunk was written after the store's revision accepted. It reports whether
// the chunk was deleted.
func (repo *Repository) removeChunk(ctx context.Context, h Hash, accepted uint64) (bool, error) {
	e, err := repo.store.Get(ctx, chunkKey(h))
	if isKind(err, kind.Missing) || (err == nil && e.Revision > accepted) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	err = repo.store.Delete(ctx, chunkKey(h), e.Revision)
	if isKind(err, kind.Conflict) || isKind(err, kind.Missing) {
		return false, nil
	}
	return err == nil, err
}
