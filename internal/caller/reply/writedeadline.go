package reply

import (
	"net/http"
	"time"
)

// writeTimeout bounds one write to a caller. The response to a caller that reads nothing for this time is aborted,
// because the request would otherwise keep a slot of its upstream.
const writeTimeout = 15 * time.Second

// ExtendWriteDeadline gives the next writes of a response, and those of the server after the handler has returned,
// writeTimeout from now.
func ExtendWriteDeadline(rc *http.ResponseController) {
	_ = rc.SetWriteDeadline(time.Now().Add(writeTimeout))
}

// ClearWriteDeadline removes the write deadline that an earlier request left on the connection.
func ClearWriteDeadline(rc *http.ResponseController) { _ = rc.SetWriteDeadline(time.Time{}) }
