package reply

import (
	"io"
	"net/http"

	"hickorypath/internal/core/kind"
)

// HopHeaders are the hop-by-hop headers, which apply to a single connection and are not passed on.
var HopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// CopyFlush copies body to w and flushes each part as soon as it is read.
func CopyFlush(w http.ResponseWriter, body io.Reader) error {
	rc := http.NewResponseController(w)
	defer ExtendWriteDeadline(rc) // for the data that is still buffered
	buf := make([]byte, 32<<10)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			ExtendWriteDeadline(rc)
			if _, err := w.Write(buf[:n]); err != nil {
				return kind.Wrap(err, kind.Canceled, "the caller stopped reading").WithRan(kind.RanYes)
			}
			_ = rc.Flush()
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return kind.From(err)
		}
	}
}
