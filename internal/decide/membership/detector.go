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

// IsSilent reports whether the node has been silent for at least half of the time after which it is down.
func (d *Detector) IsSilent(node string, now time.Time) bool {
	last, ok := d.heard[node]
	return ok && now.Sub(last) > d.downAfter/2
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

// Ages returns how long each node that was ever heard has been silent.
func (d *Detector) Ages(now time.Time) map[string]time.Duration {
	ages := make(map[string]time.Duration, len(d.heard))
	for node, last := range d.heard {
		ages[node] = now.Sub(last)
	}
	return ages
}

// Reset gives every node its whole time again, as a new leader does that nobody has sent heartbeats to before.
func (d *Detector) Reset() {
	clear(d.heard)
}

// Presume calls a node down that further evidence speaks against, until it is heard.
func (d *Detector) Presume(node string, now time.Time) {
	d.heard[node] = now.Add(-d.downAfter - 1)
}

// Forget drops what is known of the node.
func (d *Detector) Forget(node string) {
	delete(d.heard, node)
}
