package instance

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// stream sends the events after the one that the request names. Like the engines of the platform, it does not check which
// version began the stream.
func (s *Server) stream(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if after > 0 {
		s.mu.Lock()
		s.resumes++
		s.mu.Unlock()
		if s.options.FailResumes {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for n := after + 1; n <= s.options.Events; n++ {
		s.silent.wait(r.Context())
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, s.options.Version); err != nil {
			return
		}
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(s.options.Interval):
		}
	}
}

// Event is an event of a stream as a caller receives it.
type Event struct {
	ID      int
	Version string // of the instance that sent it
}

// ReadEvent reads the next event of a stream, and returns io.EOF after the last one.
func ReadEvent(r *bufio.Reader) (e Event, err error) {
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return Event{}, err
		}
		field, value, _ := strings.Cut(strings.TrimSuffix(line, "\n"), ": ")
		switch field {
		case "id":
			if e.ID, err = strconv.Atoi(value); err != nil {
				return Event{}, err
			}
		case "data":
			e.Version = value
		case "":
			if e.ID == 0 {
				return Event{}, io.ErrUnexpectedEOF
			}
			return e, nil
		}
	}
}
