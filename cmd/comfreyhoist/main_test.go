package main

import (
	"bytes"
	"context"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/peterbourgon/ff/v3/ffcli"
)

func TestSamplesAreValid(t *testing.T) {
	is := is.New(t)
	documents, err := filepath.Glob("../../samples/documents/*.ini")
	is.NoErr(err)
	is.Equal(len(documents), 8) // one for each service of the two deployments
	var out bytes.Buffer
	is.NoErr(check(&out, "../../samples/node.ini", documents))
	is.Equal(out.String(), "")
}

func TestCheckReportsEachFault(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	err := check(&out, "testdata/node.ini", []string{"testdata/first.ini", "testdata/second.ini"})
	is.True(err != nil)
	is.Equal(strings.TrimSpace(out.String()), strings.Join([]string{
		"testdata/node.ini:1: [node] zones: must hold node.zone",
		"testdata/node.ini:4: [node] colour: unknown key",
		"testdata/node.ini:8: [caller] max_body: \"1 MB\" is not a whole number",
		"testdata/node.ini:9: [caller] header_timeout: is longer than caller.body_timeout, which counts the headers too",
		"testdata/node.ini:13: [peer] address: is the same as caller.address",
		"testdata/node.ini:18: [platform] stands twice",
		"testdata/second.ini:2: [service] name: the service access is described by testdata/first.ini too",
	}, "\n"))
}

func TestCheckWithoutFilesFails(t *testing.T) {
	is := is.New(t)
	is.True(check(&bytes.Buffer{}, "", nil) != nil)
	is.True(check(&bytes.Buffer{}, "testdata/absent.ini", nil) != nil)
}

func TestEveryCommandHasAnExample(t *testing.T) {
	for _, c := range withSubcommands(rootCommand()) {
		t.Run(c.ShortUsage, func(t *testing.T) {
			is := is.New(t)
			text := helpOf(c)
			is.True(strings.Contains(text, "Example:\n  comfreyhoist ")) // the help has an example
			is.True(c.ShortHelp != "" || c.Name == "comfreyhoist")
		})
	}
}

func withSubcommands(c *ffcli.Command) []*ffcli.Command {
	found := []*ffcli.Command{c}
	for _, s := range c.Subcommands {
		found = append(found, withSubcommands(s)...)
	}
	return found
}

func helpOf(c *ffcli.Command) string {
	if c.UsageFunc != nil {
		return c.UsageFunc(c)
	}
	return ffcli.DefaultUsageFunc(c)
}

func TestExitCodes(t *testing.T) {
	for arguments, want := range map[string]int{
		"nodes":                  exitFailure,
		"check testdata/absent":  exitFailure,
		"check":                  exitFailure,
		"document put":           exitUsage,
		"":                       exitUsage,
		"check -h":               0,
		"document history -help": 0,
	} {
		t.Run(arguments, func(t *testing.T) {
			is := is.New(t)
			fields := strings.Fields(arguments)
			err := rootCommand().ParseAndRun(context.Background(), fields)
			is.Equal(reportError(err, fields), want)
		})
	}
}

func TestVersionNamesGo(t *testing.T) {
	is := is.New(t)
	is.True(strings.HasPrefix(versionLine(), "comfreyhoist "+version+", revision "))
}
