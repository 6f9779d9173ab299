package exchange_test

import (
	"testing"

	"hickorypath/internal/core/kind"
)

// TestStreamIsContinuedAtAnotherVersion guards against an answer with events of two software versions: one of two engines crashes
// in the middle of a stream.
func TestStreamIsContinuedAtAnotherVersion(t *testing.T) {
	cases := []struct {
		name     string
		versions [2]string // of the engine that begins the stream and of the other one
		isKnown  bool      // the host knows the version of the other one
		kind     kind.Kind
		seen     int // requests that the engines read
	}{
		{"same version", [2]string{"v1", "v1"}, true, "", 2},
		{"same version, not known yet", [2]string{"v1", "v1"}, false, "", 2},
		{"another version", [2]string{"v1", "v2"}, true, kind.Lost, 1},
		{"another version, not known yet", [2]string{"v1", "v2"}, false, kind.Failed, 2},
		{"no version stated", [2]string{"", ""}, true, "", 2},
		{"the other one states none", [2]string{"v1", ""}, false, kind.Failed, 2},
		{"the first one states none", [2]string{"", "v2"}, false, kind.Failed, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withHarness(t, func(w *harness) {
				tokens, version := 0, ""
				setVersions := func() {
					for id, e := range w.engines {
						version = c.versions[1]
						if len(e.Calls()) > 0 {
							version = c.versions[0]
						}
						e.SetVersion(version)
						if c.isKnown {
							w.knownVersions[id] = version
						}
					}
				}
				for _, e := range w.engines {
					e.SetVersion(c.versions[0]) // it is not known yet which engine begins the stream
				}
				w.knownVersions = map[string]string{}
				a := w.chat(w.ctx, call{model: "again", write: func() {
					if tokens++; tokens == 4 {
						setVersions()
						crash(w, nil)
					}
				}})
				w.Equal(kind.Of(a.err), c.kind)
				w.Equal(w.engineRequests(), c.seen)
				if c.kind == "" {
					w.Equal(w.billedTokens(), outputLength)
				} else {
					w.Equal(w.billedTokens(), 0)
					w.Equal(tokens, 4)
				}
			})
		})
	}
}
