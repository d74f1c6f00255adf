package inifile

import (
	"bytes"
	"strings"

	"gopkg.in/ini.v1"
)

const (
	delimiter     = "="
	byteOrderMark = "\ufeff"
)

// lineInfo is the section or key on a line, and the reason if the line is rejected.
type lineInfo struct {
	section string
	key     string
	line    int
	reason  string
}

// lineIndex maps sections and keys to line numbers, which the INI library does not provide.
type lineIndex struct {
	lineOf   map[[2]string]int
	rejected []lineInfo
}

// indexLines returns the index, and the text with the rejected lines blanked.
func indexLines(source []byte) (lineIndex, []byte) {
	x := lineIndex{lineOf: map[[2]string]int{}}
	section := ""
	var readable bytes.Buffer
	for i, line := range strings.Split(strings.TrimPrefix(string(source), byteOrderMark), "\n") {
		line = strings.TrimSpace(line)
		info := parseLine(line, section)
		info.line = i + 1
		if info.key == "" && info.section != "" {
			section = info.section
		}
		if x.add(info) {
			readable.WriteString(line)
		}
		readable.WriteByte('\n')
	}
	return x, readable.Bytes()
}

// parseLine parses a line of the given section. The result is a key of that section, or a section if the line begins
// one.
func parseLine(line, section string) lineInfo {
	switch {
	case line == "" || line[0] == '#' || line[0] == ';':
		return lineInfo{}
	case line[0] == '[':
		return parseSection(line)
	}
	name, value, found := strings.Cut(line, delimiter)
	name, value = strings.TrimSpace(name), strings.TrimSpace(value)
	info := lineInfo{section: section, key: name}
	switch {
	case !found || name == "":
		info.reason = "not a [section], a key = value or a comment"
	case !isPlainName(name):
		info.reason = "a key is made of letters, digits, -, _ and ."
	case value != "" && strings.ContainsRune("\"'`", rune(value[0])):
		info.reason = "values are not quoted"
	}
	return info
}

func parseSection(line string) lineInfo {
	name := strings.TrimSpace(strings.Trim(line, "[]"))
	info := lineInfo{section: name}
	switch {
	case line != "["+name+"]" || name == "" || !isPlainName(strings.ReplaceAll(name, " ", "")):
		info.reason = "a section is [name] on a line of its own"
	case name == ini.DefaultSection:
		info.reason = "unknown section"
	}
	return info
}

// isPlainName rejects names that the INI library interprets as quotes, auto-increment keys or nesting.
func isPlainName(name string) bool {
	for _, c := range name {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		digit := c >= '0' && c <= '9'
		if !letter && !digit && !strings.ContainsRune("-_.", c) {
			return false
		}
	}
	return name != "-"
}

// add records a line and reports whether the INI library may read it.
func (x *lineIndex) add(info lineInfo) bool {
	if info.reason == "" && (info.section != "" || info.key != "") {
		id := [2]string{info.section, info.key}
		if _, exists := x.lineOf[id]; exists {
			info.reason = "stands twice"
		} else {
			x.lineOf[id] = info.line
		}
	}
	if info.reason != "" {
		x.rejected = append(x.rejected, info)
	}
	// The line of a repeated section is kept, because its keys would otherwise be added to the section before it.
	return info.reason == "" || info.key == "" && info.reason == "stands twice"
}

func (x *lineIndex) find(section, key string) int {
	if line, ok := x.lineOf[[2]string{section, key}]; ok {
		return line
	}
	return x.lineOf[[2]string{section, ""}]
}
