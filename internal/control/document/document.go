// Package document reads the team documents: one INI file a service, owned by the service's team, that names the
// kinds of work it takes, how they rank, and which are idempotent.
//
// # Usage
//
//	d, err := document.Parse(source)
//	kind, ok := d.Match("GET", "/sheets/today")
//
// Parse reports every fault of the document at once.
package document

import (
	"strings"
	"time"
)

// Bounds of the values in a document.
const (
	// MostUrgentRank is shed last.
	MostUrgentRank = 0
	// LeastUrgentRank is shed first.
	LeastUrgentRank = 9
	// MaxDeadline bounds the deadline of a kind.
	MaxDeadline = 2 * time.Minute
	// MaxShare bounds the share of a kind.
	MaxShare = 100
	// DefaultDeadline holds where a kind names none.
	DefaultDeadline = 2 * time.Second
	// DefaultAttemptAllowance is how many further attempts a root request may spend in its whole chain.
	DefaultAttemptAllowance = 2
	// MaxAttemptAllowance bounds the attempts of a document.
	MaxAttemptAllowance = 5
	// AnyMethod stands for every HTTP method.
	AnyMethod = "*"
)

// Document is the accepted description of one service.
type Document struct {
	Service string `json:"service"`
	Team    string `json:"team"`
	// AttemptAllowance is how many further attempts a root request of this service may spend in its whole chain.
	AttemptAllowance int `json:"attempts"`
	// Kinds are in the order of the file; the first that matches a request is taken.
	Kinds []Kind `json:"kinds"`
}

// Match returns the first kind whose method and path pattern fit.
func (d *Document) Match(method, path string) (Kind, bool) {
	for _, k := range d.Kinds {
		if k.matches(method, path) {
			return k, true
		}
	}
	return Kind{}, false
}

// Kind is one kind of work.
type Kind struct {
	Name string `json:"name"`
	// Method is an HTTP method, or "*" for any.
	Method string `json:"method"`
	// Path is a path, with a trailing "*" for any rest.
	Path       string        `json:"path"`
	Rank       int           `json:"rank"`
	Idempotent bool          `json:"idempotent"`
	Deadline   time.Duration `json:"deadline"`
	// Share weighs the kind against the others of its rank.
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

// covers reports whether k takes every request that other would take.
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
