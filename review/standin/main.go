// Command standin plays one case of the review: it starts nodes with the command of the deploy file, the platform's store,
// upstreams and clients on loopback addresses, and judges what clients and upstreams have seen.
//
// # Usage
//
//	standin CASE RECORD
//
// It is started by the run.sh of a case, in the repository's root. With TROUBLE=0 in the environment it leaves the
// disruption out. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxDuration is how long a case may run.
const maxDuration = 110 * time.Second

// The exit codes.
const (
	held   = 0
	broken = 1
	failed = 2
)

// testCase runs a case and reports whether the rule was broken.
type testCase func(record *recorder, trouble bool) (isBroken bool, err error)

var cases = map[string]testCase{
	"twice":     runTwice,
	"stop":      runStop,
	"slow":      runSlow,
	"memory":    runMemory,
	"withdrawn": runWithdrawn,
	"leave":     runLeave,
	"late":      runLate,
	"restarted": runRestarted,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(failed)
	}
	record, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	endInTime(record)
	isBroken, err := cases[os.Args[1]](record, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		record.say("the case couldn't run: %v", err)
		os.Exit(failed)
	case isBroken:
		record.say("the rule was broken")
		os.Exit(broken)
	}
	record.say("the rule held")
	os.Exit(held)
}

// endInTime ends the processes of the case, and the case with failed, when it takes too long or gets a signal.
func endInTime(record *recorder) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		select {
		case s := <-signals:
			record.say("the case couldn't run: %v", s)
		case <-time.After(maxDuration):
			record.say("the case couldn't run: it took longer than %s", maxDuration)
		}
		if d := running.Load(); d != nil {
			d.stop()
		}
		os.Exit(failed)
	}()
}
