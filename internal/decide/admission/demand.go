package admission

import "time"

const (
	// demandWindow is the time over which offers and starts are counted.
	demandWindow = 500 * time.Millisecond
	// shedTimeout is how long a shed ticket tells that its rank is being shed.
	shedTimeout = 250 * time.Millisecond
	// presenceTimeout is how long a rank counts as present after an offer.
	presenceTimeout = time.Second
)

// rankCounts counts what became of the tickets of one rank.
type rankCounts struct {
	offered int
	started int
}

// demand tells how much of each rank was lately offered, started and shed.
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

// rotate begins a new window where the present one is over.
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

// offeredRatio returns how many tickets of the rank are offered for each that is started, at least 1.
func (d *demand) offeredRatio(rank int) float64 {
	offered := d.current[rank].offered + d.previous[rank].offered
	started := d.current[rank].started + d.previous[rank].started
	return max(float64(offered)/float64(max(started, 1)), 1)
}

// moreUrgentPresent reports whether work of a more urgent rank was offered lately.
func (d *demand) moreUrgentPresent(now time.Time, rank int) bool {
	for r := range rank {
		if isRecent(now, d.lastOffer[r], presenceTimeout) {
			return true
		}
	}
	return false
}

// sheddingRank returns the most urgent rank of which nothing is run although it is offered; every less urgent rank is
// shed too. Where the most urgent rank that loses tickets still runs some, it is the rank after that. 0 means none.
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
