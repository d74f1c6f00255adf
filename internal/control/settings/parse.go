package settings

import (
	"flag"
	"io"

	"github.com/gravitational/trace"
	"github.com/peterbourgon/ff/v3"
	"gopkg.in/ini.v1"
)

// Options are the options of ff that every command uses to read its flags.
func Options() []ff.Option {
	return []ff.Option{
		ff.WithConfigFileFlag("config"),
		ff.WithConfigFileParser(parseINI),
		ff.WithEnvVarPrefix(environmentVarsPrefix),
	}
}

// Parse reads the flags from the arguments, the environment and the INI file that -config names.
func Parse(flags *flag.FlagSet, arguments []string) error {
	if flags.Lookup("config") == nil {
		flags.String("config", "", "INI file with settings")
	}
	return trace.Wrap(ff.Parse(flags, arguments, Options()...))
}

// parseINI hands each key of each section on as section.key.
func parseINI(r io.Reader, set func(name, value string) error) error {
	source, err := io.ReadAll(r)
	if err != nil {
		return trace.Wrap(err)
	}
	file, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true}, source)
	if err != nil {
		return trace.BadParameter("settings are not INI: %v", err)
	}
	for _, s := range file.Sections() {
		for _, k := range s.Keys() {
			if err := set(s.Name()+"."+k.Name(), k.String()); err != nil {
				return trace.BadParameter("[%s] %s: %v", s.Name(), k.Name(), err)
			}
		}
	}
	return nil
}
