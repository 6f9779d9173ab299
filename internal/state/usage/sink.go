package usage

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/state/lease"
)

// Report is the usage of one window as it is sent to the platform.
type Report struct {
	ID           string    `json:"id"`
	Window       int64     `json:"window"`
	Start        time.Time `json:"start"`
	End          time.Time `json:"end"`
	FencingToken uint64    `json:"fence"`
	Rows         []Row     `json:"rows"`
}

// Sink is the platform's interface for usage reports. Report calls check directly before the last write of the
// request and does not finish the request if check returns an error.
type Sink struct {
	Report func(ctx context.Context, r Report, check func() error) error
}

// NewHTTPSink returns a Sink that sends reports to `PUT /reports/ID` below a base URL.
func NewHTTPSink(url string, timeout time.Duration) Sink {
	return Sink{Report: func(ctx context.Context, r Report, check func() error) error {
		data, err := json.Marshal(r)
		if err != nil {
			return kind.Wrap(err, kind.Internal, "usage report cannot be encoded")
		}
		req, err := http.NewRequestWithContext(ctx, http.MethodPut, url+"/reports/"+r.ID, bytes.NewReader(data))
		if err != nil {
			return kind.Wrap(err, kind.Internal, "request for the usage report cannot be created")
		}
		req.Header.Set("Content-Type", "application/json")
		resp, err := lease.Send(req, timeout, check)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		return responseError(resp)
	}}
}

// responseError returns the error for a response without a success status.
func responseError(resp *http.Response) error {
	if resp.StatusCode < http.StatusMultipleChoices {
		return nil
	}
	text, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<10))
	switch resp.StatusCode {
	case http.StatusPreconditionFailed:
		return kind.New(kind.Fenced, "usage report refused because of its fencing token: %s", text)
	case http.StatusConflict:
		return kind.New(kind.Conflict, "reported before with other figures: %s", text)
	default:
		return kind.New(kind.Refused, "usage report refused with status %d: %s", resp.StatusCode, text)
	}
}
