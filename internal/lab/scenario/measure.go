package scenario

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/comfreyhoist/comfreyhoist/internal/lab/fleet"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/load"
)

// Result is the result of one run of a scenario.
type Result struct {
	Deployment string `json:"deployment"`
	Scenario   string `json:"scenario"`
	Variant    string `json:"variant"`
	Seed       uint64 `json:"seed"`
	// Goodput is the rate in requests per second of root requests that were answered successfully and in time.
	GoodputBefore float64 `json:"goodput_before"`
	GoodputDuring float64 `json:"goodput_during"`
	GoodputAfter  float64 `json:"goodput_after"`
	// IdealDuring is the goodput that the fleet's slots allow during the trigger.
	IdealDuring float64 `json:"ideal_during"`
	// Recovery is the time from the end of the last trigger until the ratio of successful responses has recovered; -1
	// if it does not recover during the run.
	Recovery time.Duration `json:"recovery"`
	// Unsent counts the requests that were not sent because no connection was left. They count as failed.
	Unsent int `json:"unsent"`
	// Wasted is the fraction of all runs on backend servers that were for requests that failed in the end.
	Wasted float64 `json:"wasted"`
	// Amplification is the number of runs on backend servers divided by the number that the sent requests need.
	Amplification float64        `json:"amplification"`
	Streams       []StreamResult `json:"streams"`
	// Series is the goodput of each stream in consecutive windows of length SeriesWindow.
	Series map[string][]float64 `json:"series"`
}

// StreamResult is the result of one stream.
type StreamResult struct {
	Name string `json:"name"`
	Rank int    `json:"rank"`
	// GoodBefore, GoodDuring and GoodAfter are the fractions of requests answered successfully in each phase, from 0 to
	// 1.
	GoodBefore float64 `json:"good_before"`
	GoodDuring float64 `json:"good_during"`
	GoodAfter  float64 `json:"good_after"`
	// Goodput is in successful responses per second during the trigger. Ideal is the rate that the slots allow.
	Goodput float64 `json:"rate"`
	Ideal   float64 `json:"ideal"`
	// OrdinaryGoodDuring is GoodDuring of the ordinary requests, without those that the trigger added.
	OrdinaryGoodDuring float64       `json:"kept_during"`
	Median             time.Duration `json:"median"`
	P99                time.Duration `json:"p99"`
}

const (
	// SeriesWindow is the length of one window of a series.
	SeriesWindow = 500 * time.Millisecond
	// preTriggerMargin is the time before a trigger that is left out, because the trigger affects requests sent then.
	preTriggerMargin = time.Second
	// recoveredRatio is the fraction of the earlier success ratio that counts as recovered.
	recoveredRatio = 0.95
	// requiredWindows is the number of consecutive windows that must have recovered.
	requiredWindows = 4
)

func measure(config Config, results []load.Result, started map[string]int) Result {
	spans := config.Scenario.spans()
	last := spans[len(spans)-1]
	before := span{settleTime, DurationBefore - preTriggerMargin}
	during := span{spans[0].start + settleTime, spans[0].end}
	after := span{last.end + DurationAfter/2, last.end + DurationAfter}
	r := Result{
		Deployment:    config.Deployment.Name,
		Scenario:      config.Scenario.Name,
		Variant:       config.Variant.Name,
		Seed:          config.Seed,
		GoodputBefore: goodput(results, before),
		GoodputDuring: goodput(results, during),
		GoodputAfter:  goodput(results, after),
		Unsent:        len(filter(results, func(r load.Result) bool { return r.Reason == load.NoConnection })),
		Series:        series(results, config.Scenario.Duration()),
	}
	r.Recovery = recovery(results, last.end, config.Scenario.Duration())
	r.Wasted, r.Amplification = waste(config, results, started)
	ideal := Ideal(slowedDeployment(config), streamsDuringTrigger(config))
	for _, s := range config.Deployment.Streams {
		r.IdealDuring += ideal[s.Name]
		r.Streams = append(r.Streams, measureStream(s, results, ideal[s.Name], before, during, after))
	}
	return r
}

