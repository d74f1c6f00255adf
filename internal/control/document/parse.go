package document

import (
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"gopkg.in/ini.v1"

	"github.com/comfreyhoist/comfreyhoist/internal/control/inifile"
)

// The sections of a document.
const (
	serviceSection = "service"
	kindPrefix     = "kind "
)

// Parse reads a document. The error, where there is one, is a trace.BadParameter that names all faults.
func Parse(source []byte) (*Document, error) {
	d, faults := Check(source)
	if len(faults) > 0 {
		return nil, trace.Wrap(&trace.BadParameterError{Message: faults.Error()})
	}
	return d, nil
}

// Fault is one fault of a document.
type Fault = inifile.Fault

// Check reads a document and returns all of its faults.
func Check(source []byte) (*Document, inifile.Faults) {
	return ParseFile("", source)
}

// ParseFile reads a document and returns all of its faults, which carry the name of the file.
func ParseFile(name string, source []byte) (*Document, inifile.Faults) {
	r := &reader{file: inifile.Load(name, source)}
	d := r.document()
	if faults := r.file.Faults(); len(faults) > 0 {
		return nil, faults
	}
	return d, nil
}

// reader reads one document.
type reader struct {
	file *inifile.File
}

func (r *reader) document() *Document {
	d := &Document{Attempts: DefaultAttempts}
	for _, s := range r.file.Sections() {
		switch {
		case s.Name() == ini.DefaultSection:
			r.file.KnownKeys(s)
		case s.Name() == serviceSection:
			r.service(s, d)
		case strings.HasPrefix(s.Name(), kindPrefix):
			d.Kinds = append(d.Kinds, r.kind(s))
		default:
			r.file.Fault(s.Name(), "", "unknown section")
		}
	}
	if d.Service == "" {
		r.file.Fault(serviceSection, "name", "missing")
	}
	if len(d.Kinds) == 0 {
		r.file.Fault(serviceSection, "", "the document has no kinds")
	}
	r.hidden(d.Kinds)
	return d
}

// hidden notes the kinds that no request reaches, because one above takes all of theirs.
func (r *reader) hidden(kinds []Kind) {
	for i, k := range kinds {
		for _, above := range kinds[:i] {
			if above.covers(k) {
				r.file.Fault(kindPrefix+k.Name, "path", "never matches: kind %s above takes all of its requests", above.Name)
				break
			}
		}
	}
}

func (r *reader) service(s *ini.Section, d *Document) {
	r.file.KnownKeys(s, "name", "team", "attempts")
	d.Service = value(s, "name")
	if d.Service != "" && !validName(d.Service) {
		r.file.Fault(s.Name(), "name", "%q is not lower-case letters, digits, - and _", d.Service)
	}
	d.Team = value(s, "team")
	if d.Team == "" {
		r.file.Fault(s.Name(), "team", "missing")
	}
	d.Attempts = r.integer(s, "attempts", DefaultAttempts, 0, MaxAttempts)
}

func (r *reader) kind(s *ini.Section) Kind {
	r.file.KnownKeys(s, "method", "path", "rank", "idempotent", "deadline", "share")
	k := Kind{Name: strings.TrimSpace(strings.TrimPrefix(s.Name(), kindPrefix))}
	if !validName(k.Name) {
		r.file.Fault(s.Name(), "", "%q is not lower-case letters, digits, - and _", k.Name)
	}
	k.Method = r.method(s)
	k.Path = value(s, "path")
	if !strings.HasPrefix(k.Path, "/") || strings.Contains(strings.TrimSuffix(k.Path, "*"), "*") {
		r.file.Fault(s.Name(), "path", "%q does not begin with / or has * before its end", k.Path)
	}
	k.Rank = r.integer(s, "rank", -1, MostUrgentRank, LeastUrgentRank)
	k.Share = r.integer(s, "share", 1, 1, MaxShare)
	k.Idempotent = r.boolean(s, "idempotent")
	k.Deadline = r.duration(s, "deadline", DefaultDeadline, time.Millisecond, MaxDeadline)
	return k
}

func (r *reader) method(s *ini.Section) string {
	method := value(s, "method")
	if method == "" {
		return AnyMethod
	}
	for _, c := range strings.TrimPrefix(method, AnyMethod) {
		if c < 'A' || c > 'Z' {
			r.file.Fault(s.Name(), "method", "%q is not an HTTP method in upper case or *", method)
			break
		}
	}
	return method
}

func (r *reader) integer(s *ini.Section, key string, absent, low, high int) int {
	text := value(s, key)
	if text == "" && absent >= low {
		return absent
	}
	number, err := strconv.Atoi(text)
	if err != nil || number < low || number > high {
		r.file.Fault(s.Name(), key, "%q is not a whole number from %d to %d", text, low, high)
	}
	return number
}

func (r *reader) boolean(s *ini.Section, key string) bool {
	text := value(s, key)
	if text != "true" && text != "false" {
		r.file.Fault(s.Name(), key, "%q is not true or false", text)
	}
	return text == "true"
}

func (r *reader) duration(s *ini.Section, key string, absent, low, high time.Duration) time.Duration {
	text := value(s, key)
	if text == "" {
		return absent
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < low || d > high {
		r.file.Fault(s.Name(), key, "%q is not a duration from %s to %s, such as 800ms", text, low, high)
	}
	return d
}

// value returns the key's own text, or "" where the key is absent.
func value(s *ini.Section, key string) string {
	if !s.HasKey(key) {
		return ""
	}
	return s.Key(key).Value()
}

func validName(name string) bool {
	for _, c := range name {
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' && c != '_' {
			return false
		}
	}
	return name != ""
}
