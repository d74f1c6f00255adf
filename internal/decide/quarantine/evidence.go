package quarantine

import (
	"slices"
	"time"
)

// Reason is why a request is restricted.
type Reason string

// The reasons.
const (
	Suspected   Reason = "suspected"
	Quarantined Reason = "quarantined"
)

// Source is where evidence comes from.
type Source string

// The sources.
const (
	// ObservedLocally is a crash of the local backend server.
	ObservedLocally Source = "crash_seen_here"
	// Reported is a crash that another node or the sender of the request reported.
	Reported Source = "crash_told"
)

// Reasons describes each Reason.
var Reasons = map[Reason]string{
	Suspected:   "A backend server crashed while it ran the request; it runs alone among suspects until it runs well.",
	Quarantined: "Backend servers crashed while they ran the request, as often as quarantines it; it is refused for the term.",
}

// Sources describes each Source.
var Sources = map[Source]string{
	ObservedLocally: "The local backend server broke the connection while it ran the request.",
	Reported:        "Another node, or the request's sender, told of the crash.",
}

// Evidence is one crash attributed to a request.
type Evidence struct {
	// Crash identifies the crash; 0 if only the number of crashes is known.
	Crash  uint64    `json:"crash"`
	Source Source    `json:"source"`
	At     time.Time `json:"at"`
}

// maxEvidence is the limit of crashes kept for each request.
const maxEvidence = 8

func (e *Entry) addEvidence(v Evidence) {
	e.Evidence = append(e.Evidence, v)
	e.Evidence = e.Evidence[max(0, len(e.Evidence)-maxEvidence):]
}

// withReason returns a copy of the entry with its reason set.
func (e *Entry) withReason(maxCrashes int) Entry {
	copied := *e
	copied.Evidence = slices.Clone(e.Evidence)
	copied.Reason = Suspected
	if e.Crashes >= maxCrashes {
		copied.Reason = Quarantined
	}
	return copied
}