func measureStream(s load.Stream, results []load.Result, ideal float64, before, during, after span) StreamResult {
	own := filter(results, func(r load.Result) bool { return r.Stream == s.Name })
	ordinary := filter(own, func(r load.Result) bool { return !r.Added })
	latencies := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	for _, r := range own {
		if r.OK() {
			_ = latencies.RecordValue(r.Latency.Microseconds())
		}
	}
	return StreamResult{
		Name:               s.Name,
		Rank:               s.Rank,
		GoodBefore:         goodRatio(own, before),
		GoodDuring:         goodRatio(own, during),
		GoodAfter:          goodRatio(own, after),
		Goodput:            goodput(own, during),
		Ideal:              ideal,
		OrdinaryGoodDuring: goodRatio(ordinary, during),
		Median:             time.Duration(latencies.ValueAtQuantile(50)) * time.Microsecond,
		P99:                time.Duration(latencies.ValueAtQuantile(99)) * time.Microsecond,
	}
}

// slowedDeployment returns the deployment with the service times that apply during the first trigger.
func slowedDeployment(config Config) fleet.Deployment {
	d := config.Deployment.Fleet
	services := slices.Clone(d.Services)
	for i := range services {
		if services[i].Name == config.Deployment.DeepService {
			factor := max(config.Scenario.Triggers[0].Slowdown, 1)
			services[i].Behaviour.ServiceTime = time.Duration(float64(services[i].Behaviour.ServiceTime) * factor)
		}
	}
	d.Services = services
	return d
}

// streamsDuringTrigger returns the load during the first trigger.
func streamsDuringTrigger(config Config) []load.Stream {
	var streams []load.Stream
	for _, s := range config.Deployment.Streams {
		s.Rate *= 1 + config.Scenario.Triggers[0].addedRatio(config.Deployment, s)
		streams = append(streams, s)
	}
	return streams
}

// goodput returns the rate per second of requests that were sent within the span and answered successfully.
func goodput(results []load.Result, s span) float64 {
	good := 0
	for _, r := range results {
		if r.OK() && s.contains(r.Sent) {
			good++
		}
	}
	return float64(good) / (s.end - s.start).Seconds()
}

func goodRatio(results []load.Result, s span) float64 {
	good, sent := 0, 0
	for _, r := range results {
		if !s.contains(r.Sent) {
			continue
		}
		sent++
		if r.OK() {
			good++
		}
	}
	return float64(good) / float64(max(sent, 1))
}

func (s span) contains(t time.Duration) bool {
	return t >= s.start && t < s.end
}

func filter(results []load.Result, keep func(load.Result) bool) []load.Result {
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

// recovery returns the time from the end of the trigger to the first of requiredWindows consecutive windows in which
// the ratio of successful responses has recovered, or -1 if there are none. It compares ratios instead of rates,
// because random arrivals make the rate of single windows fluctuate.
func recovery(results []load.Result, end, duration time.Duration) time.Duration {
	threshold := recoveredRatio * goodRatio(results, span{settleTime, DurationBefore - preTriggerMargin})
	recoveredWindows := 0
	for start := end; start+SeriesWindow <= duration; start += SeriesWindow {
		if goodRatio(results, span{start, start + SeriesWindow}) < threshold {
			recoveredWindows = 0
			continue
		}
		recoveredWindows++
		if recoveredWindows == requiredWindows {
			return start - (requiredWindows-1)*SeriesWindow - end
		}
	}
	return -1
}

// waste returns the fraction of runs spent on failed requests, and the number of runs divided by the number needed.
func waste(config Config, results []load.Result, started map[string]int) (wasted, amplification float64) {
	needed, runs, failedRuns := 0.0, 0.0, 0.0
	for _, r := range results {
		runs += float64(started[r.ID])
		for _, calls := range Calls(config.Deployment.Fleet, r.Service, r.Path) {
			needed += calls
		}
		if !r.OK() {
			failedRuns += float64(started[r.ID])
		}
	}
	return failedRuns / max(runs, 1), runs / max(needed, 1)
}
