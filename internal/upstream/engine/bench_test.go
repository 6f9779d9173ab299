package engine_test

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"hickorypath/internal/core/clock"
	standin "hickorypath/internal/standin/engine"
	"hickorypath/internal/standin/pipe"
	"hickorypath/internal/upstream/engine"
)

const (
	addr   = "a1:80"
	prompt = `{"model":"m","stream":true,"stream_options":{"include_usage":true},` +
		`"messages":[{"role":"user","content":"How much has the club paid?"}],"max_tokens":12}`
	plain = `{"model":"m","messages":[{"role":"user","content":"How much has the club paid?"}],"max_tokens":12}`
)

// bench is one stand-in engine with a client, in virtual time.
type bench struct {
	*is.I
	net    *pipe.Net
	engine *standin.Engine
	client *engine.Client
	ctx    context.Context
}

// within runs f in a synctest bubble with an engine at addr.
func within(t *testing.T, f func(b *bench)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		b := &bench{I: is.New(t), net: pipe.New(), ctx: t.Context()}
		b.engine = standin.New(standin.Options{Model: "m", Gap: 20 * time.Millisecond, Restart: time.Second})
		stop := b.net.Serve(addr, b.engine.Handler())
		b.client = engine.New(engine.Options{Clock: clock.NewWall(), Dial: b.net.Dial})
		f(b)
		b.client.Close()
		stop()
		synctest.Wait()
	})
}

// read reads a stream to its end or to its first error.
func read(s *engine.Stream) (events []engine.Event, err error) {
	for {
		e, err := s.Next()
		if err == io.EOF {
			return events, nil
		}
		if err != nil {
			return events, err
		}
		e.Data = append([]byte(nil), e.Data...)
		events = append(events, e)
	}
}
