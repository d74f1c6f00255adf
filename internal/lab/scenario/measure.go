package scenario

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/comfreyhoist/comfreyhoist/internal/lab/fleet"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/load"
)

// Result is what one run of a scenario gave.
type Result struct {
	Deployment string `json:"deployment"`
	Scenario   string `json:"scenario"`
	Variant    string `json:"variant"`
	Seed       uint64 `json:"seed"`
	// Goodput is in whole requests a second, answered well and in time.
	GoodputBefore float64 `json:"goodput_before"`
	GoodputDuring float64 `json:"goodput_during"`
	GoodputAfter  float64 `json:"goodput_after"`
	// IdealDuring is what the slots of the fleet allow while the trigger is on.
	IdealDuring float64 `json:"ideal_during"`
	// Recovery is the time after the last trigger until goodput is back for good; -1 for not in the run.
	Recovery time.Duration `json:"recovery"`
	// Unsent counts the requests whose callers had no connection left; they count as failed.
	Unsent int `json:"unsent"`
	// Wasted is the part of all runs on backend servers that were for requests that failed in the end.
	Wasted float64 `json:"wasted"`
	// Amplification is the runs on backend servers over those that each sent request needs.
	Amplification float64  `json:"amplification"`
	Streams       []Stream `json:"streams"`
	// Series is goodput by stream in each window of SeriesWindow.
	Series map[string][]float64 `json:"series"`
}

// Stream is how one stream fared.
type Stream struct {
	Name string `json:"name"`
	Rank int    `json:"rank"`
	// Good are the parts of the requests that were answered well in each phase, from 0 to 1.
	GoodBefore float64 `json:"good_before"`
	GoodDuring float64 `json:"good_during"`
	GoodAfter  float64 `json:"good_after"`
	// Rate is in good answers a second while the trigger is on, and Ideal what the slots allow.
	Rate  float64 `json:"rate"`
	Ideal float64 `json:"ideal"`
	// KeptDuring is the part of the ordinary requests, without those that the trigger added.
	KeptDuring float64       `json:"kept_during"`
	Median     time.Duration `json:"median"`
	High       time.Duration `json:"p99"`
}

const (
	// SeriesWindow is the length of one window of a series.
	SeriesWindow = 500 * time.Millisecond
	// lastAnswers is left out before a trigger, because it still meets the requests sent then.
	lastAnswers = time.Second
	// recovered is the part of the earlier goodput that counts as recovered.
	recovered = 0.95
	// steadyWindows is how many windows in a row must have recovered.
	steadyWindows = 4
)

func measure(config Config, results []load.Result, started map[string]int) Result {
	spans := config.Scenario.spans()
	last := spans[len(spans)-1]
	before := span{settle, Before - lastAnswers}
	during := span{spans[0].start + settle, spans[0].end}
	after := span{last.end + After/2, last.end + After}
	r := Result{
		Deployment:    config.Deployment.Name,
		Scenario:      config.Scenario.Name,
		Variant:       config.Variant.Name,
		Seed:          config.Seed,
		GoodputBefore: goodput(results, before),
		GoodputDuring: goodput(results, during),
		GoodputAfter:  goodput(results, after),
		Unsent:        len(only(results, func(r load.Result) bool { return r.Reason == load.NoConnection })),
		Series:        series(results, config.Scenario.Duration()),
	}
	r.Recovery = recovery(results, last.end, config.Scenario.Duration())
	r.Wasted, r.Amplification = waste(config, results, started)
	ideal := Ideal(slowed(config), duringStreams(config))
	for _, s := range config.Deployment.Streams {
		r.IdealDuring += ideal[s.Name]
		r.Streams = append(r.Streams, streamOf(s, results, ideal[s.Name], before, during, after))
	}
	return r
}

