package membership

import "time"

// Detector judges by heartbeats which members are down.
type Detector struct {
	downTimeout   time.Duration
	lastHeartbeat map[string]time.Time
}

// NewDetector returns a detector that calls a member down after the silence.
func NewDetector(downTimeout time.Duration) *Detector {
	return &Detector{downTimeout: downTimeout, lastHeartbeat: map[string]time.Time{}}
}

// RecordHeartbeat notes a heartbeat.
func (d *Detector) RecordHeartbeat(node string, now time.Time) {
	d.lastHeartbeat[node] = now
}

// IsSuspected reports whether the node has been silent for at least half of the time after which it is down.
func (d *Detector) IsSuspected(node string, now time.Time) bool {
	last, ok := d.lastHeartbeat[node]
	return ok && now.Sub(last) > d.downTimeout/2
}

// IsDown reports whether the node has been silent too long. One that was never heard gets its time from now on.
func (d *Detector) IsDown(node string, now time.Time) bool {
	last, ok := d.lastHeartbeat[node]
	if !ok {
		d.lastHeartbeat[node] = now
		return false
	}
	return now.Sub(last) > d.downTimeout
}

// Silences returns how long each node that was ever heard has been silent.
func (d *Detector) Silences(now time.Time) map[string]time.Duration {
	silences := make(map[string]time.Duration, len(d.lastHeartbeat))
	for node, last := range d.lastHeartbeat {
		silences[node] = now.Sub(last)
	}
	return silences
}

// Reset gives every node its whole time again, as a new leader does that nobody has sent heartbeats to before.
func (d *Detector) Reset() {
	clear(d.lastHeartbeat)
}

// PresumeDown calls a node down that further evidence speaks against, until it is heard.
func (d *Detector) PresumeDown(node string, now time.Time) {
	d.lastHeartbeat[node] = now.Add(-d.downTimeout - 1)
}

// Forget drops what is known of the node.
func (d *Detector) Forget(node string) {
	delete(d.lastHeartbeat, node)
}
