package peer

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/samber/lo"
	"go.uber.org/zap"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/gateway/release"
	"hickorypath/internal/gateway/upstream"
)

const (
	// originTTL is how long the origin of a stream is remembered after it was last told. Streams are shorter.
	originTTL = 2 * time.Minute
	// originCopies and originAsked are the numbers of hosts of a large fleet that are told an origin, and that are asked for it.
	// More are asked, since the hosts disagree a little about the members of the fleet.
	originCopies = 3
	originAsked  = 5
	// askTimeout bounds the wait for an origin, and askAgain is when the hosts that have not answered are asked again.
	askTimeout = 150 * time.Millisecond
	askAgain   = 50 * time.Millisecond
	// maxOriginsPerMessage bounds the entries of each list of a message that is handled.
	maxOriginsPerMessage = 256
)

// Origins remembers the origins of streams by the identifiers of the requests that began them. It is safe for concurrent use.
type Origins struct {
	mu    sync.Mutex
	known map[uint64]knownOrigin
	asks  map[uint64]map[*ask]struct{} // by stream
}

type knownOrigin struct {
	origin   upstream.Origin
	at       time.Time
	isStored bool // found in the store, where it need not be written again
	isOwn    bool // of a stream that began at this host
}

// ask is a question to other hosts for the origin of a stream.
type ask struct {
	waiting map[string]struct{} // addresses of the hosts that have not answered
	done    chan struct{}       // closed when no answer is waited for
}

// NewOrigins returns empty Origins.
func NewOrigins() *Origins {
	return &Origins{known: map[uint64]knownOrigin{}, asks: map[uint64]map[*ask]struct{}{}}
}

// Put records the origin of a stream.
func (o *Origins) Put(now time.Time, stream uint64, origin upstream.Origin) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.known[stream] = knownOrigin{origin: origin, at: now}
}

// putOwn records the origin of a stream that began at this host.
func (o *Origins) putOwn(now time.Time, stream uint64, origin upstream.Origin) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.known[stream] = knownOrigin{origin: origin, at: now, isOwn: true}
}

// ownSince returns the origins of the streams that began at this host since a time.
func (o *Origins) ownSince(at time.Time) []originRecord {
	o.mu.Lock()
	defer o.mu.Unlock()
	var list []originRecord
	for id, k := range o.known {
		if k.isOwn && !k.at.Before(at) {
			list = append(list, originRecord{Stream: id, Origin: k.origin})
		}
	}
	return list
}

// Get returns the origin of a stream; ok is false if it is not known.
func (o *Origins) Get(stream uint64) (origin upstream.Origin, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	k, ok := o.known[stream]
	return k.origin, ok
}

// Since returns the streams whose origins were told since a time, without those that were found in the store.
func (o *Origins) Since(at time.Time) []release.Stream {
	o.mu.Lock()
	defer o.mu.Unlock()
	var list []release.Stream
	for id, k := range o.known {
		if !k.isStored && !k.at.Before(at) {
			list = append(list, release.Stream{ID: id, Origin: k.origin, BegunAt: k.at})
		}
	}
	return list
}

// Sweep forgets the origins that were told longer than originTTL ago.
func (o *Origins) Sweep(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	maps.DeleteFunc(o.known, func(_ uint64, k knownOrigin) bool { return now.Sub(k.at) > originTTL })
}

// originMessage is a datagram about origins. It is encoded as an array, which distinguishes it from a Message.
type originMessage struct {
	_       struct{} `cbor:",toarray"`
	Address string   // of the sender, for answers
	Known   []originRecord
	Asked   []uint64 // streams whose origin the sender asks for
	Missing []uint64 // streams whose origin the sender was asked for and does not know
}

type originRecord struct {
	_      struct{} `cbor:",toarray"`
	Stream uint64
	Origin upstream.Origin
}

// cborMajorTypeArray is the major type of an array, in the upper three bits of its first byte.
const cborMajorTypeArray = 4

func isOriginMessage(data []byte) bool { return len(data) > 0 && data[0]>>5 == cborMajorTypeArray }

func decodeOrigins(data []byte) (originMessage, error) {
	var m originMessage
	if err := cbor.Unmarshal(data, &m); err != nil {
		return originMessage{}, kind.Wrap(err, kind.Peer, "datagram about origins cannot be decoded")
	}
	if m.Address == "" || max(len(m.Known), len(m.Asked), len(m.Missing)) > maxOriginsPerMessage {
		return originMessage{}, kind.New(kind.Peer, "datagram about origins has no address or is too long")
	}
	return m, nil
}

// streamID returns the identifier of the stream that a request began.
func streamID(request string) uint64 { return xxhash.Sum64String(request) }

// originHolders returns the addresses of the other hosts that are told the origin of a stream: all of a small fleet, and the
// copies with the highest ranks of a larger one.
func (t *Table) originHolders(stream uint64, copies int) []string {
	t.mu.Lock()
	all := slices.Collect(maps.Keys(t.addresses))
	t.mu.Unlock()
	if len(all) <= smallFleet {
		return all
	}
	type ranked struct {
		address string
		rank    uint64
	}
	best := make([]ranked, 0, copies+1) // highest rank first
	var d xxhash.Digest
	for _, address := range all {
		d.ResetWithSeed(stream)
		_, _ = d.WriteString(address) // never fails
		r := ranked{address, d.Sum64()}
		at, _ := slices.BinarySearchFunc(best, r, func(x, y ranked) int { return cmp.Compare(y.rank, x.rank) })
		if best = slices.Insert(best, at, r); len(best) > copies {
			best = best[:copies]
		}
	}
	return lo.Map(best, func(r ranked, _ int) string { return r.address })
}

