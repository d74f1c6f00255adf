package admission

import "time"

const (
	// demandWindow is the length of a window in which offers and starts are counted.
	demandWindow = 500 * time.Millisecond
	// shedTimeout is how long after a shed ticket its rank counts as being shed.
	shedTimeout = 250 * time.Millisecond
	// presenceTimeout is how long after an offer a rank counts as present.
	presenceTimeout = time.Second
)

// rankCounts counts the tickets of one rank.
type rankCounts struct {
	offered int
	started int
}

// demand tracks how many tickets of each rank were recently offered and started, and when each rank was last shed.
type demand struct {
	current   [Ranks]rankCounts
	previous  [Ranks]rankCounts
	windowEnd time.Time

	lastOffer [Ranks]time.Time
	lastStart [Ranks]time.Time
	lastShed  [Ranks]time.Time
}

func (d *demand) offered(now time.Time, rank int) {
	d.rotate(now)
	d.current[rank].offered++
	d.lastOffer[rank] = now
}

func (d *demand) started(now time.Time, rank int) {
	d.rotate(now)
	d.current[rank].started++
	d.lastStart[rank] = now
}

func (d *demand) shed(now time.Time, rank int) {
	d.lastShed[rank] = now
}

// rotate starts a new window if the current one is over.
func (d *demand) rotate(now time.Time) {
	if now.Before(d.windowEnd) {
		return
	}
	d.previous = d.current
	if now.Sub(d.windowEnd) > demandWindow {
		d.previous = [Ranks]rankCounts{}
	}
	d.current = [Ranks]rankCounts{}
	d.windowEnd = now.Add(demandWindow)
}

// offeredRatio returns the ratio of offered to started tickets of the rank, at least 1.
func (d *demand) offeredRatio(rank int) float64 {
	offered := d.current[rank].offered + d.previous[rank].offered
	started := d.current[rank].started + d.previous[rank].started
	return max(float64(offered)/float64(max(started, 1)), 1)
}

// moreUrgentPresent reports whether a ticket of a more urgent rank was offered recently.
func (d *demand) moreUrgentPresent(now time.Time, rank int) bool {
	for r := range rank {
		if isRecent(now, d.lastOffer[r], presenceTimeout) {
			return true
		}
	}
	return false
}

// sheddingRank returns the most urgent rank that is shed entirely, together with every less urgent rank; 0 means none.
// While the most urgent rank that loses tickets still has some of them started, the result is the next less urgent rank.
func (d *demand) sheddingRank(now time.Time) int {
	for r := range Ranks {
		if !isRecent(now, d.lastShed[r], shedTimeout) {
			continue
		}
		if r > 0 && !isRecent(now, d.lastStart[r], shedTimeout) {
			return r
		}
		return (r + 1) % Ranks
	}
	return 0
}

func isRecent(now, event time.Time, timeout time.Duration) bool {
	return !event.IsZero() && now.Sub(event) < timeout
}
