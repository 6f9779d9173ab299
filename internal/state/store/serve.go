package store

import (
	"context"

	"github.com/samber/lo"

	"hickorypath/internal/core/kind"
)

// Serve runs one call of the HTTP interface against a backend, for stand-ins of the service in tests and demos.
func Serve(ctx context.Context, b Backend, op string, r Request) Reply {
	ctx, named := CollectEra(ctx)
	out := serve(ctx, b, op, r)
	if era, known := named(); known {
		out.Era = &era
	}
	return out
}

func serve(ctx context.Context, b Backend, op string, r Request) Reply {
	switch op {
	case "get":
		e, err := b.Get(ctx, r.Key)
		return reply(Reply{Items: []Item{newItem(e)}}, err)
	case "put":
		rev, err := b.Put(ctx, r.Write())
		return reply(Reply{Revision: rev}, err)
	case "delete":
		return reply(Reply{}, b.Delete(ctx, r.Key, r.Condition()))
	case "list":
		list, rev, err := b.List(ctx, r.Prefix)
		items := lo.Map(list, func(e Entry, _ int) Item { return newItem(e) })
		return reply(Reply{Items: items, Revision: rev}, err)
	case "watch":
		return serveWatch(ctx, b, r)
	case "grant":
		id, err := b.Grant(ctx, r.TTL)
		return reply(Reply{Lease: id}, err)
	case "renew":
		return reply(Reply{}, b.Renew(ctx, r.Lease))
	case "revoke":
		return reply(Reply{}, b.Revoke(ctx, r.Lease))
	default:
		return reply(Reply{}, kind.New(kind.Invalid, "no operation %q", op))
	}
}

func serveWatch(ctx context.Context, b Backend, r Request) Reply {
	ctx, cancel := context.WithTimeout(ctx, r.Wait)
	defer cancel()
	events, rev, err := b.Watch(ctx, r.Prefix, r.After)
	items := lo.Map(events, func(e Event, _ int) Item {
		i := newItem(e.entry)
		i.Deleted = e.deleted
		return i
	})
	return reply(Reply{Items: items, Revision: rev}, err)
}

func reply(r Reply, err error) Reply {
	if err == nil {
		return r
	}
	e := kind.From(err)
	return Reply{Kind: e.Kind(), Text: e.Message()}
}
