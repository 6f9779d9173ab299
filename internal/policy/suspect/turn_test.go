package suspect_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/policy/suspect"
)

// line is two hosts, a and b, at which requests 1 and 2 are suspects.
type line struct {
	*is.I
	a, b *suspect.Book
}

func newLine(t *testing.T) *line {
	l := &line{I: is.New(t), a: suspect.New(suspect.Config{Host: "a"}), b: suspect.New(suspect.Config{Host: "b"})}
	for i, p := range []suspect.Print{1, 2} {
		s := suspect.Suspicion{Print: p, Crashes: 1, Until: start.Add(time.Hour), Upstream: "gone", At: start, Ran: time.Second, Offset: 10 * i}
		l.a.MergeSuspicion(start, s)
		l.b.MergeSuspicion(start, s)
	}
	return l
}

// join lets a host's suspect join the line of the only upstream.
func (l *line) join(b *suspect.Book, at time.Duration, p suspect.Print) suspect.Turn {
	t, err := b.Join(start.Add(at), p, []string{"e"})
	l.NoErr(err)
	return t
}

func (l *line) tell(at time.Duration, from, to *suspect.Book) {
	for _, t := range from.Changed() {
		to.MergeTurn(start.Add(at), t)
	}
}

// TestTurns is the contract on when the second suspect in a line may start; it joined 10 ms after the first.
func TestTurns(t *testing.T) {
	const settled = time.Second
	cases := []struct {
		name  string
		event func(l *line, first suspect.Turn)
		at    time.Duration
		ready bool
	}{
		{"the word of joins is not yet in", func(*line, suspect.Turn) {}, 100 * time.Millisecond, false},
		{"the first one waits", func(*line, suspect.Turn) {}, settled, false},
		{"the first one runs", func(l *line, _ suspect.Turn) { l.a.Start(start, 1, "e", 1, nil) }, settled, false},
		{"the first one left", func(l *line, t suspect.Turn) { l.a.Leave(start, t) }, settled, true},
		{"the first one passed", func(l *line, _ suspect.Turn) {
			l.a.Start(start, 1, "e", 1, nil)
			later := start.Add(2 * time.Second)
			l.Equal(l.a.Pass(later, 1, 7), false)                  // tokens that may have been under way
			l.Equal(l.a.Pass(start.Add(time.Second), 1, 8), false) // no longer than the run that crashed
			l.Equal(l.a.Pass(later, 1, 8), true)
		}, settled, true},
		{"the first one lasted long enough", func(l *line, _ suspect.Turn) {
			l.a.Start(start, 1, "e", 1, nil)
			d, ok := l.a.PassTime(1)
			l.True(ok)
			l.True(d > time.Second) // for which it ran until the crash
			l.a.PassNow(start, 1)
		}, settled, true},
		{"the first one ended", func(l *line, _ suspect.Turn) {
			l.a.Start(start, 1, "e", 1, nil)
			l.a.Finish(start, 1, true)
		}, settled, true},
		{"the first one's suspicion was taken back", func(l *line, _ suspect.Turn) {
			l.a.Merge(start, suspect.Quarantine{Print: 3, Until: start.Add(time.Hour), Upstream: "gone", At: start})
			l.a.Start(start, 1, "e", 1, nil)
		}, settled, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := newLine(t)
			first := l.join(l.a, 0, 1)
			l.tell(0, l.a, l.b)
			second := l.join(l.b, 10*time.Millisecond, 2)
			c.event(l, first)
			l.tell(c.at, l.a, l.b)
			ready, err := l.b.MayStart(start.Add(c.at), second)
			l.NoErr(err)
			l.Equal(ready, c.ready)
		})
	}
}

// TestDeadHost lets the host of the first suspect in a line die: its turn ends without a word.
func TestDeadHost(t *testing.T) {
	l := newLine(t)
	l.join(l.a, 0, 1)
	l.tell(0, l.a, l.b)
	later := 40 * time.Second
	turn := l.join(l.b, later, 2)
	ready, err := l.b.MayStart(start.Add(later+time.Second), turn)
	l.NoErr(err)
	l.True(ready)
}

