package platformapi

import (
	"net/http"
	"strconv"

	"hickorypath/internal/state/store"
)

// firstEra is the era of a store that was never restored.
const firstEra = 1

// eraWriter adds the era of the store to a response.
type eraWriter struct {
	http.ResponseWriter
	era     func() (uint64, bool)
	started bool
}

// withEra returns a writer and a request whose response names the era of the store in which the call was made.
func (p *Platform) withEra(w http.ResponseWriter, r *http.Request) (http.ResponseWriter, *http.Request) {
	ctx, era := store.CollectEra(r.Context())
	return &eraWriter{ResponseWriter: w, era: era}, r.WithContext(ctx)
}

func (e *eraWriter) start() {
	if e.started {
		return
	}
	e.started = true
	if era, known := e.era(); known {
		e.Header().Set("Store-Era", strconv.FormatUint(firstEra+era, 10))
	}
}

// WriteHeader implements http.ResponseWriter.
func (e *eraWriter) WriteHeader(status int) {
	e.start()
	e.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (e *eraWriter) Write(p []byte) (int, error) {
	e.start()
	return e.ResponseWriter.Write(p)
}
