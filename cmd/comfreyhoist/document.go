package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/gravitational/trace"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/comfreyhoist/comfreyhoist/internal/control/operator"
	"github.com/comfreyhoist/comfreyhoist/internal/control/settings"
	"github.com/comfreyhoist/comfreyhoist/internal/control/zone"
	"github.com/comfreyhoist/comfreyhoist/internal/process/terminal"
)

// apiFlags holds the flags of the commands that call the administration API of a node.
type apiFlags struct {
	address string
	token   string
	timeout time.Duration
	json    bool
}

// operatorTimeout is the default timeout of one call of the administration API.
const operatorTimeout = 10 * time.Second

func (api *apiFlags) register(flags *flag.FlagSet) {
	flags.StringVar(&api.address, "address", "127.0.0.1:7003", "IP and port of a node's administration API")
	flags.StringVar(&api.token, "token", "", "bearer token; better set as COMFREYHOIST_TOKEN, which other users can't see")
	flags.DurationVar(&api.timeout, "timeout", operatorTimeout, "timeout of one call")
	flags.BoolVar(&api.json, "json", false, "print JSON instead of a table")
}

func (api *apiFlags) client() *operator.Client {
	return operator.NewClient(operator.ClientConfig{Address: api.address, Token: api.token, Timeout: api.timeout})
}

// clientCommand returns a command that calls the administration API of a node.
func clientCommand(name, usage, help string, flags *flag.FlagSet, api *apiFlags, run func(context.Context, []string) error) *ffcli.Command {
	api.register(flags)
	return &ffcli.Command{
		Name:       name,
		ShortUsage: usage,
		ShortHelp:  help,
		LongHelp:   "Example:\n  " + usage,
		FlagSet:    flags,
		Options:    settings.Options(),
		Exec:       run,
	}
}

func documentCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:        "document",
		ShortUsage:  "comfreyhoist document get|put|list|history [flags] [service] [file]",
		ShortHelp:   "read and write the teams' documents",
		LongHelp:    "Example:\n  comfreyhoist document list -address 10.0.1.21:7003",
		FlagSet:     flag.NewFlagSet("comfreyhoist document", flag.ContinueOnError),
		Subcommands: []*ffcli.Command{getCommand(), putCommand(), listCommand(), historyCommand()},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
}

func getCommand() *ffcli.Command {
	var api apiFlags
	flags := flag.NewFlagSet("comfreyhoist document get", flag.ContinueOnError)
	usage := "comfreyhoist document get -address 10.0.1.21:7003 bookings"
	return clientCommand("get", usage, "print a document; its tag goes to standard error", flags, &api, func(ctx context.Context, arguments []string) error {
		if len(arguments) != 1 {
			return flag.ErrHelp
		}
		stored, err := api.client().Get(ctx, arguments[0])
		if err != nil {
			return trace.Wrap(err)
		}
		if api.json {
			return printJSON(stored)
		}
		fmt.Print(stored.Source)
		fmt.Fprintln(os.Stderr, "tag:", stored.Tag())
		return nil
	})
}

func putCommand() *ffcli.Command {
	var api apiFlags
	flags := flag.NewFlagSet("comfreyhoist document put", flag.ContinueOnError)
	expected := flags.String("expected", "", "tag of the document to be replaced; empty for a new one")
	operation := flags.String("operation", "", "id of the edit; the same id may be sent again and is carried out once")
	usage := "comfreyhoist document put -expected 3-1f0c2a9e bookings bookings.ini"
	return clientCommand("put", usage, "write a document", flags, &api, func(ctx context.Context, arguments []string) error {
		if len(arguments) != 2 {
			return flag.ErrHelp
		}
		source, err := os.ReadFile(arguments[1])
		if err != nil {
			return trace.ConvertSystemError(err)
		}
		stored, err := api.client().Put(ctx, arguments[0], source, *expected, *operation)
		if err != nil {
			return explainPutError(err)
		}
		if api.json {
			return printJSON(stored)
		}
		fmt.Println("accepted:", stored.Tag())
		return nil
	})
}

// explainPutError returns the error of an edit. If it is unknown whether the edit took effect, the error also says how
// to repeat it.
func explainPutError(err error) error {
	var refusal *operator.Error
	if errors.As(err, &refusal) && refusal.Code == operator.CodeUnsettled {
		return fmt.Errorf("%w\nsend it again with -operation %s", refusal, refusal.Operation)
	}
	return trace.Wrap(err)
}

func listCommand() *ffcli.Command {
	var api apiFlags
	flags := flag.NewFlagSet("comfreyhoist document list", flag.ContinueOnError)
	usage := "comfreyhoist document list -address 10.0.1.21:7003"
	return clientCommand("list", usage, "list the documents in force on a node", flags, &api, func(ctx context.Context, _ []string) error {
		summaries, err := api.client().List(ctx)
		if err != nil {
			return trace.Wrap(err)
		}
		if api.json {
			return printJSON(summaries)
		}
		table := terminal.NewTable(os.Stdout, "SERVICE", "TEAM", "REVISION", "EDITOR", "ACCEPTED")
		for _, s := range summaries {
			table.Row(s.Service, s.Team, s.Revision, s.Editor, s.Accepted.Format(time.RFC3339))
		}
		return trace.Wrap(table.Flush())
	})
}

func historyCommand() *ffcli.Command {
	var api apiFlags
	flags := flag.NewFlagSet("comfreyhoist document history", flag.ContinueOnError)
	usage := "comfreyhoist document history bookings"
	return clientCommand("history", usage, "list the edits of a document, the newest first", flags, &api, func(ctx context.Context, arguments []string) error {
		if len(arguments) != 1 {
			return flag.ErrHelp
		}
		edits, err := api.client().History(ctx, arguments[0])
		if err != nil {
			return trace.Wrap(err)
		}
		if api.json {
			return printJSON(edits)
		}
		return printEdits(edits)
	})
}

func printEdits(edits []zone.StoredDocument) error {
	table := terminal.NewTable(os.Stdout, "TAG", "EDITOR", "ACCEPTED", "OPERATION", "BYTES")
	for _, e := range edits {
		table.Row(e.Tag(), e.Editor, e.Time.Format(time.RFC3339), e.Operation, len(e.Source))
	}
	return trace.Wrap(table.Flush())
}

func printJSON(value any) error {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return trace.Wrap(encoder.Encode(value))
}
