package standin2

import (
	"fmt"
	"net"
	"net/http"
	"time"
)

// failEvery is the number of requests of which a failing server fails two.
const failEvery = 5

// playRefused lets a server fail part of its requests: it runs them and answers 503 without saying that it did not. Without the trouble it
// answers them with success.
func playRefused(r *rig) {
	r.store.put("op/config", config(7))
	h := r.addHost("norte-a", memoryMb)
	ran, count := make(chan string, 1), 0
	r.startEngine("i-libro", "libro", "norte-a", "v1", func(e *engine, c net.Conn, q *http.Request, _ []byte) bool {
		ran <- q.Header.Get("Request-Id")
		if count++; !r.trouble || count%failEvery > 1 {
			return e.answerPlain(c, q, 10*time.Millisecond, 800)
		}
		e.run(q)
		time.Sleep(10 * time.Millisecond)
		_, err := fmt.Fprintf(c, "%sContent-Length: 0\r\n\r\n", e.head(q, 503))
		return err == nil
	})
	h.boot()
	r.awaitReady(10 * time.Second)
	for n := range 20 {
		id := fmt.Sprintf("post-%d", n)
		a := send(h.front, head("POST", "/post/x", id, "key-club", 3000, 4, ""), []byte("body"), 4*time.Second)
		hasRun := false
		select {
		case <-ran:
			hasRun = true
		default:
		}
		r.log("answer", map[string]any{"id": id, "status": a.status, "signature": a.header.Get("Response-Signature"), "ran": hasRun})
		if hasRun && (a.status == 503 || a.status == 429) {
			r.breakRule("%s is not idempotent, was answered %d and has run", id, a.status)
		}
	}
}
