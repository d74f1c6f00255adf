// Package inifile is a strict reader of INI text. It collects all faults of the text, with file, line, section and key.
// Both the settings and the documents of the teams are read by it.
//
// A line is a section, a key = value pair, a comment that begins with # or ;, or empty. Values are neither quoted nor
// interpolated and can't span lines.
//
// # Usage
//
//	f := inifile.Load("node.ini", source)
//	for _, s := range f.Sections() {
//		f.CheckKeys(s, "address")
//	}
//	faults := f.Faults()
package inifile

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"gopkg.in/ini.v1"
)

// Fault is one fault of a file.
type Fault struct {
	// File is the name of the file; empty if the text did not come from a file.
	File string
	// Line is the line number, from 1; 0 if the fault has no line.
	Line    int
	Section string
	Key     string
	Reason  string
}

// Error returns the fault on one line: file, line, section, key and reason. Unknown values are omitted.
func (f Fault) Error() string {
	var b strings.Builder
	switch {
	case f.File != "" && f.Line > 0:
		fmt.Fprintf(&b, "%s:%d: ", f.File, f.Line)
	case f.File != "":
		fmt.Fprintf(&b, "%s: ", f.File)
	case f.Line > 0:
		fmt.Fprintf(&b, "line %d: ", f.Line)
	}
	if f.Section != "" {
		fmt.Fprintf(&b, "[%s] ", f.Section)
	}
	if f.Key != "" {
		fmt.Fprintf(&b, "%s: ", f.Key)
	}
	b.WriteString(f.Reason)
	return b.String()
}

// Faults are all faults that were found.
type Faults []Fault

// Error returns the faults, one per line.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, fault := range f {
		lines = append(lines, fault.Error())
	}
	return strings.Join(lines, "\n")
}

// File is a parsed file with the faults found so far.
type File struct {
	name   string
	ini    *ini.File
	lines  lineIndex
	faults Faults
}

// Load parses INI text. Malformed lines, and sections and keys that occur twice, are added to the faults and ignored.
func Load(name string, source []byte) *File {
	lines, readable := indexLines(source)
	f := &File{name: name, lines: lines}
	for _, info := range lines.rejected {
		f.addFault(info)
	}
	options := ini.LoadOptions{IgnoreInlineComment: true, IgnoreContinuation: true, KeyValueDelimiters: delimiter}
	parsed, err := ini.LoadSources(options, readable)
	if err != nil {
		f.addFault(lineInfo{reason: err.Error()})
		parsed = ini.Empty()
	}
	f.ini = parsed
	return f
}

// Name returns the name of the file.
func (f *File) Name() string {
	return f.name
}

// Sections returns the sections in the order of the file. Keys before the first section are in ini.DefaultSection.
func (f *File) Sections() []*ini.Section {
	return f.ini.Sections()
}

// AddFault adds a fault of a key, or of the whole section if the key is empty.
func (f *File) AddFault(section, key, format string, arguments ...any) {
	if section == ini.DefaultSection {
		section = ""
	}
	reason := fmt.Sprintf(format, arguments...)
	f.addFault(lineInfo{section: section, key: key, line: f.lines.find(section, key), reason: reason})
}

// CheckKeys adds a fault for each key of the section that is not in the list.
func (f *File) CheckKeys(s *ini.Section, known ...string) {
	for _, k := range s.Keys() {
		if !slices.Contains(known, k.Name()) {
			f.AddFault(s.Name(), k.Name(), "unknown key")
		}
	}
}

// Line returns the line number of a key, or of its section if the key is absent, or 0 if both are absent.
func (f *File) Line(section, key string) int {
	return f.lines.find(section, key)
}

// Faults returns the faults sorted by line; nil if there are none.
func (f *File) Faults() Faults {
	slices.SortStableFunc(f.faults, func(a, b Fault) int { return cmp.Compare(a.Line, b.Line) })
	return f.faults
}

func (f *File) addFault(info lineInfo) {
	f.faults = append(f.faults, Fault{File: f.name, Line: info.line, Section: info.section, Key: info.key, Reason: info.reason})
}
