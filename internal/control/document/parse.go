package document

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"gopkg.in/ini.v1"
)

// The sections and keys of a document.
const (
	serviceSection = "service"
	kindPrefix     = "kind "
)

// Fault is one fault of a document.
type Fault struct {
	// Line counts from 1; 0 where the fault belongs to the whole file.
	Line    int
	Section string
	Key     string
	Reason  string
}

// Error returns the fault on one line.
func (f Fault) Error() string {
	return fmt.Sprintf("line %d: [%s] %s: %s", f.Line, f.Section, f.Key, f.Reason)
}

// Parse reads a document. The error, where there is one, is a trace.BadParameter that joins all Faults.
func Parse(source []byte) (*Document, error) {
	d, faults := Check(source)
	if len(faults) == 0 {
		return d, nil
	}
	var failures []error
	for _, f := range faults {
		failures = append(failures, f)
	}
	return nil, trace.Wrap(&trace.BadParameterError{Message: errors.Join(failures...).Error()})
}

// Check reads a document and returns all its faults.
func Check(source []byte) (*Document, []Fault) {
	file, err := ini.LoadSources(ini.LoadOptions{SkipUnrecognizableLines: false, IgnoreInlineComment: true}, source)
	if err != nil {
		return nil, []Fault{{Reason: "document is not INI: " + err.Error()}}
	}
	r := &reader{lines: indexLines(source)}
	d := r.document(file)
	return d, r.faults
}

// reader collects the faults while it reads one document.
type reader struct {
	lines  lineIndex
	faults []Fault
}

func (r *reader) fault(section, key, format string, arguments ...any) {
	r.faults = append(r.faults, Fault{
		Line:    r.lines.find(section, key),
		Section: section,
		Key:     key,
		Reason:  fmt.Sprintf(format, arguments...),
	})
}

func (r *reader) document(file *ini.File) *Document {
	d := &Document{Attempts: DefaultAttempts}
	for _, s := range file.Sections() {
		switch {
		case s.Name() == ini.DefaultSection:
			r.knownKeys(s)
		case s.Name() == serviceSection:
			r.service(s, d)
		case strings.HasPrefix(s.Name(), kindPrefix):
			d.Kinds = append(d.Kinds, r.kind(s))
		default:
			r.fault(s.Name(), "", "unknown section")
		}
	}
	r.duplicates()
	if d.Service == "" {
		r.fault(serviceSection, "name", "missing")
	}
	if len(d.Kinds) == 0 {
		r.fault(serviceSection, "", "the document has no kinds")
	}
	return d
}

func (r *reader) duplicates() {
	for _, place := range r.lines.repeated {
		r.faults = append(r.faults, Fault{Line: place.line, Section: place.section, Key: place.key, Reason: "stands twice"})
	}
}

func (r *reader) knownKeys(s *ini.Section, known ...string) {
	for _, k := range s.Keys() {
		if !contains(known, k.Name()) {
			r.fault(s.Name(), k.Name(), "unknown key")
		}
	}
}

func (r *reader) service(s *ini.Section, d *Document) {
	r.knownKeys(s, "name", "team", "attempts")
	d.Service = s.Key("name").String()
	if d.Service != "" && !validName(d.Service) {
		r.fault(s.Name(), "name", "%q is not lower-case letters, digits, - and _", d.Service)
	}
	d.Team = s.Key("team").String()
	if d.Team == "" {
		r.fault(s.Name(), "team", "missing")
	}
	d.Attempts = r.integer(s, "attempts", DefaultAttempts, 0, MaxAttempts)
}

func (r *reader) kind(s *ini.Section) Kind {
	r.knownKeys(s, "method", "path", "rank", "idempotent", "deadline", "share")
	k := Kind{Name: strings.TrimSpace(strings.TrimPrefix(s.Name(), kindPrefix))}
	if !validName(k.Name) {
		r.fault(s.Name(), "", "%q is not lower-case letters, digits, - and _", k.Name)
	}
	k.Method = s.Key("method").MustString("*")
	if k.Method != strings.ToUpper(k.Method) {
		r.fault(s.Name(), "method", "%q is not upper-case", k.Method)
	}
	k.Path = s.Key("path").String()
	if !strings.HasPrefix(k.Path, "/") || strings.Contains(strings.TrimSuffix(k.Path, "*"), "*") {
		r.fault(s.Name(), "path", "%q does not begin with / or has * before its end", k.Path)
	}
	k.Rank = r.integer(s, "rank", -1, MostUrgentRank, LeastUrgentRank)
	k.Share = r.integer(s, "share", 1, 1, MaxShare)
	k.Idempotent = r.boolean(s, "idempotent")
	k.Deadline = r.duration(s, "deadline", DefaultDeadline, time.Millisecond, MaxDeadline)
	return k
}

func (r *reader) integer(s *ini.Section, key string, absent, low, high int) int {
	text := s.Key(key).String()
	if text == "" && absent >= low {
		return absent
	}
	value, err := strconv.Atoi(text)
	if err != nil || value < low || value > high {
		r.fault(s.Name(), key, "%q is not a whole number from %d to %d", text, low, high)
	}
	return value
}

func (r *reader) boolean(s *ini.Section, key string) bool {
	text := s.Key(key).String()
	if text != "true" && text != "false" {
		r.fault(s.Name(), key, "%q is not true or false", text)
	}
	return text == "true"
}

func (r *reader) duration(s *ini.Section, key string, absent, low, high time.Duration) time.Duration {
	text := s.Key(key).String()
	if text == "" {
		return absent
	}
	value, err := time.ParseDuration(text)
	if err != nil || value < low || value > high {
		r.fault(s.Name(), key, "%q is not a duration from %s to %s, such as 800ms", text, low, high)
	}
	return value
}

func contains(known []string, name string) bool {
	for _, k := range known {
		if k == name {
			return true
		}
	}
	return false
}

func validName(name string) bool {
	for _, c := range name {
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' && c != '_' {
			return false
		}
	}
	return name != ""
}