// TestTurnsOutOfOrder hands the words of one turn on in the wrong order.
func TestTurnsOutOfOrder(t *testing.T) {
	l := newLine(t)
	l.join(l.a, 0, 1)
	l.a.Start(start, 1, "e", 1, nil)
	l.a.Finish(start, 1, false)
	words := l.a.Changed()
	l.Equal(len(words), 3) // joined, runs, ended
	for _, order := range [][]int{{2, 1, 0}, {2, 0, 1}, {1, 2, 0}} {
		b := suspect.New(suspect.Config{Host: "b"})
		for _, n := range order {
			b.MergeTurn(start, words[n])
		}
		turn, err := b.Join(start.Add(time.Millisecond), 2, []string{"e"})
		l.NoErr(err)
		ready, err := b.MayStart(start.Add(time.Second), turn)
		l.NoErr(err)
		l.True(ready)
	}
}

// TestOneTurnForCopies lets two hosts join with the same request at once: the earlier one keeps its turn.
func TestOneTurnForCopies(t *testing.T) {
	l := newLine(t)
	first, second := l.join(l.a, 0, 1), l.join(l.b, time.Millisecond, 1)
	words := l.a.Changed()
	l.tell(time.Second, l.b, l.a)
	for _, t := range words {
		l.b.MergeTurn(start.Add(time.Second), t)
	}
	ready, err := l.a.MayStart(start.Add(time.Second), first)
	l.NoErr(err)
	l.True(ready)
	_, err = l.b.MayStart(start.Add(time.Second), second)
	l.Equal(kind.Of(err), kind.Unavailable)
	_, err = l.b.Join(start.Add(time.Second), 1, []string{"e"})
	l.Equal(kind.Of(err), kind.Unavailable) // as long as the copy has its turn
}

// TestMoveToShorterLine lets a suspect wait behind one that runs for long, while another line is empty.
func TestMoveToShorterLine(t *testing.T) {
	l := newLine(t)
	l.join(l.a, 0, 1)
	l.a.Start(start, 1, "e", 1, nil)
	turn := l.join(l.a, 0, 2)
	both := []string{"e", "f"}
	turn, ready, err := l.a.Await(start.Add(time.Second), 2, turn, both)
	l.NoErr(err)
	l.Equal(turn.Upstream, "e") // not at once
	l.True(!ready)
	turn, _, err = l.a.Await(start.Add(4*time.Second), 2, turn, both)
	l.NoErr(err)
	l.Equal(turn.Upstream, "f")
	_, ready, err = l.a.Await(start.Add(5*time.Second), 2, turn, both)
	l.NoErr(err)
	l.True(ready)
}

// TestNeighborsOfTheCulprit checks that a quarantine takes back what its crash made suspects, in any order.
func TestNeighborsOfTheCulprit(t *testing.T) {
	neighbor := suspect.Suspicion{Print: 5, Crashes: 1, Until: start.Add(time.Hour), Upstream: "e", At: start}
	verdict := suspect.Quarantine{Print: 6, Until: start.Add(time.Hour), Upstream: "e", At: start.Add(time.Millisecond)}
	for _, verdictFirst := range []bool{true, false} {
		is := is.New(t)
		b := suspect.New(suspect.Config{Host: "b"})
		if verdictFirst {
			b.Merge(start, verdict)
		}
		b.MergeSuspicion(start, neighbor)
		if !verdictFirst {
			b.Merge(start, verdict)
		}
		isSuspect, err := b.Check(start.Add(time.Second), neighbor.Print)
		is.NoErr(err)
		is.True(!isSuspect)
		_, err = b.Check(start.Add(time.Second), verdict.Print)
		is.Equal(kind.Of(err), kind.Quarantined)
	}
}
