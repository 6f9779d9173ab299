package peer

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"hickorypath/internal/gateway/config"
	"hickorypath/internal/gateway/upstream"
)

// Paths from which other hosts fetch the configuration and the upstream entries.
const (
	configPath  = "/document"
	entriesPath = "/entries"
)

// encodingZstd is the content coding of a compressed configuration. Hosts of an earlier version neither send nor accept it.
const encodingZstd = "zstd"

// transfersActive is the number of configurations that this host is sending to other hosts.
var transfersActive = metrics.GetOrCreateGauge("hickorypath_peer_transfers_active", nil)

const (
	// partSize is the number of bytes that another host has to read within stallTimeout.
	partSize = 16 << 10
	// SendBuffer is the size of the kernel's send buffer of a connection to another host. In a larger one a whole transfer
	// would count as done as soon as it has begun.
	SendBuffer = 32 << 10
	// minTransfers and maxTransfers bound the number of hosts that a host serves the configuration at a time.
	minTransfers = 2
	maxTransfers = 32
	// transferMbps is the bandwidth that a transfer should have.
	transferMbps = 10
)

// newTransfers returns the semaphore of the transfers over a link of so many Mbit/s. Hosts over a slow link are served a few at a
// time and then serve others, which is sooner done than all at once.
func newTransfers(link float64) chan struct{} {
	return make(chan struct{}, min(max(int(link/transferMbps), minTransfers), maxTransfers))
}

// Handler returns the HTTP handler from which other hosts fetch the configuration and the upstream entries.
func (t *Transport) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+configPath, t.serveConfig)
	mux.HandleFunc("GET "+entriesPath, t.serveEntries)
	return mux
}

func (t *Transport) serveConfig(w http.ResponseWriter, r *http.Request) {
	data := t.opts.PackedConfig()
	if data == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	select {
	case t.transfers <- struct{}{}:
		defer func() { <-t.transfers }()
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	transfersActive.Inc()
	defer transfersActive.Dec()
	if strings.Contains(r.Header.Get("Accept-Encoding"), encodingZstd) {
		w.Header().Set("Content-Encoding", encodingZstd)
	} else {
		var err error
		if data, err = config.Unpack(data); err != nil {
			t.opts.Log.Error("configuration cannot be sent to another host", zap.Error(err))
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
	}
	writeParts(w, data)
}

// writeParts writes a response to another host for as long as that host reads it. A host that received no complete response asks
// again.
func writeParts(w http.ResponseWriter, data []byte) {
	c := http.NewResponseController(w)
	for part := range slices.Chunk(data, partSize) {
		_ = c.SetWriteDeadline(time.Now().Add(stallTimeout)) // the writer supports deadlines
		if _, err := w.Write(part); err != nil {
			return
		}
	}
}

func (t *Transport) serveEntries(w http.ResponseWriter, _ *http.Request) {
	data, err := cbor.Marshal(t.opts.Entries())
	if err != nil {
		t.opts.Log.Error("entries cannot be encoded", zap.Error(err))
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	writeParts(w, data)
}

// Entries holds the upstream entries that a host knows, with the store revision of the newest one.
type Entries struct {
	Revision     uint64           `cbor:"r"`
	List         []upstream.Entry `cbor:"l"`
	StoreFailing bool             `cbor:"q,omitempty"` // the host's calls to the store failed lately, so entries may be missing
	// Versions are the software versions that the services have run lately, by service; nil if the host may not know all of them.
	Versions map[string][]string `cbor:"v,omitempty"`
}
