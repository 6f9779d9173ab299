package standin2

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// crowd is the number of clients that send large bodies. The host serves more connections at a time than that.
	crowd = 1000
	// crowdTime is how long they send.
	crowdTime = 20 * time.Second
	// stayTime is how long one of them keeps a connection open that it has stopped sending on.
	stayTime = 8 * time.Second
	block    = 64 << 10
)

// playMemory lets a crowd of clients send large bodies of legal size, most of which stop just short of their end. The machine kills a process
// that exceeds its memory; bytes that were received and not read count.
func playMemory(r *rig) {
	r.store.put("op/config", config(7))
	h := r.addHost("norte-a", memoryMb)
	r.startEngine("i-libro", "libro", "norte-a", "v1", func(e *engine, c net.Conn, q *http.Request, _ []byte) bool {
		return e.answerPlain(c, q, 10*time.Millisecond, 800)
	})
	r.startEngine("i-asesor", "asesor", "norte-a", "v1", func(e *engine, c net.Conn, q *http.Request, _ []byte) bool {
		return e.answerStream(c, q, 50*time.Millisecond, 100*time.Millisecond, 20)
	})
	h.boot()
	r.awaitReady(10 * time.Second)
	end := time.Now().Add(crowdTime)
	var opened, answered atomic.Int64
	clients := 1 // a single client with large bodies must be served
	if r.trouble {
		clients = crowd
	}
	for n := range clients {
		go func() {
			for k := 0; time.Now().Before(end); k++ {
				sendLarge(h.front, fmt.Sprintf("large-%d-%d", n, k), n%3, &opened)
			}
		}()
	}
	go func() {
		for n := 0; time.Now().Before(end); n++ {
			id := fmt.Sprintf("post-%d", n)
			a := send(h.front, head("POST", "/post/x", id, "key-coro", 3000, 4, ""), []byte("body"), 4*time.Second)
			r.log("answer", map[string]any{"id": id, "status": a.status, "error": fmt.Sprint(a.err)})
			if a.status == 200 {
				answered.Add(1)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}()
	most := 0
	for time.Now().Before(end) {
		own, unread := ownMemory(h.cmd.Process.Pid), unreadBytes(h.front)
		if own+unread > most {
			most = own + unread
			r.log("memory", map[string]any{"own_kb": own, "unread_kb": unread, "sum_kb": own + unread, "limit_kb": memoryMb << 10})
		}
		if most > memoryMb<<10 && h.alive() {
			r.breakRule("the process holds %d MB of %d: %d of its own and %d received and not read", most>>10, memoryMb, own>>10, unread>>10)
			h.signal(syscall.SIGKILL) // as the machine does
			<-h.done
			break
		}
		if !h.alive() {
			r.breakRule("the process has ended")
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	r.log("end", map[string]any{"most_kb": most, "connections": opened.Load(), "answered": answered.Load()})
}

// sendLarge sends one large body: whole, short of its end, or in chunks short of their end. It keeps the connection open for a while.
func sendLarge(address, id string, way int, opened *atomic.Int64) {
	c, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		time.Sleep(50 * time.Millisecond)
		return
	}
	defer func() { _ = c.Close() }()
	opened.Add(1)
	_ = c.SetDeadline(time.Now().Add(stayTime))
	h, data := head("POST", "/draft/x", id, "key-club", 8000, maxBody, ""), []byte(strings.Repeat("x", block))
	if way == 2 {
		h = strings.Replace(h, fmt.Sprintf("Content-Length: %d", maxBody), "Transfer-Encoding: chunked", 1)
		data = []byte(fmt.Sprintf("%x\r\n%s\r\n", block, data))
	}
	if _, err = c.Write([]byte(h)); err != nil {
		return
	}
	blocks := maxBody / block
	if way > 0 {
		blocks-- // the rest never comes
	}
	for range blocks {
		if _, err := c.Write(data); err != nil {
			return
		}
	}
	buf := make([]byte, 4096)
	for err == nil {
		_, err = c.Read(buf)
	}
}

// ownMemory returns the memory of a process without pages of files, in kB.
func ownMemory(pid int) (n int) {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(data)) {
		if strings.HasPrefix(line, "RssAnon:") {
			_, _ = fmt.Sscanf(strings.Fields(line)[1], "%d", &n)
		}
	}
	return n
}

// unreadBytes returns the bytes in the receive queues of the connections at an address, in kB.
func unreadBytes(address string) int {
	host, port, _ := net.SplitHostPort(address)
	ip, p := net.ParseIP(host).To4(), 0
	_, _ = fmt.Sscanf(port, "%d", &p)
	want, sum := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], p), 0
	data, _ := os.ReadFile("/proc/net/tcp")
	for line := range strings.Lines(string(data)) {
		const established = "01"
		f := strings.Fields(line)
		if len(f) > 4 && f[1] == want && f[3] == established {
			sent, received := 0, 0
			_, _ = fmt.Sscanf(f[4], "%x:%x", &sent, &received)
			sum += received
		}
	}
	return sum >> 10
}
