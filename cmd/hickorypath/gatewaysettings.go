package main

import (
	"context"
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"

	"go.uber.org/zap"

	"hickorypath/platform"
)

// settingsPollInterval is how often the settings file is read again, because the file may change without a SIGHUP.
const settingsPollInterval = 5 * time.Second

// watchSettings reads the settings again on SIGHUP and every settingsPollInterval, and logs errors and changes. Running
// requests are not affected: addresses, bounds and machine limits take effect only when the process starts.
func (g *gateway) watchSettings(ctx context.Context) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	tick := time.NewTicker(settingsPollInterval)
	defer tick.Stop()
	last := g.settings
	for {
		signaled := false
		select {
		case <-ctx.Done():
			return
		case <-hup:
			signaled = true
		case <-tick.C:
		}
		s, err := platform.LoadSettings()
		switch {
		case err != nil:
			g.log.Error("settings refused; the settings read at startup stay in force, correct the file", zap.Error(err))
		case !reflect.DeepEqual(s, last):
			last = s
			g.log.Info("reload", zap.Bool("signal", signaled), zap.Bool("changed", true), zap.String("effect", "at the next start"))
		case signaled:
			g.log.Info("reload", zap.Bool("signal", true), zap.Bool("changed", false))
		}
	}
}
