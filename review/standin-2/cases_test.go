// Package standin2 plays the cases of the review with stand-ins of the platform, of servers and of clients. All of it is test code, as the
// names of the platform's formats stand only in platform/, in tests and in the project's own stand-ins.
package standin2

import (
	"os"
	"testing"
)

func TestMemory(t *testing.T)  { play(t, playMemory) }
func TestOrder(t *testing.T)   { play(t, playOrder) }
func TestDuty(t *testing.T)    { play(t, playDuty) }
func TestTakeUp(t *testing.T)  { play(t, playTakeUp) }
func TestRefused(t *testing.T) { play(t, playRefused) }

// play runs a case, which writes the file that RECORD names. The test fails if the rule was broken; a case that can't run ends the program.
func play(t *testing.T, run func(r *rig)) {
	r := newRig(os.Getenv("RECORD"))
	run(r)
	for _, text := range r.finish() {
		t.Error(text)
	}
}
