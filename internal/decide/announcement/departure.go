package announcement

import "time"

// Departure records that a start of the backend server has said that it leaves. It holds for that start for good: a later
// announcement that says otherwise was sent earlier.
type Departure struct {
	// Instance identifies the backend server; empty if none has left.
	Instance string
	// Started is when the start that leaves began, in Unix milliseconds; 0 if it isn't known.
	Started int64
	// At is when the departure was learned.
	At time.Time
}

// Covers reports whether the announcement is of the start that has left. Without the time of that start, it is if it
// began before the departure was learned.
func (d Departure) Covers(p Position) bool {
	switch {
	case d.Instance == "" || d.Instance != p.Instance:
		return false
	case d.Started != 0:
		return d.Started == p.Started
	}
	return p.Started <= d.At.UnixMilli()
}
