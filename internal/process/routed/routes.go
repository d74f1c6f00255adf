package routed

import (
	"context"
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/control/board"
	"github.com/comfreyhoist/comfreyhoist/internal/control/events"
	"github.com/comfreyhoist/comfreyhoist/internal/control/store"
)

// routesWatchTimeout is how long one watch of the routes waits for a change.
const routesWatchTimeout = 30 * time.Second

// routesFollower updates the board's routes from the store. It never replaces them by an older version.
type routesFollower struct {
	loop   *board.Loop
	config Config
}

func newRoutesFollower(loop *board.Loop, config Config) *routesFollower {
	return &routesFollower{loop: loop, config: config}
}

func (f *routesFollower) run(ctx context.Context) {
	store.NewFollower(store.FollowerConfig{
		Store:        f.config.Adapter.Store,
		Prefix:       f.config.Adapter.RoutesKey,
		WatchTimeout: routesWatchTimeout,
		OnList: func(ctx context.Context, s store.Snapshot) {
			for _, item := range s.Items {
				f.apply(ctx, item)
			}
		},
		OnChange: func(ctx context.Context, c store.Changes) {
			for _, e := range c.Events {
				if !e.Deleted {
					f.apply(ctx, e.Item)
				}
			}
		},
		OnLost: func(err error) {
			f.config.Log.Emit(events.PlatformLost, events.Fields{"watch": f.config.Adapter.RoutesKey, "error": err.Error()})
		},
		OnRecovered: func() { f.config.Log.Emit(events.PlatformBack, events.Fields{"watch": f.config.Adapter.RoutesKey}) },
	}).Run(ctx)
}

// apply puts the routes of the item into force. Routes with faults are logged and ignored, and routes that are not
// newer than those in force are ignored.
func (f *routesFollower) apply(ctx context.Context, item store.Item) {
	if item.Key != f.config.Adapter.RoutesKey {
		return
	}
	table, err := f.config.Adapter.DecodeRoutes(item.Value)
	if err != nil {
		f.config.Log.Emit(events.RoutesRefused, events.Fields{"revision": item.Revision, "error": err.Error()})
		return
	}
	if current := f.loop.Snapshot().Routes; current != nil && current.Version >= table.Version {
		return
	}
	f.loop.Do(ctx, func(b *board.Board) { b.Routes = table })
	f.config.Log.Emit(events.RoutesInForce, events.Fields{
		"version": table.Version, "revision": item.Revision, "routes": len(table.Configuration.Routes),
	})
}
