package repository

import (
	"bytes"
	"context"
	"fmt"

	"golang.org/x/sync/errgroup"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/operator/document"
)

// maxConcurrentReads bounds the concurrent reads of chunks from the store.
const maxConcurrentReads = 8

// readRoot returns the root value, which is empty when the store has none.
func (repo *Repository) readRoot(ctx context.Context) (root, error) {
	e, err := repo.store.Get(ctx, RootKey)
	if isKind(err, kind.Missing) {
		return root{}, nil
	}
	if err != nil {
		return root{}, err
	}
	list, err := decodeRevisions(e.Value)
	return root{recent: list, valueRevision: e.Revision}, err
}

// Current returns the newest revision. The number of the revision is 0 when no document has been accepted yet.
func (repo *Repository) Current(ctx context.Context) (Revision, error) {
	r, err := repo.readRoot(ctx)
	return r.current(), err
}

// Load returns the newest revision with its source text. The error is of kind Missing when there is none.
func (repo *Repository) Load(ctx context.Context) ([]byte, Revision, error) {
	rev, err := repo.Current(ctx)
	if err != nil {
		return nil, Revision{}, err
	}
	if rev.number == 0 {
		return nil, Revision{}, kind.New(kind.Missing, "no document was accepted yet")
	}
	source, err := repo.Source(ctx, rev)
	return source, rev, err
}

// Source returns the source text of a revision. The error is of kind Missing when the text is no longer kept.
func (repo *Repository) Source(ctx context.Context, rev Revision) ([]byte, error) {
	hashes, err := repo.readManifest(ctx, rev)
	if err != nil {
		return nil, err
	}
	chunks := make([]Chunk, len(hashes))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrentReads)
	for i, h := range hashes {
		group.Go(func() error {
			data, err := repo.readChunk(ctx, h)
			chunks[i] = Chunk{hash: h, data: data}
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	repo.cacheChunks(chunks)
	source := join(chunks, rev.size)
	if document.DigestOf(source) != rev.digest {
		return nil, kind.New(kind.Internal, "the chunks of %s do not have its digest", rev)
	}
	return source, nil
}

func join(chunks []Chunk, size int) []byte {
	var b bytes.Buffer
	b.Grow(size)
	for _, c := range chunks {
		b.Write(c.data)
	}
	return b.Bytes()
}

func (repo *Repository) readManifest(ctx context.Context, rev Revision) ([]Hash, error) {
	if rev.number == 0 {
		return nil, nil
	}
	data, err := repo.readChunk(ctx, rev.manifest)
	if isKind(err, kind.Missing) {
		return nil, kind.New(kind.Missing, "the text of revision %d is no longer kept", rev.number)
	}
	if err != nil {
		return nil, err
	}
	return decodeManifest(data)
}

// readChunk returns the data of a chunk from the cache or from the store. The hash of data from the store is verified.
func (repo *Repository) readChunk(ctx context.Context, h Hash) ([]byte, error) {
	repo.mu.Lock()
	data, ok := repo.chunks[h]
	repo.mu.Unlock()
	if ok {
		return data, nil
	}
	e, err := repo.store.Get(ctx, chunkKey(h))
	if err != nil {
		return nil, err
	}
	if newChunk(e.Value).hash != h {
		return nil, kind.New(kind.Internal, "the chunk %s holds other bytes", h)
	}
	return e.Value, nil
}

// cacheChunks replaces the cached chunks by those of one document.
func (repo *Repository) cacheChunks(chunks []Chunk) {
	kept := make(map[Hash][]byte, len(chunks))
	for _, c := range chunks {
		kept[c.hash] = c.data
	}
	repo.mu.Lock()
	repo.chunks = kept
	repo.mu.Unlock()
}

func chunkKey(h Hash) string { return chunkPrefix + h.String() }

func pageKey(page uint64) string { return fmt.Sprintf("%s%08d", pagePrefix, page) }