// TellOrigin records the origin of the stream that a request began, and tells it to the hosts at which its caller may take it up, and
// to the leader if that keeps the origins of all streams.
func (t *Transport) TellOrigin(request string, origin upstream.Origin) {
	id := streamID(request)
	t.opts.Origins.putOwn(t.opts.Now(), id, origin)
	to := t.opts.Table.originHolders(id, originCopies)
	if keeper := t.originKeeper(); keeper != "" && !slices.Contains(to, keeper) {
		to = append(to, keeper)
	}
	t.writeOrigins(originMessage{Known: []originRecord{{Stream: id, Origin: origin}}}, to)
}

// originKeeper returns the address of the leader if it has to know the origins of all streams, and "" otherwise: it keeps them in the
// store while services run several versions. With one version they need not be known.
func (t *Transport) originKeeper() string {
	leader := t.opts.Table.Leader().Address
	if leader == t.opts.Address || !t.opts.IsMixed() {
		return ""
	}
	return leader
}

// tellKeeper tells the origins of this host's recent streams to a leader that has begun to keep them, since it has just become the
// leader or since services have begun to run several versions.
func (t *Transport) tellKeeper() {
	before := t.keeper
	t.keeper = t.originKeeper()
	if t.keeper == before || t.keeper == "" {
		return
	}
	recent := t.opts.Origins.ownSince(t.opts.Now().Add(-release.JournalTime))
	for list := range slices.Chunk(recent, maxOriginsPerMessage) {
		t.writeOrigins(originMessage{Known: list}, []string{t.keeper})
	}
}

// PutStored records the origin of a stream that was found in the store.
func (o *Origins) PutStored(now time.Time, stream uint64, origin upstream.Origin) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, ok := o.known[stream]; !ok {
		o.known[stream] = knownOrigin{origin: origin, at: now, isStored: true}
	}
}

// GetByRequest returns the origin of the stream that a request began; ok is false if it is not known.
func (o *Origins) GetByRequest(request string) (origin upstream.Origin, ok bool) {
	return o.Get(streamID(request))
}

// FindOrigin returns the origin of the stream that a request began. If this host does not know it, it asks others. ok is false if
// none of them knows it, or none of those that do has answered in time.
func (t *Transport) FindOrigin(ctx context.Context, request string) (origin upstream.Origin, ok bool) {
	o, id := t.opts.Origins, streamID(request)
	if origin, ok = o.Get(id); ok {
		return origin, true
	}
	q := o.startAsk(id, t.opts.Table.originHolders(id, originAsked))
	defer o.endAsk(id, q)
	delete(q.waiting, t.opts.Address)
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	again := time.NewTicker(askAgain)
	defer again.Stop()
	for waiting := o.waiting(q); len(waiting) > 0; waiting = o.waiting(q) {
		t.writeOrigins(originMessage{Asked: []uint64{id}}, waiting)
		select {
		case <-ctx.Done():
			return o.Get(id)
		case <-q.done:
		case <-again.C:
		}
	}
	return o.Get(id)
}

// startAsk returns a question to hosts for the origin of a stream.
func (o *Origins) startAsk(stream uint64, hosts []string) *ask {
	o.mu.Lock()
	defer o.mu.Unlock()
	q := &ask{waiting: lo.Keyify(hosts), done: make(chan struct{})}
	if o.asks[stream] == nil {
		o.asks[stream] = map[*ask]struct{}{}
	}
	o.asks[stream][q] = struct{}{}
	return q
}

func (o *Origins) endAsk(stream uint64, q *ask) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if delete(o.asks[stream], q); len(o.asks[stream]) == 0 {
		delete(o.asks, stream)
	}
}

// waiting returns the hosts whose answers a question waits for.
func (o *Origins) waiting(q *ask) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Collect(maps.Keys(q.waiting))
}

// recordAnswer records the answer of a host, which ends the questions for the stream if the host knows its origin or is the last
// one to answer.
func (o *Origins) recordAnswer(stream uint64, address string, isKnown bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for q := range o.asks[stream] {
		if len(q.waiting) == 0 {
			continue
		}
		if delete(q.waiting, address); isKnown {
			clear(q.waiting)
		}
		if len(q.waiting) == 0 {
			close(q.done)
		}
	}
}

// handleOrigins records what another host tells and answers what it asks.
func (t *Transport) handleOrigins(data []byte) {
	m, err := decodeOrigins(data)
	if err != nil {
		t.opts.Log.Warn("invalid datagram ignored", zap.Error(err))
		return
	}
	now, o := t.opts.Now(), t.opts.Origins
	for _, r := range m.Known {
		o.Put(now, r.Stream, r.Origin)
		o.recordAnswer(r.Stream, m.Address, true)
	}
	for _, stream := range m.Missing {
		o.recordAnswer(stream, m.Address, false)
	}
	if len(m.Asked) == 0 {
		return
	}
	var answer originMessage
	for _, stream := range m.Asked {
		if origin, ok := o.Get(stream); ok {
			answer.Known = append(answer.Known, originRecord{Stream: stream, Origin: origin})
		} else {
			answer.Missing = append(answer.Missing, stream)
		}
	}
	t.writeOrigins(answer, []string{m.Address})
}

func (t *Transport) writeOrigins(m originMessage, targets []string) {
	m.Address = t.opts.Address
	data, err := cbor.Marshal(m)
	if err != nil {
		t.opts.Log.Error("datagram about origins cannot be encoded", zap.Error(err))
		return
	}
	t.writeData(data, targets)
}
