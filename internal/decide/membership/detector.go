package membership

import "time"

// Detector judges by heartbeats which members are down.
type Detector struct {
	downAfter time.Duration
	heard     map[string]time.Time
}

// NewDetector returns a detector that calls a member down after the silence.
func NewDetector(downAfter time.Duration) *Detector {
	return &Detector{downAfter: downAfter, heard: map[string]time.Time{}}
}

// Heard notes a heartbeat.
func (d *Detector) Heard(node string, now time.Time) {
	d.heard[node] = now
}

// IsDown reports whether the node has been silent too long. One that was never heard gets its time from now on.
func (d *Detector) IsDown(node string, now time.Time) bool {
	last, ok := d.heard[node]
	if !ok {
		d.heard[node] = now
		return false
	}
	return now.Sub(last) > d.downAfter
}

// Age returns how long the node has been silent.
func (d *Detector) Age(node string, now time.Time) time.Duration {
	return now.Sub(d.heard[node])
}
