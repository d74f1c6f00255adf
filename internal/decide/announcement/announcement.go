// Package announcement decides which of two announcements of a backend server is the later one. Announcements may be
// delayed, and then come after those of a later start at the same address.
//
// # Usage
//
//	if announcement.IsLate(held, next) { ... nothing changes ... }
//
// The package does no I/O and reads no clock.
package announcement

// Position is the place of one announcement among all of those from one address.
type Position struct {
	// Instance names the start of the backend server.
	Instance string
	// Started is when the backend server started, in milliseconds of Unix time by its own clock; 0 where it didn't say.
	Started int64
	// Sequence counts the announcements of one start; 0 where it didn't say.
	Sequence uint64
}

// IsStale reports whether next was made before held.
func IsStale(held, next Position) bool {
	if held.Started != next.Started {
		return held.Started > next.Started && next.Started != 0
	}
	if held.Instance != next.Instance {
		return false
	}
	return next.Sequence != 0 && next.Sequence <= held.Sequence
}
