// Package reload reloads the settings of a running node when the process gets SIGHUP.
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

// Config configures a Reloader.
type Config struct {
	// Arguments are the command line arguments, without the flags that override the file.
	Arguments []string
	Log       *events.Log
}

// Reloader reloads the settings when the process gets SIGHUP. Only a changed log level takes effect in a running node.
// All other changes take effect at the next start.
type Reloader struct {
	config Config
}

// New returns a Reloader that does not handle SIGHUP before Run.
func New(config Config) *Reloader {
	return &Reloader{config: config}
}

// Run handles SIGHUP in a goroutine of the group until the context ends.
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

// reload applies the new settings, or keeps the old ones if the new ones have faults.
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
