package tcpprobe_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hickorypath/internal/standin/tcpprobe"
)

func TestSurvives(t *testing.T) {
	const second = time.Second
	cases := []struct {
		name    string
		options tcpprobe.Options
		silence time.Duration
		want    bool
	}{
		{"by the count", tcpprobe.Options{Idle: 2 * second, Interval: second, Count: 3}, 2 * second, true},
		{"by the count, too long", tcpprobe.Options{Idle: 2 * second, Interval: second, Count: 3}, 3 * second, false},
		{"by the user timeout, one lost probe", tcpprobe.Options{Idle: 5 * second, Interval: second, Count: 3, UserTimeout: 3 * second}, second / 10, false},
		{"by the user timeout, two lost probes", tcpprobe.Options{Idle: second, Interval: second, Count: 2, UserTimeout: 2500 * time.Millisecond}, second, true},
		{"by the user timeout, a little longer", tcpprobe.Options{Idle: second, Interval: second, Count: 2, UserTimeout: 2500 * time.Millisecond}, 1500 * time.Millisecond, false},
		{"by the user timeout, three lost probes", tcpprobe.Options{Idle: second, Interval: second, Count: 2, UserTimeout: 3500 * time.Millisecond}, 2 * second, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(c.options.Survives(c.silence), c.want)
		})
	}
}
