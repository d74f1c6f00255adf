package quarantine

import (
	"slices"
	"time"
)

// Reason says why a request is held.
type Reason string

// The reasons.
const (
	Suspected   Reason = "suspected"
	Quarantined Reason = "quarantined"
)

// Source says where evidence comes from.
type Source string

// The sources.
const (
	// ObservedLocally is a crash of the local backend server.
	ObservedLocally Source = "crash_seen_here"
	// Reported is a crash that another node or the sender of the request told of.
	Reported Source = "crash_told"
)

// Reasons is the catalogue of the reasons.
var Reasons = map[Reason]string{
	Suspected:   "A backend server crashed while it ran the request; it runs alone among suspects until it runs well.",
	Quarantined: "Backend servers crashed while they ran the request, as often as quarantines it; it is refused for the term.",
}

// Sources is the catalogue of the sources of evidence.
var Sources = map[Source]string{
	ObservedLocally: "The local backend server broke the connection while it ran the request.",
	Reported:        "Another node, or the request's sender, told of the crash.",
}

// Evidence is one crash that a request is blamed for.
type Evidence struct {
	// Crash tells this crash from others; 0 where only the number of crashes is known.
	Crash  uint64    `json:"crash"`
	Source Source    `json:"source"`
	At     time.Time `json:"at"`
}

// maxEvidence bounds the crashes kept for each request.
const maxEvidence = 8

func (e *Entry) addEvidence(v Evidence) {
	e.Evidence = append(e.Evidence, v)
	e.Evidence = e.Evidence[max(0, len(e.Evidence)-maxEvidence):]
}

// withReason returns a copy of the entry with its reason.
func (e *Entry) withReason(maxCrashes int) Entry {
	copied := *e
	copied.Evidence = slices.Clone(e.Evidence)
	copied.Reason = Suspected
	if e.Crashes >= maxCrashes {
		copied.Reason = Quarantined
	}
	return copied
}
