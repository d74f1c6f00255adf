package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/gravitational/trace"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/comfreyhoist/comfreyhoist/internal/control/document"
	"github.com/comfreyhoist/comfreyhoist/internal/control/inifile"
	"github.com/comfreyhoist/comfreyhoist/internal/control/settings"
)

const checkHelp = `Checks a settings file, team documents, or both, and prints each fault with file, line,
section, key and reason. Exits with 1 if there are faults.

Example:
  comfreyhoist check -settings samples/node.ini samples/documents/*.ini`

func checkCommand() *ffcli.Command {
	flags := flag.NewFlagSet("comfreyhoist check", flag.ContinueOnError)
	path := flags.String("settings", "", "settings file to check")
	return &ffcli.Command{
		Name:       "check",
		ShortUsage: "comfreyhoist check [-settings node.ini] [document.ini ...]",
		ShortHelp:  "check settings and team documents",
		LongHelp:   checkHelp,
		FlagSet:    flags,
		Exec: func(_ context.Context, documents []string) error {
			return check(os.Stdout, *path, documents)
		},
	}
}

func check(w io.Writer, settingsPath string, documentPaths []string) error {
	if settingsPath == "" && len(documentPaths) == 0 {
		return trace.BadParameter("no files to check: name a settings file, documents, or both")
	}
	faults, err := checkSettings(settingsPath)
	if err != nil {
		return trace.Wrap(err)
	}
	sources, err := readDocuments(documentPaths)
	if err != nil {
		return trace.Wrap(err)
	}
	faults = append(faults, document.CheckAll(sources)...)
	if len(faults) == 0 {
		return nil
	}
	_, _ = fmt.Fprintln(w, faults.Error())
	return trace.BadParameter("faults: %d", len(faults))
}

func checkSettings(path string) (inifile.Faults, error) {
	if path == "" {
		return nil, nil
	}
	source, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	return settings.CheckFile(path, source), nil
}

func readDocuments(paths []string) ([]document.Source, error) {
	var sources []document.Source
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, trace.ConvertSystemError(err)
		}
		sources = append(sources, document.Source{Name: path, Text: text})
	}
	return sources, nil
}
