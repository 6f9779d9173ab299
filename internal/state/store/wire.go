package store

import (
	"time"

	"hickorypath/internal/core/kind"
)

// Request is the body of a call of the HTTP interface, `POST /v1/OP`, where OP is the operation.
type Request struct {
	Key    string        `json:"key,omitempty"`
	Value  []byte        `json:"value,omitempty"`
	Mode   Mode          `json:"mode,omitempty"`
	At     uint64        `json:"at,omitempty"`
	Lease  uint64        `json:"lease,omitempty"`
	Prefix string        `json:"prefix,omitempty"`
	After  uint64        `json:"after,omitempty"`
	Wait   time.Duration `json:"wait,omitempty"`
	TTL    time.Duration `json:"ttl,omitempty"`
}

// Reply is the response to a Request. Kind is empty on success.
type Reply struct {
	Kind     kind.Kind `json:"kind,omitempty"`
	Text     string    `json:"text,omitempty"`
	Revision uint64    `json:"revision,omitempty"`
	Lease    uint64    `json:"lease,omitempty"`
	Items    []Item    `json:"items,omitempty"`
	Era      *uint64   `json:"era,omitempty"` // rises by one each time that the service comes back from an older copy
}

// Item is an entry or an event of a Reply.
type Item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// Condition returns the condition of the request.
func (r Request) Condition() Condition { return Condition{mode: r.Mode, revision: r.At} }

// Write returns the conditional write that a request of the operation put asks for.
func (r Request) Write() Write {
	return Write{Key: r.Key, Value: r.Value, Cond: r.Condition(), Lease: r.Lease}
}

func newItem(e Entry) Item {
	return Item{Key: e.key, Value: e.value, Revision: e.revision}
}

func (i Item) entry() Entry { return NewEntry(i.Key, i.Value, i.Revision) }
