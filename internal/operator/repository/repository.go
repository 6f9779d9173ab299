// Package repository stores configuration documents and customers' API keys in the platform's key-value service.
//
// A document is split into content-addressed chunks. A manifest, which is a chunk itself, lists the hashes of these
// chunks. One root value holds the hash of the manifest of each recent revision and is the only value that a
// change of the document updates in place: a compare-and-swap of the root makes a document the newest revision. API keys
// are stored in shards. Each shard is updated by its own compare-and-swap, since operators who change different keys do
// not conflict.
package repository

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"strings"
	"sync"
	"time"

	"hickorypath/internal/core/kind"
)

// KV holds the functions of the key-value service that a Repository uses. Their errors are of kind Missing, Conflict,
// Store (the call had no effect) or OutcomeUnknown (a write may have taken effect).
type KV struct {
	Get  func(ctx context.Context, key string) (Entry, error)
	Put  func(ctx context.Context, key string, value []byte) error
	Swap func(ctx context.Context, key string, value []byte, revision uint64) error // revision 0: the key must be absent
	List func(ctx context.Context, prefix string) ([]Entry, error)
	// Delete removes the key if it was last written at revision; otherwise its error is of kind Conflict.
	Delete func(ctx context.Context, key string, revision uint64) error
}

// Entry is a key-value pair of the store. Revision is the store's revision at which the value was last written.
type Entry struct {
	Key      string
	Value    []byte
	Revision uint64
}

// Options holds the dependencies of a Repository.
type Options struct {
	KV   KV
	Now  func() time.Time
	Rand func([]byte) // fills its argument with random bytes for a nonce; nil selects crypto/rand
}

// Repository reads and changes the documents and keys of one environment. It is safe for concurrent use.
type Repository struct {
	store  KV
	now    func() time.Time
	random func([]byte)

	mu     sync.Mutex
	chunks map[Hash][]byte // cache: the chunks of the document that was read or written last
}

// New returns a Repository.
func New(o Options) *Repository {
	repo := &Repository{store: o.KV, now: o.Now, random: o.Rand}
	if repo.random == nil {
		repo.random = func(b []byte) { _, _ = rand.Read(b) }
	}
	return repo
}

// nonceBytes is the size of the random part of a change id.
const nonceBytes = 8

func (repo *Repository) nonce() string {
	b := make([]byte, nonceBytes)
	repo.random(b)
	return hex.EncodeToString(b)
}

// Keys in the store.
const (
	// RootKey is the key of the root value.
	RootKey      = "document/root"
	chunkPrefix  = "document/chunk/"
	pagePrefix   = "document/history/"
	collectedKey = "document/swept"
	// ShardPrefix is the prefix of the shards of API keys.
	ShardPrefix = "key/shard/"
)

// isKind reports whether err is an error of kind k.
func isKind(err error, k kind.Kind) bool { return err != nil && kind.Of(err) == k }

// oneLine replaces runs of white space by single spaces, so that an operator's name cannot break a line of a report.
func oneLine(s string) string { return strings.Join(strings.Fields(s), " ") }
