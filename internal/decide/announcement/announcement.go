// Package announcement decides which of two announcements of a backend server is newer. A delayed announcement can
// arrive after announcements of a later start at the same address.
//
// # Usage
//
//	if announcement.IsStale(held, next) { ... ignore next ... }
//
// The package does no I/O and reads no clock.
package announcement

// Position is the position of one announcement in the order of all announcements from one address.
type Position struct {
	// Instance identifies the start of the backend server.
	Instance string
	// Started is when the backend server started, in Unix milliseconds by its own clock; 0 if the announcement doesn't
	// say.
	Started int64
	// Sequence numbers the announcements of one start; 0 if the announcement doesn't say.
	Sequence uint64
}

// IsStale reports whether next is the same announcement as held or an older one. An announcement that lacks the values
// to compare is not stale.
func IsStale(held, next Position) bool {
	if held.Started != next.Started {
		return held.Started > next.Started && next.Started != 0
	}
	if held.Instance != next.Instance {
		return false
	}
	return next.Sequence != 0 && next.Sequence <= held.Sequence
}

// IsSameStart reports whether both announcements are of the same start of the same backend server.
func IsSameStart(a, b Position) bool {
	return a.Instance == b.Instance && a.Started == b.Started
}
