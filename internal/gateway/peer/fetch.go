package peer

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/fxamacker/cbor/v2"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/core/progress"
	"hickorypath/internal/gateway/config"
)

const (
	// stallTimeout is how long another host may send nothing.
	stallTimeout = 700 * time.Millisecond
	// maxFetchBytes bounds the body of a response of another host.
	maxFetchBytes = config.MaxBytes
)

// FetchEntries fetches the upstream entries that another host knows.
func (t *Transport) FetchEntries(ctx context.Context, address string) (Entries, error) {
	data, _, err := t.fetch(ctx, address, entriesPath)
	if err != nil {
		return Entries{}, err
	}
	var e Entries
	if err := cbor.Unmarshal(data, &e); err != nil {
		return Entries{}, kind.Wrap(err, kind.Peer, "upstream entries from %s cannot be decoded", address)
	}
	return e, nil
}

// FetchConfig fetches the configuration of another host in compressed form. The error has kind Overload if that host is serving
// as many others as it can.
func (t *Transport) FetchConfig(ctx context.Context, address string) ([]byte, error) {
	data, header, err := t.fetch(ctx, address, configPath)
	if err == nil && header.Get("Content-Encoding") != encodingZstd {
		data = config.Pack(data)
	}
	return data, err
}

func (t *Transport) fetch(ctx context.Context, address, path string) (data []byte, header http.Header, err error) {
	start := time.Now()
	ctx, cancel := progress.WithTimeout(ctx, stallTimeout, maxFetchTime)
	defer cancel()
	defer func() {
		result := "ok"
		if err != nil {
			result = "failed"
		}
		metrics.GetOrCreateHistogram(fmt.Sprintf(`hickorypath_peer_fetch_seconds{path=%q,result=%q}`, path, result)).Update(time.Since(start).Seconds())
	}()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return nil, nil, kind.Wrap(err, kind.Peer, "invalid address of a host")
	}
	req.Header.Set("Accept-Encoding", encodingZstd)
	resp, err := t.client.Do(req)
	if err != nil {
		return nil, nil, kind.Wrap(err, kind.Peer, "no response from %s", address)
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusServiceUnavailable {
		return nil, nil, kind.New(kind.Overload, "%s is serving other hosts", address)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, nil, kind.New(kind.Peer, "unexpected response from %s: status %d", address, resp.StatusCode)
	}
	data, err = io.ReadAll(io.LimitReader(progress.NewReader(ctx, resp.Body), maxFetchBytes+1))
	if err != nil {
		return nil, nil, kind.Wrap(err, kind.Peer, "incomplete response from %s: %d bytes in %s", address, len(data), time.Since(start).Round(time.Millisecond))
	}
	if len(data) > maxFetchBytes {
		return nil, nil, kind.New(kind.Peer, "response from %s has over %d bytes", address, maxFetchBytes)
	}
	return data, resp.Header, nil
}
