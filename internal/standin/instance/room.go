package instance

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Room bounds the requests that each instance of a service runs and keeps waiting, and makes the instances brittle. It is shared by the
// instances of the service and safe for concurrent use.
type Room struct {
	slots   int           // requests that an instance runs at a time
	waiting int           // requests that an instance keeps waiting
	work    time.Duration // of a request whose response is no stream
	onFall  func(s *Server)

	mu           sync.Mutex
	brittleSince time.Time // zero unless the instances are brittle
	rejections   int       // in a second that a brittle instance bears
	rejected     int
	falls        []time.Time
}

const (
	// shrinkDelay is how long after they have become brittle the instances keep as many requests waiting as before. They keep none after that.
	shrinkDelay = 3 * time.Second
	// rejectionWindow is the time in which rejections are counted.
	rejectionWindow = time.Second
)

// NewRoom returns the Room of a service whose instances are not brittle. It calls onFall for each instance that falls over, after its
// connections are broken.
func NewRoom(slots, waiting int, work time.Duration, onFall func(s *Server)) *Room {
	return &Room{slots: slots, waiting: waiting, work: work, onFall: onFall}
}

// SetBrittle makes the instances brittle: each falls over that has to reject more than a number of requests in a second.
func (r *Room) SetBrittle(rejections int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.brittleSince, r.rejections = time.Now(), rejections
}

// SetSound ends SetBrittle.
func (r *Room) SetSound() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.brittleSince = time.Time{}
}

// Falls returns how many instances have fallen over.
func (r *Room) Falls() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.falls)
}

// Rejected returns how many requests all instances have rejected.
func (r *Room) Rejected() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rejected
}

// statement returns what the instances state in their responses, empty for nothing.
func (r *Room) statement() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.brittleSince.IsZero() {
		return ""
	}
	return strconv.Itoa(r.rejections)
}

// waitingLimit returns how many requests an instance keeps waiting now.
func (r *Room) waitingLimit() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.brittleSince.IsZero() && time.Since(r.brittleSince) >= shrinkDelay {
		return 0
	}
	return r.waiting
}

// recordRejection counts a rejection of an instance that has rejected recent requests in the last second, and reports whether it falls
// over.
func (r *Room) recordRejection(recent int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rejected++
	if r.brittleSince.IsZero() || time.Since(r.brittleSince) < shrinkDelay || recent <= r.rejections {
		return false
	}
	r.falls = append(r.falls, time.Now())
	return true
}

// occupancy is what one instance holds in its Room.
type occupancy struct {
	mu       sync.Mutex
	running  int
	queue    []chan struct{} // of waiting requests, each closed when the request gets a slot
	rejected []time.Time     // within the last rejectionWindow
}

// enter waits for a slot of the instance. It reports whether the request runs; if not, it was answered, or its caller has left.
func (s *Server) enter(w http.ResponseWriter, r *http.Request) bool {
	o, room := &s.occupancy, s.options.Room
	o.mu.Lock()
	w.Header()["Instance-Load"] = []string{fmt.Sprintf("%d,%d,%d", o.running, len(o.queue), room.slots)}
	if statement := room.statement(); statement != "" {
		w.Header()["Server-Brittle"] = []string{statement}
	}
	if o.running < room.slots {
		o.running++
		o.mu.Unlock()
		return true
	}
	if len(o.queue) >= room.waitingLimit() {
		recent := o.recordRejection(time.Now())
		o.mu.Unlock()
		if room.recordRejection(recent) && !s.crashed.Swap(true) {
			s.Close()
			room.onFall(s)
			panic(http.ErrAbortHandler)
		}
		w.Header()["Not-Executed"] = []string{"1"}
		w.WriteHeader(http.StatusServiceUnavailable)
		return false
	}
	turn := make(chan struct{})
	o.queue = append(o.queue, turn)
	o.mu.Unlock()
	select {
	case <-turn:
		return true
	case <-r.Context().Done():
	}
	if !o.remove(turn) {
		s.leave() // it got a slot at the same moment
	}
	panic(http.ErrAbortHandler)
}

// leave gives back the slot of a request.
func (s *Server) leave() {
	o := &s.occupancy
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.queue) > 0 {
		close(o.queue[0])
		o.queue = o.queue[1:]
		return
	}
	o.running--
}

// remove takes a waiting request from the queue and reports whether it was still there.
func (o *occupancy) remove(turn chan struct{}) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for n, other := range o.queue {
		if other == turn {
			o.queue = append(o.queue[:n:n], o.queue[n+1:]...)
			return true
		}
	}
	return false
}

// recordRejection counts a rejection and returns how many there were within the last rejectionWindow. The caller holds o.mu.
func (o *occupancy) recordRejection(now time.Time) int {
	kept := o.rejected[:0]
	for _, at := range o.rejected {
		if now.Sub(at) < rejectionWindow {
			kept = append(kept, at)
		}
	}
	o.rejected = append(kept, now)
	return len(o.rejected)
}
