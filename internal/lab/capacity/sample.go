package capacity

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/comfreyhoist/comfreyhoist/internal/lab/fleet"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/proxy"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/store"
)

// snapshot holds the values of all counters at one moment.
type snapshot struct {
	at            time.Time
	processorTime map[string]time.Duration
	memory        map[string]float64
	traffic       map[string]map[string]proxy.Traffic
	calls         store.Counts
	machine       machineTime
}

func takeSnapshot(f *fleet.Fleet) (snapshot, error) {
	s := snapshot{at: time.Now(), processorTime: map[string]time.Duration{}, memory: map[string]float64{}}
	for _, n := range f.Nodes {
		var err error
		if s.processorTime[n.Name], err = processorTime(n.PID()); err != nil {
			return s, trace.Wrap(err)
		}
		if s.memory[n.Name], err = residentMemory(n.PID()); err != nil {
			return s, trace.Wrap(err)
		}
	}
	s.traffic = f.Network.Traffic()
	s.calls = f.Store.Counts()
	var err error
	s.machine, err = readMachine()
	return s, trace.Wrap(err)
}

const (
	// tick is the unit of processor time in /proc.
	tick = 10 * time.Millisecond
	// userField and systemField are field indexes in /proc/PID/stat, counted from the field after the program's name.
	userField   = 11
	systemField = 12
)

// processorTime returns the processor time that the process has used.
func processorTime(pid int) (time.Duration, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, trace.ConvertSystemError(err)
	}
	// The name may contain spaces; it ends at the last closing parenthesis.
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	if len(fields) <= systemField {
		return 0, trace.BadParameter("/proc/%d/stat has too few fields", pid)
	}
	ticks := 0
	for _, field := range []int{userField, systemField} {
		count, err := strconv.Atoi(fields[field])
		if err != nil {
			return 0, trace.Wrap(err)
		}
		ticks += count
	}
	return time.Duration(ticks) * tick, nil
}

// residentMemory returns the resident memory of the process in bytes.
func residentMemory(pid int) (float64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, trace.ConvertSystemError(err)
	}
	for line := range strings.Lines(string(text)) {
		var kilobytes float64
		if _, err := fmt.Sscanf(line, "VmRSS: %f kB", &kilobytes); err == nil {
			return kilobytes * 1024, nil
		}
	}
	return 0, trace.NotFound("/proc/%d/status has no VmRSS line", pid)
}

// machineTime is the time that all processors of the machine have spent since it started, in ticks.
type machineTime struct {
	busy  float64
	total float64
}

// Indexes of the idle times in the first line of /proc/stat.
const (
	idleField   = 3
	ioWaitField = 4
)

func readMachine() (machineTime, error) {
	text, err := os.ReadFile("/proc/stat")
	if err != nil {
		return machineTime{}, trace.ConvertSystemError(err)
	}
	line, _, _ := strings.Cut(string(text), "\n")
	var t machineTime
	for i, field := range strings.Fields(line)[1:] {
		ticks, err := strconv.ParseFloat(field, 64)
		if err != nil {
			return t, trace.Wrap(err)
		}
		t.total += ticks
		if i != idleField && i != ioWaitField {
			t.busy += ticks
		}
	}
	return t, nil
}

// leaders returns the names of the nodes that lead an availability zone.
func leaders(ctx context.Context, f *fleet.Fleet) (map[string]bool, error) {
	found := map[string]bool{}
	for _, n := range f.Nodes {
		dump, err := fleet.FetchDump(ctx, n.Backend)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		if dump.Board.Leader.IsSelf {
			found[n.Name] = true
		}
	}
	return found, nil
}

// setCosts computes the costs between two snapshots.
func (r *Run) setCosts(f *fleet.Fleet, before, after snapshot, leaderNames map[string]bool) {
	seconds := after.at.Sub(before.at).Seconds()
	for _, n := range f.Nodes {
		cost := &r.Follower
		if leaderNames[n.Name] {
			cost = &r.Leader
		}
		cost.add(Cost{
			Core:     (after.processorTime[n.Name] - before.processorTime[n.Name]).Seconds() / seconds,
			Memory:   after.memory[n.Name],
			Sent:     bytesBetween(before, after, n.Name, "") / seconds,
			Received: bytesBetween(before, after, "", n.Name) / seconds,
			Platform: (bytesBetween(before, after, n.Name, fleet.PlatformEndpoint) + bytesBetween(before, after, fleet.PlatformEndpoint, n.Name)) / seconds,
		})
	}
	r.Leader.average()
	r.Follower.average()
	r.PlatformReads = float64(after.calls.Reads-before.calls.Reads) / seconds
	r.PlatformWrites = float64(after.calls.Writes-before.calls.Writes) / seconds
	r.MachineBusy = (after.machine.busy - before.machine.busy) / (after.machine.total - before.machine.total)
}

// bytesBetween returns the number of bytes sent from one endpoint to another between the snapshots. An empty name
// stands for all nodes.
func bytesBetween(before, after snapshot, from, to string) float64 {
	var bytes int64
	for source, targets := range after.traffic {
		for target, t := range targets {
			if matches(from, source) && matches(to, target) {
				bytes += t.Bytes - before.traffic[source][target].Bytes
			}
		}
	}
	return float64(bytes)
}

func matches(wanted, name string) bool {
	if wanted == "" {
		return name != fleet.PlatformEndpoint
	}
	return wanted == name
}

func (c *Cost) add(one Cost) {
	c.Nodes++
	c.Core += one.Core
	c.Memory += one.Memory
	c.MaxMemory = max(c.MaxMemory, one.Memory)
	c.Sent += one.Sent
	c.Received += one.Received
	c.Platform += one.Platform
	c.MaxBytes = max(c.MaxBytes, one.Sent+one.Received+one.Platform)
}

func (c *Cost) average() {
	if c.Nodes == 0 {
		return
	}
	count := float64(c.Nodes)
	c.Core /= count
	c.Memory /= count
	c.Sent /= count
	c.Received /= count
	c.Platform /= count
}
