package usage

import (
	"context"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/state/store"
)

// cursor holds the indexes of the last frozen and the last reported window. It is stored after the windows
// themselves and may therefore lag behind them.
type cursor struct {
	Frozen   int64 `cbor:"f"`
	Reported int64 `cbor:"r"`
}

func readCursor(ctx context.Context, c *store.Client) (cursor, uint64, error) {
	e, err := c.Get(ctx, cursorKey)
	if err != nil {
		return cursor{}, 0, err
	}
	cur, err := decode[cursor](e.Value())
	return cur, e.Revision(), err
}

func readWindow(ctx context.Context, c *store.Client, index int64) (window, uint64, error) {
	e, err := c.Get(ctx, windowKey(index))
	if err != nil {
		return window{}, 0, err
	}
	w, err := decode[window](e.Value())
	return w, e.Revision(), err
}

// lastWatermark returns the watermark of a stream in the newest frozen window, and false if that window has
// none for it. It searches forward from the cursor, since the cursor may lag behind the windows.
func lastWatermark(ctx context.Context, c *store.Client, name string) (watermark, bool, error) {
	cur, _, err := readCursor(ctx, c)
	if kind.Of(err) == kind.Missing {
		return watermark{}, false, nil
	}
	if err != nil {
		return watermark{}, false, err
	}
	var m watermark
	var ok bool
	for index := cur.Frozen; ; index++ {
		w, _, err := readWindow(ctx, c, index)
		if kind.Of(err) == kind.Missing {
			return m, ok, nil
		}
		if err != nil {
			return watermark{}, false, err
		}
		m, ok = w.Watermarks[name]
	}
}
