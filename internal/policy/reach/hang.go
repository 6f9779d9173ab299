package reach

import "time"

// Hang is an attempt at an upstream out of reach, on whose connection nothing arrives. Either the host is cut off from the upstream, and the
// request has to go elsewhere, or the upstream itself is silent, and the response will go on.
type Hang struct {
	Silent    time.Duration // for which nothing has arrived: on the connection or, while that is so of all of them, from the whole service
	Answered  time.Duration // for which others have answered since the silence began; 0 if they have not
	IsStream  bool          // the response is a stream of events
	IsCut     bool          // the host reaches most upstreams of the service no more
	IsRefused bool          // new connections to the service are refused, so that the upstreams are not silent
}

const (
	// HangTime is the least silence after which an attempt is given up.
	HangTime = 400 * time.Millisecond
	// silenceTime is how long a sound upstream may be silent.
	silenceTime = 2 * time.Second
)

// IsOver reports whether the attempt has lasted long enough. After a silence of the network the kernels send what was lost again at intervals
// that double, so the connection is granted as much time from the first answer of others on as it was silent before.
func (h Hang) IsOver() bool {
	limit := silenceTime
	switch {
	case h.IsStream:
	case h.IsRefused:
		limit = HangTime
	case h.Answered > 0:
		limit = min(max(HangTime, 2*(h.Silent-h.Answered)), silenceTime)
	}
	return h.Silent >= limit
}

// IsUnproven reports whether the host looks cut off, but all upstreams may be silent as well: nothing has shown that others reach them.
func (h Hang) IsUnproven() bool { return h.IsCut && !h.IsRefused && h.Answered == 0 }

// Watch finds out since when others answer while an attempt hangs. The zero value has found no answer.
type Watch struct{ answered time.Time }

// Answered returns for how long others have answered, 0 if they have not since the silence began. They answered last at last, and without a
// longer pause since since. The silence has lasted for silent; answers of its first StallTime are no sign, since they may have been on their way
// when all upstreams fell silent.
func (w *Watch) Answered(now time.Time, silent time.Duration, since, last time.Time) time.Duration {
	from := now.Add(StallTime - silent)
	if w.answered.Before(from) { // found in an earlier silence, or not at all
		if last.Before(from) {
			w.answered = time.Time{}
			return 0
		}
		w.answered = from
		if since.After(from) {
			w.answered = since
		}
	}
	return now.Sub(w.answered)
}
