package routed

import (
	"context"
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/control/board"
	"github.com/comfreyhoist/comfreyhoist/internal/control/events"
	"github.com/comfreyhoist/comfreyhoist/internal/control/store"
)

// routesWait is how long one watch of the routes waits.
const routesWait = 30 * time.Second

// routesFollower keeps the board's routes in step with the store. They never go back to an older version.
type routesFollower struct {
	loop   *board.Loop
	config Config
}

func newRoutesFollower(loop *board.Loop, config Config) *routesFollower {
	return &routesFollower{loop: loop, config: config}
}

func (f *routesFollower) run(ctx context.Context) {
	store.NewFollower(store.FollowerConfig{
		Store:  f.config.Adapter.Store,
		Prefix: f.config.Adapter.RoutesKey,
		Wait:   routesWait,
		Listed: func(ctx context.Context, s store.Snapshot) {
			for _, item := range s.Items {
				f.take(ctx, item)
			}
		},
		Changed: func(ctx context.Context, c store.Changes) {
			for _, e := range c.Events {
				if !e.Deleted {
					f.take(ctx, e.Item)
				}
			}
		},
		Lost: func(err error) {
			f.config.Log.Emit(events.PlatformLost, events.Fields{"watch": f.config.Adapter.RoutesKey, "error": err.Error()})
		},
		Back: func() { f.config.Log.Emit(events.PlatformBack, events.Fields{"watch": f.config.Adapter.RoutesKey}) },
	}).Run(ctx)
}

// take puts a version into force, unless it has faults or is not newer than the one that is.
func (f *routesFollower) take(ctx context.Context, item store.Item) {
	if item.Key != f.config.Adapter.RoutesKey {
		return
	}
	table, err := f.config.Adapter.DecodeRoutes(item.Value)
	if err != nil {
		f.config.Log.Emit(events.RoutesRefused, events.Fields{"revision": item.Revision, "error": err.Error()})
		return
	}
	if before := f.loop.Snapshot().Routes; before != nil && before.Version >= table.Version {
		return
	}
	f.loop.Do(ctx, func(b *board.Board) { b.Routes = table })
	f.config.Log.Emit(events.RoutesInForce, events.Fields{
		"version": table.Version, "revision": item.Revision, "routes": len(table.Catalogue.Routes),
	})
}
