// Package reload reads the settings of a running node again when the process gets SIGHUP.
//
// # Usage
//
//	reload.New(reload.Config{Arguments: []string{"-config", "node.ini"}, Log: log}).Run(ctx, &group)
package reload

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/comfreyhoist/comfreyhoist/internal/control/events"
	"github.com/comfreyhoist/comfreyhoist/internal/control/settings"
)

// Config sets a Reloader up.
type Config struct {
	// Arguments are those of the command line, without the flags that override the file.
	Arguments []string
	Log       *events.Log
}

// Reloader reads the settings again when the process gets SIGHUP. Only the log level changes while a node runs; all else
// is used from the next start on.
type Reloader struct {
	config Config
}

// New returns a reloader.
func New(config Config) *Reloader {
	return &Reloader{config: config}
}

// Run takes SIGHUP in a goroutine of the group, until the context ends.
func (r *Reloader) Run(ctx context.Context, group *conc.WaitGroup) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	group.Go(func() {
		defer signal.Stop(hangups)
		for {
			select {
			case <-ctx.Done():
				return
			case <-hangups:
				r.reload()
			}
		}
	})
}

// reload puts the new settings into force, or keeps the old ones where the new have faults.
func (r *Reloader) reload() {
	flags := flag.NewFlagSet("comfreyhoist node", flag.ContinueOnError)
	s := settings.Register(flags)
	err := s.Parse(flags, r.config.Arguments)
	if err == nil {
		err = s.Check()
	}
	if err != nil {
		r.config.Log.Emit(events.SettingsRefused, events.Fields{"error": err.Error()})
		return
	}
	level, err := zerolog.ParseLevel(s.Log.Level)
	if err != nil {
		r.config.Log.Emit(events.SettingsRefused, events.Fields{"error": err.Error()})
		return
	}
	r.config.Log.SetLevel(level)
	r.config.Log.Emit(events.SettingsReloaded, events.Fields{"log_level": s.Log.Level})
}
