// Command standin2 plays the cases of the review with stand-ins of the platform, of servers and of clients.
package main

import (
	"fmt"
	"os"
)

func main() {
	cases := map[string]func(r *rig){"memory": playMemory, "order": playOrder, "duty": playDuty, "refused": playRefused, "takeup": playTakeUp}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		check(fmt.Errorf("usage: standin2 CASE RECORD"))
	}
	r := newRig(os.Args[2])
	cases[os.Args[1]](r)
	r.finish(nil)
}
