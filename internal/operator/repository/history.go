package repository

import (
	"context"
	"slices"

	"hickorypath/internal/core/kind"
)

const (
	pageSize  = 64           // revisions in a page of the history
	maxRecent = 2 * pageSize // revisions in the root value
)

// archive writes the oldest page of a full list to a separate value and returns the other revisions. The page contains
// only accepted revisions, so concurrent writers write the same bytes.
func (repo *Repository) archive(ctx context.Context, recent []Revision) ([]Revision, error) {
	if len(recent) < maxRecent {
		return slices.Clone(recent), nil
	}
	page := recent[0].number / pageSize
	n := 0
	for n < len(recent) && recent[n].number/pageSize == page {
		n++
	}
	if err := repo.store.Put(ctx, pageKey(page), encodeRevisions(recent[:n])); err != nil {
		return nil, err
	}
	return slices.Clone(recent[n:]), nil
}

// History returns up to limit revisions with numbers below before, newest first. If before is 0, History starts at
// the newest revision.
func (repo *Repository) History(ctx context.Context, before uint64, limit int) ([]Revision, error) {
	r, err := repo.readRoot(ctx)
	if err != nil {
		return nil, err
	}
	var found []Revision
	list := r.recent
	for len(list) > 0 && len(found) < limit {
		for i := len(list) - 1; i >= 0 && len(found) < limit; i-- {
			if before == 0 || list[i].number < before {
				found = append(found, list[i])
			}
		}
		oldest := list[0].number
		if oldest <= 1 {
			break
		}
		if before > 0 && before < oldest {
			oldest = before
		}
		if list, err = repo.readPage(ctx, (oldest-1)/pageSize); err != nil {
			return nil, err
		}
	}
	return found, nil
}

func (repo *Repository) readPage(ctx context.Context, page uint64) ([]Revision, error) {
	e, err := repo.store.Get(ctx, pageKey(page))
	if err != nil {
		return nil, err
	}
	return decodeRevisions(e.Value)
}

// FindByDigest returns the newest revision with the given digest. The error is of kind Missing when there is none.
func (repo *Repository) FindByDigest(ctx context.Context, digest string) (Revision, error) {
	for before := uint64(0); ; {
		list, err := repo.History(ctx, before, pageSize)
		if err != nil {
			return Revision{}, err
		}
		for _, r := range list {
			if r.digest == digest {
				return r, nil
			}
		}
		if len(list) == 0 || list[len(list)-1].number == 1 {
			return Revision{}, kind.New(kind.Missing, "no revision has the digest %s", digest)
		}
		before = list[len(list)-1].number
	}
}

// States of a change.
const (
	StateApplied = "applied" // the change made a revision
	StateRefused = "refused" // another change made the revision with the number that this change would have made
	StateOpen    = "open"    // made no revision so far; the change may still take effect until another revision is accepted
)

// Outcome returns the state of a change, and the revision that the change made or that was accepted in its place.
func (repo *Repository) Outcome(ctx context.Context, change string) (string, Revision, error) {
	number, err := numberOf(change)
	if err != nil {
		return "", Revision{}, err
	}
	list, err := repo.History(ctx, number+1, 1)
	if err != nil {
		return "", Revision{}, err
	}
	if len(list) == 0 || list[0].number < number {
		return StateOpen, Revision{}, nil
	}
	if list[0].change == change {
		return StateApplied, list[0], nil
	}
	return StateRefused, list[0], nil
}
