package relay

import (
	"bufio"
	"bytes"
	"io"
	"net/http"

	"hickorypath/internal/caller/reply"
	"hickorypath/internal/core/kind"
)

const (
	// maxEvent is the size of the largest event of a stream, in bytes.
	maxEvent = 1 << 20
	// readBuffer is the size of the buffer for a stream, in bytes.
	readBuffer = 8 << 10
)

var (
	dataField  = []byte("data: ")
	doneMarker = []byte("[DONE]")
	errorStart = []byte(`{"error":`)
)

// Resume has the rest of a stream, whose r.Progress the caller has got, sent by another host, and calls write for each event. taken reports
// whether a host has taken the stream up, and so records the request. The error is that with which the stream broke off.
func (c *Client) Resume(r Request, write func(event []byte) error) (taken bool, err error) {
	tried := make([]string, 0, maxTries)
	for range maxTries {
		host, ok := c.pick(r.Pool, tried)
		if !ok {
			break
		}
		tried = append(tried, host)
		res, err := c.try(r, host)
		switch {
		case err == nil && res.StatusCode == http.StatusOK && reply.Follows(res.Header, r.Progress):
			defer res.Body.Close()
			return true, copyEvents(res.Body, host, write)
		case err == nil:
			_ = res.Body.Close()
		case r.Context().Err() != nil:
			return false, err
		}
	}
	return false, kind.New(kind.Unavailable, "no host takes up the stream from pool %s", r.Pool)
}

// copyEvents calls write for each event of a stream, but not for the one that ends it. A stream without that one broke off.
func copyEvents(body io.Reader, host string, write func(event []byte) error) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, readBuffer), maxEvent)
	for lines.Scan() {
		event, isData := bytes.CutPrefix(lines.Bytes(), dataField)
		switch {
		case !isData:
			continue
		case bytes.Equal(event, doneMarker):
			return nil
		case bytes.HasPrefix(event, errorStart):
			return kind.New(kind.Lost, "%s could not send the rest of the stream", host).WithRan(kind.RanMaybe)
		}
		if err := write(event); err != nil {
			return kind.Wrap(err, kind.Canceled, "the caller stopped reading").WithRan(kind.RanYes)
		}
	}
	return kind.Wrap(lines.Err(), kind.Lost, "%s was lost", host).WithRan(kind.RanMaybe)
}
