package repository

import (
	"context"
	"slices"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/operator/document"
)

// Change is a document that an operator submits to become the newest revision.
type Change struct {
	BaseRevision uint64 // number of the revision that the operator read, 0 for none
	Source       []byte // validated source text
	Operator     string
	ID           string // id of an earlier attempt at the same change, empty for a new change
}

// Put makes a document the newest revision. The error is of kind Conflict when another change was accepted after the
// base revision, of kind Store when nothing was changed, and of kind OutcomeUnknown when the outcome is not known. In
// the last case the returned revision holds the id of the change, by which Outcome reports the outcome. A change to the
// document that is already the newest makes no revision.
func (repo *Repository) Put(ctx context.Context, c Change) (Revision, error) {
	c.Source = slices.Clone(c.Source) // the cached chunks outlive the caller's buffer
	r, err := repo.readRoot(ctx)
	if err != nil {
		return Revision{}, err
	}
	if rev, ok := r.find(c.ID); ok && c.ID != "" {
		return rev, nil
	}
	next := repo.newRevision(c)
	next.prevStoreRevision = r.valueRevision
	if r.current().number != c.BaseRevision {
		return next, conflictError(next, c.BaseRevision, r.current())
	}
	if r.current().digest == next.digest {
		return r.current(), nil
	}
	chunks := Split(c.Source)
	manifest := newManifest(chunks)
	next.manifest = manifest.hash
	if err := repo.writeChunks(ctx, r.current(), chunks, manifest); err != nil {
		return next, notChangedError(err)
	}
	recent, err := repo.archive(ctx, r.recent)
	if err != nil {
		return next, notChangedError(err)
	}
	err = repo.store.Swap(ctx, RootKey, encodeRevisions(append(recent, next)), r.valueRevision)
	if err == nil {
		repo.cacheChunks(append(chunks, manifest))
		return next, nil
	}
	return repo.resolve(ctx, c, next, r.valueRevision, err)
}

func (repo *Repository) newRevision(c Change) Revision {
	id := c.ID
	if n, err := numberOf(id); err != nil || n != c.BaseRevision+1 {
		id = changeID(c.BaseRevision+1, repo.nonce())
	}
	return Revision{
		number: c.BaseRevision + 1, digest: document.DigestOf(c.Source), size: len(c.Source),
		at: repo.now().UTC(), operator: oneLine(c.Operator), change: id,
	}
}

// resolve determines the outcome of a compare-and-swap of the root that failed with cause. The store's revision of the
// root before the swap is at.
func (repo *Repository) resolve(ctx context.Context, c Change, next Revision, at uint64, cause error) (Revision, error) {
	if !isKind(cause, kind.Conflict) && !isKind(cause, kind.OutcomeUnknown) {
		return next, cause
	}
	r, err := repo.readRoot(ctx)
	if err != nil {
		return next, unknownOutcomeError(next, cause)
	}
	if rev, ok := r.find(next.change); ok {
		return rev, nil
	}
	if r.valueRevision == at {
		return next, unknownOutcomeError(next, cause)
	}
	return next, conflictError(next, c.BaseRevision, r.current())
}

// writeChunks writes the chunks that the base revision does not contain already, the manifest last.
func (repo *Repository) writeChunks(ctx context.Context, base Revision, chunks []Chunk, manifest Chunk) error {
	held, err := repo.readManifest(ctx, base)
	if err != nil {
		return err
	}
	present := make(map[Hash]bool, len(held))
	for _, h := range held {
		present[h] = true
	}
	for _, c := range append(chunks[:len(chunks):len(chunks)], manifest) {
		if present[c.hash] {
			continue
		}
		if err := repo.store.Put(ctx, chunkKey(c.hash), c.data); err != nil {
			return err
		}
		present[c.hash] = true
	}
	return nil
}

// notChangedError returns the error of a change that failed before the root was written and so has no effect.
func notChangedError(err error) error {
	return kind.Wrap(err, kind.Store, "the change was not made")
}

func unknownOutcomeError(next Revision, cause error) error {
	return kind.Wrap(cause, kind.OutcomeUnknown, "the outcome of change %s is not known; ask for it by that id", next.change)
}

func conflictError(mine Revision, base uint64, theirs Revision) error {
	return kind.New(kind.Conflict, "%s is in force, but the change by %s (digest %.12s) was made from revision %d; read the document again and redo the change",
		theirs, mine.operator, mine.digest, base)
}
