package document

import "strings"

// place is where a section or key stands in the source.
type place struct {
	section string
	key     string
	line    int
}

// lineIndex finds the line of a section or key, which the INI library does not keep.
type lineIndex struct {
	places   map[[2]string]int
	repeated []place
}

func indexLines(source []byte) lineIndex {
	x := lineIndex{places: map[[2]string]int{}}
	section := ""
	for i, line := range strings.Split(string(source), "\n") {
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '#' || line[0] == ';' {
			continue
		}
		if line[0] == '[' {
			section = strings.TrimSpace(strings.Trim(line, "[]"))
			x.add(place{section: section, line: i + 1})
			continue
		}
		name, _, found := strings.Cut(line, "=")
		if found {
			x.add(place{section: section, key: strings.TrimSpace(name), line: i + 1})
		}
	}
	return x
}

func (x *lineIndex) add(p place) {
	id := [2]string{p.section, p.key}
	if _, stands := x.places[id]; stands {
		x.repeated = append(x.repeated, p)
		return
	}
	x.places[id] = p.line
}

// find returns the line of the key, of its section where the key is absent, or 0.
func (x *lineIndex) find(section, key string) int {
	if line, ok := x.places[[2]string{section, key}]; ok {
		return line
	}
	return x.places[[2]string{section, ""}]
}
