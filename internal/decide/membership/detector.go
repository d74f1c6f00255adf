package membership

import "time"

// Detector decides from heartbeats which members are suspected or down.
type Detector struct {
	downTimeout   time.Duration
	lastHeartbeat map[string]time.Time
}

// NewDetector returns a detector that reports a member as down after it has been silent for downTimeout.
func NewDetector(downTimeout time.Duration) *Detector {
	return &Detector{downTimeout: downTimeout, lastHeartbeat: map[string]time.Time{}}
}

// RecordHeartbeat records a heartbeat of the node.
func (d *Detector) RecordHeartbeat(node string, now time.Time) {
	d.lastHeartbeat[node] = now
}

// IsSuspected reports whether the node has been silent for more than half of the down timeout.
func (d *Detector) IsSuspected(node string, now time.Time) bool {
	last, ok := d.lastHeartbeat[node]
	return ok && now.Sub(last) > d.downTimeout/2
}

// IsDown reports whether the node has been silent for longer than the down timeout. The timeout of a node without any
// heartbeat starts with the first call.
func (d *Detector) IsDown(node string, now time.Time) bool {
	last, ok := d.lastHeartbeat[node]
	if !ok {
		d.lastHeartbeat[node] = now
		return false
	}
	return now.Sub(last) > d.downTimeout
}

// Silences returns the time since the last heartbeat of each known node.
func (d *Detector) Silences(now time.Time) map[string]time.Duration {
	silences := make(map[string]time.Duration, len(d.lastHeartbeat))
	for node, last := range d.lastHeartbeat {
		silences[node] = now.Sub(last)
	}
	return silences
}

// Reset restarts the timeout of every node. A new leader needs this, because no node has sent it heartbeats yet.
func (d *Detector) Reset() {
	clear(d.lastHeartbeat)
}

// PresumeDown marks the node as down until its next heartbeat. It is for evidence other than missing heartbeats.
func (d *Detector) PresumeDown(node string, now time.Time) {
	d.lastHeartbeat[node] = now.Add(-d.downTimeout - 1)
}

// Forget drops the state of the node.
func (d *Detector) Forget(node string) {
	delete(d.lastHeartbeat, node)
}
