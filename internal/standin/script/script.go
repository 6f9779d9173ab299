// Package script is a stand-in for an upstream server that answers each request with scripted bytes, so that tests can
// produce protocol faults that no HTTP library would produce.
package script

import (
	"bufio"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"hickorypath/internal/gateway/h1"
)

// Action is the server's response to one request.
type Action struct {
	Bytes string // written unchanged, except that {id} is replaced by the id of the request
	Close bool   // closes the connection after writing Bytes
	Reset bool   // resets the connection after writing Bytes
	Hang  bool   // after writing Bytes, sends nothing and keeps the connection open until the client closes it

	Early int           // if not 0, responds after so many bytes of the request's body, and reads no more of it
	Delay time.Duration // between writing Bytes and the end of the connection

	Endless string        // written again and again after Bytes, until the client closes the connection
	Pause   time.Duration // between two writes of Endless
}

// Call is a request that the server received.
type Call struct {
	Head string // method and target on one line, then one header field per line
	Body string
}

// Server is an HTTP server that follows a script.
type Server struct {
	listener   net.Listener
	id         string // name of the header field that carries the request id
	wait       sync.WaitGroup
	hungClosed chan struct{}

	mu      sync.Mutex
	actions []Action
	calls   []Call
	conns   int
	open    map[net.Conn]bool
	closed  bool
}

// New returns a running server that performs one action for each request, in order, and repeats the last action. The
// header field named id carries the request id.
func New(id string, actions ...Action) (*Server, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return On(l, id, actions...), nil
}

// On is like New, for the connections of a listener.
func On(l net.Listener, id string, actions ...Action) *Server {
	s := &Server{listener: l, id: id, actions: actions, open: map[net.Conn]bool{}, hungClosed: make(chan struct{}, maxHungConns)}
	s.wait.Go(s.accept)
	return s
}

// Addr returns the address of the server.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Calls returns the requests received so far.
func (s *Server) Calls() []Call {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Call(nil), s.calls...)
}

// Conns returns the number of connections accepted so far.
func (s *Server) Conns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conns
}

// HungClosed returns a channel that receives a value each time the client closes a connection on which the server hangs.
func (s *Server) HungClosed() <-chan struct{} { return s.hungClosed }

// maxHungConns is the buffer size of the HungClosed channel: the number of hung connections per server that may be
// closed before a test reads from the channel.
const maxHungConns = 1000

// Close stops the server, closes its connections and waits for their goroutines.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	s.closed = true
	for c := range s.open {
		_ = c.Close()
	}
	s.mu.Unlock()
	s.wait.Wait()
}

func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		if s.closed { // while the connection was being accepted
			s.mu.Unlock()
			_ = c.Close()
			return
		}
		s.conns++
		s.open[c] = true
		s.mu.Unlock()
		s.wait.Go(func() { s.serve(c) })
	}
}

// Limits on the size of a request, in bytes.
const (
	maxHeadBytes = 64 << 10
	maxBodyBytes = 8 << 20
)

func (s *Server) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		var r h1.Request
		if err := r.Read(br, maxHeadBytes, h1.Budget{}); err != nil {
			return
		}
		body, err := s.readBody(&r, br)
		if err != nil {
			return
		}
		a := s.nextAction(&r, body)
		if _, err := c.Write([]byte(strings.ReplaceAll(a.Bytes, "{id}", string(r.Get(s.id))))); err != nil {
			return
		}
		time.Sleep(a.Delay)
		switch {
		case a.Endless != "":
			writeEndlessly(c, a)
			return
		case a.Hang:
			_, _ = br.Peek(1) // returns when the client closes the connection
			s.hungClosed <- struct{}{}
			return
		case a.Reset:
			if t, ok := c.(*net.TCPConn); ok {
				_ = t.SetLinger(0)
			}
			return
		case a.Close:
			return
		}
	}
}

// readBody reads the body of a request, or as much of it as the next action asks for.
func (s *Server) readBody(r *h1.Request, br *bufio.Reader) ([]byte, error) {
	s.mu.Lock()
	early := s.actions[0].Early
	s.mu.Unlock()
	if early == 0 {
		return r.ReadBody(br, maxBodyBytes)
	}
	body := make([]byte, early)
	_, err := io.ReadFull(br, body)
	return body, err
}

// writeEndlessly writes the endless bytes of an action until the client closes the connection.
func writeEndlessly(c net.Conn, a Action) {
	for {
		if _, err := c.Write([]byte(a.Endless)); err != nil {
			return
		}
		time.Sleep(a.Pause)
	}
}

// nextAction records a request and returns the action for it.
func (s *Server) nextAction(r *h1.Request, body []byte) Action {
	var head strings.Builder
	head.WriteString(string(r.Method()) + " " + string(r.Target()) + "\n")
	for _, f := range r.Fields() {
		head.WriteString(string(f.Name()) + ": " + string(f.Value()) + "\n")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, Call{Head: head.String(), Body: string(body)})
	a := s.actions[0]
	if len(s.actions) > 1 {
		s.actions = s.actions[1:]
	}
	return a
}
