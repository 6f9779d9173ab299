package standin2

import (
	"bytes"
	"sync"
	"sync/atomic"
	"time"
)

// cutTime is how long the machine that reports usage is cut off from the platform.
const cutTime = 4800 * time.Millisecond

// playDuty cuts the machine that reports usage off from the platform, as one of its reports is on its way. Another machine takes over
// meanwhile.
func playDuty(r *rig) {
	r.store.put("op/config", config(7))
	var once sync.Once
	var armed atomic.Bool
	done := make(chan struct{})
	for _, zone := range []string{"norte-a", "norte-b", "norte-c"} {
		h := r.addHost(zone, memoryMb)
		h.cloudLink.onData = func(first []byte) {
			if !r.trouble || !armed.Load() || !bytes.HasPrefix(first, []byte("POST /usage ")) {
				return
			}
			once.Do(func() {
				h.storeLink.cut(cutTime)
				h.cloudLink.cut(cutTime)
				r.log("cut", map[string]any{"host": h.name, "ms": cutTime.Milliseconds()})
				time.AfterFunc(cutTime, func() { r.log("healed", map[string]any{"host": h.name}) })
				close(done)
			})
		}
	}
	for _, h := range r.hosts {
		h.boot()
	}
	r.awaitReady(15 * time.Second)
	time.Sleep(6 * time.Second)
	armed.Store(true)
	if r.trouble {
		<-done
		time.Sleep(cutTime + 12*time.Second)
		return
	}
	time.Sleep(20 * time.Second)
}
