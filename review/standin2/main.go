// Command standin2 plays the cases 6 to 10 of the review. It starts real nodes as separate processes on loopback addresses,
// with stand-ins for the platform's store, the backend servers and the callers, and checks one rule from what these see.
//
// # Usage
//
//	standin2 -case pipeline -node target/comfreyhoist -record record.txt
//
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case couldn't run. With TROUBLE=0 in the
// environment it leaves the disruption out.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxRunTime is the longest time that a case takes.
const maxRunTime = 115 * time.Second

// The exit codes.
const (
	held      = 0
	broken    = 1
	couldNot  = 2
	noTrouble = "0"
)

// cases holds the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(ctx context.Context, d *deployment, trouble bool) (bool, error){}

func main() {
	os.Exit(run())
}

func run() int {
	name := flag.String("case", "", "name of the case")
	node := flag.String("node", "target/comfreyhoist", "path of the node's program")
	path := flag.String("record", "record.txt", "path of the record")
	flag.Parse()
	play, ok := cases[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "standin2: no case", *name)
		return couldNot
	}
	file, err := os.Create(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin2:", err)
		return couldNot
	}
	defer func() { _ = file.Close() }()
	ctx, cancel := context.WithTimeout(context.Background(), maxRunTime)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	r := newRecord(file)
	d, err := newDeployment(ctx, *node, r)
	if err != nil {
		r.printf("couldn't run: %v", err)
		return couldNot
	}
	defer d.close()
	isBroken, err := play(ctx, d, os.Getenv("TROUBLE") != noTrouble)
	switch {
	case err != nil || ctx.Err() != nil:
		r.printf("couldn't run: %v", err)
		return couldNot
	case isBroken:
		r.printf("result: the rule was broken")
		return broken
	}
	r.printf("result: the rule held")
	return held
}
