package release

import (
	"context"
	"time"

	"go.uber.org/zap"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/gateway/upstream"
	"hickorypath/internal/state/store"
)

// FinderOptions configures a Finder.
type FinderOptions struct {
	Tracker      *Tracker
	Table        *upstream.Table
	Store        *store.Client
	EntryPrefix  string // of the store keys of upstream entries
	DecodeEntry  func(key string, value []byte) (upstream.Entry, error)
	StoreFailing func() bool
	// AskHosts returns what some other hosts have seen lately, of those that know it completely. ok is false if none has answered.
	AskHosts func(ctx context.Context) (answers []Versions, ok bool)
	IsAlone  func() bool                            // there are no other hosts
	OnOrigin func(stream uint64, o upstream.Origin) // called for each origin that ReadOrigins reads
	Log      *zap.Logger
}

// Finder finds out which version a service has run lately if it was a single one. What this host has seen is not enough: it may
// have been out of touch for a while and not know.
type Finder struct {
	opts        FinderOptions
	reads       batch // of the versions
	originReads batch
}

const (
	// storeWait is how long the store is waited for before other hosts are asked.
	storeWait = 250 * time.Millisecond
	// hostsWait is how long other hosts are waited for.
	hostsWait = 150 * time.Millisecond
)

// NewFinder returns a Finder.
func NewFinder(o FinderOptions) *Finder {
	f := &Finder{opts: o}
	f.reads.run, f.originReads.run = f.readStore, f.readOrigins
	return f
}

// OnlyVersion returns the version that a service has run within Retention. ok is false if it was more than one, or if neither the
// store nor another host can tell.
func (f *Finder) OnlyVersion(ctx context.Context, service string) (version string, ok bool) {
	f.opts.Tracker.See(TableVersions(f.opts.Table))
	if v, _ := f.opts.Tracker.Versions(); len(v[service]) > 1 {
		return "", false
	}
	if !f.opts.StoreFailing() && f.reads.join(ctx, storeWait) {
		v, complete := f.opts.Tracker.Versions()
		return only(v, complete, service)
	}
	v, complete := f.opts.Tracker.Versions()
	if f.opts.IsAlone() {
		return only(v, complete, service)
	}
	ctx, cancel := context.WithTimeout(ctx, hostsWait)
	defer cancel()
	answers, answered := f.opts.AskHosts(ctx)
	for _, a := range answers {
		v.merge(a)
	}
	return only(v, answered, service)
}

func only(v Versions, complete bool, service string) (version string, ok bool) {
	if !complete || len(v[service]) != 1 {
		return "", false
	}
	return v[service][0], true
}

// readStore reads the record and the entries of the instances that are there now.
func (f *Finder) readStore() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	e, err := f.opts.Store.Get(ctx, RecordKey)
	if err == nil {
		err = f.opts.Tracker.SeeValue(e.Value())
	} else if kind.Of(err) == kind.Missing {
		err = nil // no leader has written it yet
	}
	var list []store.Entry
	if err == nil {
		list, _, err = f.opts.Store.List(ctx, f.opts.EntryPrefix)
	}
	if err != nil {
		f.opts.Log.Warn("versions not read from the store; other hosts are asked", zap.Error(err))
		return false
	}
	v := Versions{}
	for _, e := range list {
		if entry, err := f.opts.DecodeEntry(e.Key(), e.Value()); err == nil { // an invalid entry names no instance
			v.add(entry.Service, entry.Version)
		}
	}
	f.opts.Tracker.See(v)
	return true
}

// TableVersions returns the versions of the instances that a table holds.
func TableVersions(t *upstream.Table) Versions {
	v := Versions{}
	for _, i := range t.All() {
		e := i.Entry()
		v.add(e.Service, e.Version)
	}
	return v
}
