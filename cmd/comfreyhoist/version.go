package main

import (
	"context"
	"flag"
	"fmt"
	"runtime/debug"

	"github.com/peterbourgon/ff/v3/ffcli"
)

const versionHelp = `Prints the version, the revision that the program was built from, and the Go version.

Example:
  comfreyhoist version`

// version is the version of the program. The entries of the event catalogue name the version that introduced them.
const version = "0.1"

func versionCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       "version",
		ShortUsage: "comfreyhoist version",
		ShortHelp:  "print the version",
		LongHelp:   versionHelp,
		FlagSet:    flag.NewFlagSet("comfreyhoist version", flag.ContinueOnError),
		Exec: func(context.Context, []string) error {
			fmt.Println(versionLine())
			return nil
		},
	}
}

func versionLine() string {
	revision, goVersion := "unknown", "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		goVersion = info.GoVersion
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				revision = s.Value
			}
		}
	}
	return fmt.Sprintf("comfreyhoist %s, revision %s, %s", version, revision, goVersion)
}
