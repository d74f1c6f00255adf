package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
	"unsafe"

	"github.com/comfreyhoist/comfreyhoist/internal/control/settings"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/admission"
	"github.com/comfreyhoist/comfreyhoist/internal/process/parts"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/backend"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
)

const (
	// gateTime is how long the gate is used, and gateStep when the clock goes back, by stepSeconds.
	gateTime    = 10 * time.Second
	gateStep    = 3 * time.Second
	stepSeconds = 2
	// gateSlots is the number of slots, and gateInterval the time between two calls, which are more than the slots can run.
	gateSlots    = 12
	gateInterval = 2 * time.Millisecond
	holdTime     = 55 * time.Millisecond
	// rootAge is the longest time for which the root of a call has run.
	rootAge = 1500 * time.Millisecond
	// hangTime is how long the gate may take to tell its load.
	hangTime = 3 * time.Second
)

// steppedBack returns the time as a clock shows it whose time of day has gone back by stepSeconds, while its steady clock goes on: with
// the same reading of the steady clock.
func steppedBack(t time.Time) time.Time {
	const secondShift = 30 // the layout of time.Time with a reading of the steady clock
	wall := (*uint64)(unsafe.Pointer(&t))
	*wall -= stepSeconds << secondShift
	return t
}

// useGate lets calls of one kind wait at the gate of a node, half of them of roots that began at the node itself and half at others, while
// the time of day of the node goes back. It is no case: no process is started.
func useGate(trouble bool) int {
	config := parts.GateConfig(&settings.Settings{Backend: settings.Backend{MaxWait: 100 * time.Millisecond}})
	config.Limit.Fixed = true
	gate := backend.NewGate(config)
	gate.Announce(gateSlots, gateSlots)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group sync.WaitGroup
	group.Go(func() { gate.Run(ctx, parts.GatePollInterval) })
	var ran, refused atomic.Int64
	begun, hung := time.Now(), make(chan struct{})
	go func() {
		for ctx.Err() == nil {
			answered := make(chan struct{})
			go func() { _ = gate.Load(); close(answered) }()
			select {
			case <-answered:
			case <-time.After(hangTime):
				close(hung)
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
	}()
	for time.Since(begun) < gateTime {
		start := time.Now().Add(-time.Duration(rand.Int64N(int64(rootAge))))
		isStepped := trouble && start.Sub(begun) > gateStep
		root := time.UnixMicro(start.UnixMicro())
		if rand.IntN(2) == 0 {
			root = start
			if isStepped {
				root = steppedBack(start)
			}
		}
		r := &call.Request{Kind: "keys", Depth: 1, Deadline: time.Now().Add(700 * time.Millisecond), Root: call.Root{Rank: 1, Start: root}}
		go func() {
			callCtx, end := context.WithDeadline(ctx, r.Deadline)
			defer end()
			slot, _, admitted := gate.Acquire(callCtx, r, 1)
			if !admitted {
				refused.Add(1)
				return
			}
			time.Sleep(holdTime)
			ran.Add(1)
			gate.Release(admission.Sample{Kind: r.Kind, HoldTime: holdTime, ServiceTime: holdTime, SaturatedLimit: slot.SaturatedLimit})
		}()
		select {
		case <-hung:
			fmt.Printf("the gate hangs: it has told no load for %v; %d calls ran and %d were refused until then, %.1f s after the start\n",
				hangTime, ran.Load(), refused.Load(), (time.Since(begun) - hangTime).Seconds())
			return broken
		case <-time.After(gateInterval):
		}
	}
	fmt.Printf("the gate works: %d calls ran, %d were refused\n", ran.Load(), refused.Load())
	return held
}
