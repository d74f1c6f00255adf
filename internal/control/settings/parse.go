package settings

import (
	"flag"
	"io"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/peterbourgon/ff/v3"

	"github.com/comfreyhoist/comfreyhoist/internal/control/inifile"
)

// Options returns the ff options for commands without a settings file: a flag overrides the environment.
func Options() []ff.Option {
	return []ff.Option{ff.WithEnvVarPrefix(environmentPrefix)}
}

// Options returns the ff options for the flags that s was registered with. While they are parsed, s records the file
// and line of each value.
func (s *Settings) Options(flags *flag.FlagSet) []ff.Option {
	p := &fileParser{settings: s, flags: flags}
	return []ff.Option{
		ff.WithConfigFileFlag(configFlag),
		ff.WithConfigFileParser(p.parse),
		ff.WithEnvVarPrefix(environmentPrefix),
	}
}

// Parse sets the flags from the arguments, the environment and the INI file named by -config. If the file has faults,
// the error is a trace.BadParameter with the text of inifile.Faults.
func (s *Settings) Parse(flags *flag.FlagSet, arguments []string) error {
	if flags.Lookup(configFlag) == nil {
		flags.String(configFlag, "", "INI file with settings")
	}
	return trace.Wrap(ff.Parse(flags, arguments, s.Options(flags)...))
}

// CheckFile reads settings from INI text, without flags and environment, and returns all of its faults.
func CheckFile(name string, source []byte) inifile.Faults {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	s := Register(flags)
	p := &fileParser{settings: s, flags: flags}
	file := inifile.Load(name, source)
	invalid := p.setAll(file, flags.Set)
	for _, f := range s.faults() {
		if !invalid[f.Section+"."+f.Key] {
			file.AddFault(f.Section, f.Key, "%s", f.Reason)
		}
	}
	return file.Faults()
}

// fileParser sets flags from an INI file.
type fileParser struct {
	settings *Settings
	flags    *flag.FlagSet
}

// parse calls set for each key, under the name section.key.
func (p *fileParser) parse(r io.Reader, set func(name, value string) error) error {
	source, err := io.ReadAll(r)
	if err != nil {
		return trace.Wrap(err)
	}
	file := inifile.Load(p.fileName(), source)
	p.setAll(file, set)
	if faults := file.Faults(); len(faults) > 0 {
		return &trace.BadParameterError{Message: faults.Error()}
	}
	return nil
}

// setAll sets the flag of every key and returns the names of the flags whose values are invalid.
func (p *fileParser) setAll(file *inifile.File, set func(name, value string) error) map[string]bool {
	overridden := map[string]bool{}
	p.flags.Visit(func(f *flag.Flag) { overridden[f.Name] = true })
	invalid := map[string]bool{}
	for _, s := range file.Sections() {
		for _, k := range s.Keys() {
			name := s.Name() + "." + k.Name()
			registered := p.flags.Lookup(name)
			if registered == nil {
				file.AddFault(s.Name(), k.Name(), "unknown key")
				continue
			}
			if err := set(name, k.Value()); err != nil {
				file.AddFault(s.Name(), k.Name(), "%q is not %s", k.Value(), expectedValue(registered))
				invalid[name] = true
			}
			if !overridden[name] {
				p.settings.recordOrigin(file, s.Name(), k.Name())
			}
		}
	}
	return invalid
}

func (p *fileParser) fileName() string {
	if f := p.flags.Lookup(configFlag); f != nil {
		return f.Value.String()
	}
	return ""
}

// expectedValue describes the values that a flag accepts.
func expectedValue(f *flag.Flag) string {
	getter, ok := f.Value.(flag.Getter)
	if !ok {
		return "a value of " + f.Name
	}
	switch getter.Get().(type) {
	case time.Duration:
		return "a duration, such as 250ms"
	case int, int64:
		return "a whole number"
	case bool:
		return "true or false"
	default:
		return "a value of " + f.Name
	}
}

// origin is the file and line of a setting's value.
type origin struct {
	file string
	line int
}

func (s *Settings) recordOrigin(file *inifile.File, section, key string) {
	if s.origins == nil {
		s.origins = map[string]origin{}
	}
	s.origins[section+"."+key] = origin{file: file.Name(), line: file.Line(section, key)}
}

// addOrigins sets the file and line of faults whose values were read from a file.
func (s *Settings) addOrigins(faults inifile.Faults) inifile.Faults {
	for i, f := range faults {
		o := s.origins[f.Section+"."+f.Key]
		faults[i].File, faults[i].Line = o.file, o.line
	}
	return faults
}

func splitName(name string) (section, key string) {
	section, key, _ = strings.Cut(name, ".")
	return section, key
}
