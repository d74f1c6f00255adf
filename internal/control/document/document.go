// Package document reads the documents of the teams. A document is an INI file that describes one service and belongs
// to the service's team. It lists the kinds of requests that the service accepts, with their shedding ranks and
// deadlines and whether they are idempotent.
//
// # Usage
//
//	d, err := document.Parse(source)
//	kind, ok := d.Match("GET", "/sheets/today")
//
// The error of Parse lists all faults of the document.
package document

import (
	"strings"
	"time"
)

// Limits and defaults of the values in a document.
const (
	// MostUrgentRank is the rank that is shed last.
	MostUrgentRank = 0
	// LeastUrgentRank is the rank that is shed first.
	LeastUrgentRank = 9
	// MaxDeadline is the longest deadline of a kind.
	MaxDeadline = 2 * time.Minute
	// MaxShare is the largest share of a kind.
	MaxShare = 100
	// DefaultDeadline is the deadline of a kind that does not set one.
	DefaultDeadline = 2 * time.Second
	// DefaultAttemptAllowance is the attempt allowance of a document that does not set one.
	DefaultAttemptAllowance = 2
	// MaxAttemptAllowance is the largest attempt allowance.
	MaxAttemptAllowance = 5
	// AnyMethod matches every HTTP method.
	AnyMethod = "*"
)

// Document is the valid description of one service.
type Document struct {
	Service string `json:"service"`
	Team    string `json:"team"`
	// AttemptAllowance is the number of further attempts that a root request of this service may use in its whole call
	// chain.
	AttemptAllowance int `json:"attempts"`
	// Kinds are in the order of the file. The first kind that matches a request applies.
	Kinds []Kind `json:"kinds"`
}

// Match returns the first kind whose method and path pattern match the request.
func (d *Document) Match(method, path string) (Kind, bool) {
	for _, k := range d.Kinds {
		if k.matches(method, path) {
			return k, true
		}
	}
	return Kind{}, false
}

// Kind is one kind of request.
type Kind struct {
	Name string `json:"name"`
	// Method is an HTTP method, or "*" for any.
	Method string `json:"method"`
	// Path is a complete path, or a prefix of paths followed by "*".
	Path       string        `json:"path"`
	Rank       int           `json:"rank"`
	Idempotent bool          `json:"idempotent"`
	Deadline   time.Duration `json:"deadline"`
	// Share is the weight of the kind relative to the other kinds of its rank.
	Share int `json:"share"`
}

func (k Kind) matches(method, path string) bool {
	if k.Method != AnyMethod && k.Method != method {
		return false
	}
	prefix, hasWildcard := strings.CutSuffix(k.Path, "*")
	if hasWildcard {
		return strings.HasPrefix(path, prefix)
	}
	return path == k.Path
}

// covers reports whether k matches every request that other matches.
func (k Kind) covers(other Kind) bool {
	if k.Method != AnyMethod && k.Method != other.Method {
		return false
	}
	prefix, hasWildcard := strings.CutSuffix(k.Path, "*")
	if hasWildcard {
		return strings.HasPrefix(strings.TrimSuffix(other.Path, "*"), prefix)
	}
	return k.Path == other.Path
}
