package main

import (
	"context"
	"runtime/debug"

	"github.com/alecthomas/kingpin/v2"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"hickorypath/internal/core/settings"
	"hickorypath/internal/upstream/httpclient"
)

// addServe adds the command that runs one host with a settings file.
func addServe(app *kingpin.Application) {
	cmd := app.Command("serve", "Run one host of the router until SIGTERM or SIGINT, and then shut down without interrupting requests.")
	path := cmd.Flag("settings", "File with the host's settings, JSON with comments.").Short('s').Required().ExistingFile()
	cmd.Action(newAction(new(bool), func(ctx context.Context) error { return runServe(ctx, *path) }))
}

func runServe(ctx context.Context, path string) error {
	s, err := settings.Load(path)
	if err != nil {
		return err
	}
	if n := s.MemoryBytes(); n > 0 {
		debug.SetMemoryLimit(n / memoryParts * heapParts)
	}
	log, err := newLog(s.Log())
	if err != nil {
		return err
	}
	defer func() { _ = log.Sync() }()
	defer zap.RedirectStdLog(log)() // for libraries that log with the standard logger
	h, err := newHost(s, log, httpclient.NewDialFunc())
	if err != nil {
		return err
	}
	return h.run(ctx)
}

// newLog returns a logger that writes JSON lines to standard error.
func newLog(level string) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	conf := zap.NewProductionConfig()
	conf.Level = zap.NewAtomicLevelAt(parsed)
	conf.Sampling = nil
	conf.DisableStacktrace = true
	conf.EncoderConfig = logEncoderConfig()
	conf.EncoderConfig.CallerKey = "source" // the key "caller" is used for the callers' address
	return conf.Build()
}

// logEncoderConfig returns the keys and formats of the fields that each log line has.
func logEncoderConfig() zapcore.EncoderConfig {
	c := zap.NewProductionEncoderConfig()
	c.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	c.TimeKey = "time"
	c.MessageKey = "text"
	return c
}
