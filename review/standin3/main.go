// Command standin3 plays the cases of the third review: it starts real nodes as processes, and stands in for the platform's store,
// the upstreams and the clients.
//
// # Usage
//
//	standin3 -case 11 -program target/comfreyhoist -record review/11/record.txt
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. With TROUBLE=0 in the environment, the
// disruption is left out.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The results of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// play is one case. It returns broken or held, or an error if it couldn't run.
type play func(d *deployment, trouble bool) (int, error)

var plays = map[int]play{
	11: smuggled,
	12: plannedStop,
	13: poisonedRoutes,
}

func main() {
	number := flag.Int("case", 0, "number of the case")
	program := flag.String("program", "target/comfreyhoist", "the node's program")
	path := flag.String("record", "record.txt", "file to write the record to")
	onlyGate := flag.Bool("gate", false, "use the gate of a node alone, without any process, while its time of day goes back")
	flag.Parse()
	if *onlyGate {
		os.Exit(useGate(os.Getenv("TROUBLE") != "0"))
	}
	os.Exit(playCase(*number, *program, *path))
}

func playCase(number int, program, path string) int {
	p, known := plays[number]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown case", number)
		return failed
	}
	r, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	folder, err := os.MkdirTemp("", "standin3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	keep := os.Getenv("KEEP_LOGS") != ""
	defer func() {
		if !keep {
			_ = os.RemoveAll(folder)
		}
	}()
	d, err := newDeployment(r, program, folder)
	if err != nil {
		r.say("the case couldn't run: %v", err)
		return failed
	}
	defer d.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	type outcome struct {
		code int
		err  error
	}
	played := make(chan outcome, 1)
	go func() {
		code, err := p(d, os.Getenv("TROUBLE") != "0")
		played <- outcome{code, err}
	}()
	select {
	case o := <-played:
		if o.err != nil {
			r.say("the case couldn't run: %v", o.err)
			return failed
		}
		return o.code
	case s := <-stop:
		r.say("stopped by %v", s)
	case <-time.After(110 * time.Second):
		r.say("the case took too long")
	}
	return failed
}