func streamOf(s load.Stream, results []load.Result, ideal float64, before, during, after span) Stream {
	own := only(results, func(r load.Result) bool { return r.Stream == s.Name })
	ordinary := only(own, func(r load.Result) bool { return !r.Added })
	latencies := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	for _, r := range own {
		if r.OK() {
			_ = latencies.RecordValue(r.Took.Microseconds())
		}
	}
	return Stream{
		Name:       s.Name,
		Rank:       s.Rank,
		GoodBefore: share(own, before),
		GoodDuring: share(own, during),
		GoodAfter:  share(own, after),
		Rate:       goodput(own, during),
		Ideal:      ideal,
		KeptDuring: share(ordinary, during),
		Median:     time.Duration(latencies.ValueAtQuantile(50)) * time.Microsecond,
		High:       time.Duration(latencies.ValueAtQuantile(99)) * time.Microsecond,
	}
}

// slowed returns the deployment as it is while the first trigger is on.
func slowed(config Config) fleet.Deployment {
	d := config.Deployment.Fleet
	services := slices.Clone(d.Services)
	for i := range services {
		if services[i].Name == config.Deployment.Deep {
			factor := max(config.Scenario.Triggers[0].SlowDeep, 1)
			services[i].Behaviour.ServiceTime = time.Duration(float64(services[i].Behaviour.ServiceTime) * factor)
		}
	}
	d.Services = services
	return d
}

// duringStreams returns the load while the first trigger is on.
func duringStreams(config Config) []load.Stream {
	var streams []load.Stream
	for _, s := range config.Deployment.Streams {
		s.Rate *= 1 + config.Scenario.Triggers[0].extra(config.Deployment, s)
		streams = append(streams, s)
	}
	return streams
}

// goodput counts the requests that were sent within the span and answered well, a second.
func goodput(results []load.Result, s span) float64 {
	good := 0
	for _, r := range results {
		if r.OK() && s.holds(r.Sent) {
			good++
		}
	}
	return float64(good) / (s.end - s.start).Seconds()
}

func share(results []load.Result, s span) float64 {
	good, sent := 0, 0
	for _, r := range results {
		if !s.holds(r.Sent) {
			continue
		}
		sent++
		if r.OK() {
			good++
		}
	}
	return float64(good) / float64(max(sent, 1))
}

func (s span) holds(t time.Duration) bool {
	return t >= s.start && t < s.end
}

func only(results []load.Result, keep func(load.Result) bool) []load.Result {
	var kept []load.Result
	for _, r := range results {
		if keep(r) {
			kept = append(kept, r)
		}
	}
	return kept
}

func series(results []load.Result, duration time.Duration) map[string][]float64 {
	windows := int(duration / SeriesWindow)
	found := map[string][]float64{}
	for _, r := range results {
		if found[r.Stream] == nil {
			found[r.Stream] = make([]float64, windows)
		}
		if w := int(r.Sent / SeriesWindow); r.OK() && w < windows {
			found[r.Stream][w] += 1 / SeriesWindow.Seconds()
		}
	}
	return found
}

// recovery returns how long after the end of the trigger the share of good answers was back for good. Shares are
// compared, not rates, because random arrivals make the rate of single windows waver.
func recovery(results []load.Result, end, duration time.Duration) time.Duration {
	wanted := recovered * share(results, span{settle, Before - lastAnswers})
	steady := 0
	for start := end; start+SeriesWindow <= duration; start += SeriesWindow {
		if share(results, span{start, start + SeriesWindow}) < wanted {
			steady = 0
			continue
		}
		steady++
		if steady == steadyWindows {
			return start - (steadyWindows-1)*SeriesWindow - end
		}
	}
	return -1
}

// waste compares the runs on all backend servers with what the requests needed.
func waste(config Config, results []load.Result, started map[string]int) (wasted, amplification float64) {
	needed, runs, lost := 0.0, 0.0, 0.0
	for _, r := range results {
		runs += float64(started[r.ID])
		for _, calls := range Calls(config.Deployment.Fleet, r.Service, r.Path) {
			needed += calls
		}
		if !r.OK() {
			lost += float64(started[r.ID])
		}
	}
	return lost / max(runs, 1), runs / max(needed, 1)
}
