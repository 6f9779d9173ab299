package peer

import (
	"net/http"
	"strings"

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
	_, _ = w.Write(data) // a host that received no complete response asks again
}

func (t *Transport) serveEntries(w http.ResponseWriter, _ *http.Request) {
	data, err := cbor.Marshal(t.opts.Entries())
	if err != nil {
		t.opts.Log.Error("entries cannot be encoded", zap.Error(err))
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(data) // a host that received no complete response asks again
}

// Entries holds the upstream entries that a host knows, with the store revision of the newest one.
type Entries struct {
	Revision uint64           `cbor:"r"`
	List     []upstream.Entry `cbor:"l"`
}
