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
	serviceSection    = "service"
	kindSectionPrefix = "kind "
)

// Parse reads a document. If it has faults, the error is a trace.BadParameter that lists all of them.
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

// ParseFile reads a document and returns all of its faults, which include the name of the file.
func ParseFile(name string, source []byte) (*Document, inifile.Faults) {
	r := &reader{file: inifile.Load(name, source)}
	d := r.document()
	if faults := r.file.Faults(); len(faults) > 0 {
		return nil, faults
	}
	return d, nil
}

// reader parses one document and collects its faults.
type reader struct {
	file *inifile.File
}

func (r *reader) document() *Document {
	d := &Document{AttemptAllowance: DefaultAttemptAllowance}
	for _, s := range r.file.Sections() {
		switch {
		case s.Name() == ini.DefaultSection:
			r.file.CheckKeys(s)
		case s.Name() == serviceSection:
			r.service(s, d)
		case strings.HasPrefix(s.Name(), kindSectionPrefix):
			d.Kinds = append(d.Kinds, r.kind(s))
		default:
			r.file.AddFault(s.Name(), "", "unknown section")
		}
	}
	if d.Service == "" {
		r.file.AddFault(serviceSection, "name", "missing")
	}
	if len(d.Kinds) == 0 {
		r.file.AddFault(serviceSection, "", "the document has no kinds")
	}
	r.reportHiddenKinds(d.Kinds)
	return d
}

// reportHiddenKinds adds a fault for each kind that never applies because an earlier kind matches all of its requests.
func (r *reader) reportHiddenKinds(kinds []Kind) {
	for i, k := range kinds {
		for _, above := range kinds[:i] {
			if above.covers(k) {
				r.file.AddFault(kindSectionPrefix+k.Name, "path", "never matches: kind %s above takes all of its requests", above.Name)
				break
			}
		}
	}
}

func (r *reader) service(s *ini.Section, d *Document) {
	r.file.CheckKeys(s, "name", "team", "attempts")
	d.Service = keyValue(s, "name")
	if d.Service != "" && !isValidName(d.Service) {
		r.file.AddFault(s.Name(), "name", "%q is not lower-case letters, digits, - and _", d.Service)
	}
	d.Team = keyValue(s, "team")
	if d.Team == "" {
		r.file.AddFault(s.Name(), "team", "missing")
	}
	d.AttemptAllowance = r.integer(s, "attempts", DefaultAttemptAllowance, 0, MaxAttemptAllowance)
}

func (r *reader) kind(s *ini.Section) Kind {
	r.file.CheckKeys(s, "method", "path", "rank", "idempotent", "deadline", "share")
	k := Kind{Name: strings.TrimSpace(strings.TrimPrefix(s.Name(), kindSectionPrefix))}
	if !isValidName(k.Name) {
		r.file.AddFault(s.Name(), "", "%q is not lower-case letters, digits, - and _", k.Name)
	}
	k.Method = r.method(s)
	k.Path = keyValue(s, "path")
	if !strings.HasPrefix(k.Path, "/") || strings.Contains(strings.TrimSuffix(k.Path, "*"), "*") {
		r.file.AddFault(s.Name(), "path", "%q does not begin with / or has * before its end", k.Path)
	}
	k.Rank = r.integer(s, "rank", -1, MostUrgentRank, LeastUrgentRank)
	k.Share = r.integer(s, "share", 1, 1, MaxShare)
	k.Idempotent = r.boolean(s, "idempotent")
	k.Deadline = r.duration(s, "deadline", DefaultDeadline, time.Millisecond, MaxDeadline)
	return k
}

func (r *reader) method(s *ini.Section) string {
	method := keyValue(s, "method")
	if method == "" {
		return AnyMethod
	}
	for _, c := range strings.TrimPrefix(method, AnyMethod) {
		if c < 'A' || c > 'Z' {
			r.file.AddFault(s.Name(), "method", "%q is not an HTTP method in upper case or *", method)
			break
		}
	}
	return method
}

func (r *reader) integer(s *ini.Section, key string, defaultValue, low, high int) int {
	text := keyValue(s, key)
	if text == "" && defaultValue >= low {
		return defaultValue
	}
	number, err := strconv.Atoi(text)
	if err != nil || number < low || number > high {
		r.file.AddFault(s.Name(), key, "%q is not a whole number from %d to %d", text, low, high)
	}
	return number
}

func (r *reader) boolean(s *ini.Section, key string) bool {
	text := keyValue(s, key)
	if text != "true" && text != "false" {
		r.file.AddFault(s.Name(), key, "%q is not true or false", text)
	}
	return text == "true"
}

func (r *reader) duration(s *ini.Section, key string, defaultValue, low, high time.Duration) time.Duration {
	text := keyValue(s, key)
	if text == "" {
		return defaultValue
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < low || d > high {
		r.file.AddFault(s.Name(), key, "%q is not a duration from %s to %s, such as 800ms", text, low, high)
	}
	return d
}

// keyValue returns the value of the key in the section itself, or "" if the key is absent.
func keyValue(s *ini.Section, key string) string {
	if !s.HasKey(key) {
		return ""
	}
	return s.Key(key).Value()
}

func isValidName(name string) bool {
	for _, c := range name {
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' && c != '_' {
			return false
		}
	}
	return name != ""
}
