package stubfleet

import (
	"os"
	"slices"
	"strconv"
	"strings"
	"time"
)

// maxBytesWindow is the time over which the worst bytes a second are taken: that within which a change is to be in force.
const maxBytesWindow = 6 * time.Second

// Figures is what came of a play, as one flat JSON object, so that slopes can be fitted to any of its numbers. What is counted at the
// list service is of the measured time and of the hollow sidecars, unless it says otherwise.
type Figures struct {
	Scenario string  `json:"scenario"`
	Paced    bool    `json:"paced"`
	Rate     float64 `json:"discovery_calls"` // a second, of all together, as they are told; 0 where they are not paced
	Sidecars int     `json:"sidecars"`
	Real     int     `json:"real_sidecars"`
	Hosts    int     `json:"hosts"`
	Racks    int     `json:"racks"`
	Seconds  int     `json:"seconds"`
	RequestedChanges    float64 `json:"changes_per_s"`                 // as the case has it
	Changes  int     `json:"changes"`                       // as they were made
	Capacity    float64 `json:"service_calls_per_s,omitempty"` // that the service does; 0 is no bound
	OutageMs     float64 `json:"down_ms,omitempty"`             // for which it was away at first

	Calls        int64   `json:"calls"`
	Rejected       int64   `json:"turned"`
	Connections  int64   `json:"connections"` // since the play's beginning
	CallsPerS    float64 `json:"calls_per_s"`
	CallsEach    float64 `json:"calls_per_s_sidecar"`
	InPerS       float64 `json:"bytes_in_per_s"` // of HTTP, at the service
	OutPerS      float64 `json:"bytes_out_per_s"`
	BytesPerS    float64 `json:"bytes_per_s"`
	BytesEach    float64 `json:"bytes_per_s_sidecar"`
	MaxCalls   int64   `json:"worst_calls_100ms"`
	MaxBytesPerS   float64 `json:"worst_bytes_per_s_6s"`
	ServiceCores float64 `json:"service_cpu_cores"`
	StubCPU    float64 `json:"hollow_cpu_ms_per_s_sidecar"`
	StubMemory float64 `json:"hollow_memory_kb_sidecar"` // resident, its part of the rack's

	InForceP50  float64 `json:"in_force_p50_ms,omitempty"` // from a change until a sidecar acts on it, over all changes and sidecars
	InForceP99  float64 `json:"in_force_p99_ms,omitempty"`
	InForceLast float64 `json:"in_force_last_ms,omitempty"`
	NeverInForce       int     `json:"never"` // changes and sidecars of which that was not so by the end

	Starts     int     `json:"starts"`
	FirstP50   float64 `json:"first_p50_ms"` // from a sidecar's start until it acts on a first list
	FirstP99   float64 `json:"first_p99_ms"`
	FirstLast  float64 `json:"first_last_ms"`
	FirstNever int     `json:"first_never"`
	SinceBack  float64 `json:"last_since_back_ms,omitempty"` // from the service's return until the last has a first list

	WrongDigests int `json:"wrong"` // lists that were acted on and never were the service's, by their digests

	RealCallsEach   float64 `json:"real_calls_per_s_sidecar,omitempty"`
	RealBytesEach   float64 `json:"real_bytes_per_s_sidecar,omitempty"`
	RealConnections int64   `json:"real_connections,omitempty"`
	RealInForceP50  float64 `json:"real_in_force_p50_ms,omitempty"`
	RealInForceP99  float64 `json:"real_in_force_p99_ms,omitempty"`
	RealInForceLast float64 `json:"real_in_force_last_ms,omitempty"`
	RealNeverInForce       int     `json:"real_never"`
	RealFirstP50    float64 `json:"real_first_p50_ms,omitempty"`
	RealFirstP99    float64 `json:"real_first_p99_ms,omitempty"`
	RealFirstLast   float64 `json:"real_first_last_ms,omitempty"`
	RealFirstNever  int     `json:"real_first_never"`

	Load      float64 `json:"load_before"` // of the machine, over a minute
	LoadAfter float64 `json:"load_after"`
}

// figures sums a play up.
func (p *play) figures(changes []int64, lives []Incarnation, before, after []Usage, load float64) Figures {
	f := Figures{Scenario: p.Scenario, Paced: p.Paced != nil, Sidecars: p.Sidecars, Real: p.Real, Hosts: p.Hosts, Racks: p.Racks, Seconds: p.Seconds,
		RequestedChanges: p.Changes, Changes: len(changes), Load: load, LoadAfter: loadAverage()}
	if p.Paced != nil {
		f.Rate = p.Paced.Fleet.Rate
	}
	if p.ConcurrentCalls > 0 {
		f.Capacity = float64(p.ConcurrentCalls) / p.CallTime.Seconds()
	}
	if p.restoredAt > 0 {
		f.OutageMs = millis(p.Outage)
	}
	p.countCalls(&f)
	measured := (p.samples[len(p.samples)-1].at - p.samples[0].at).Seconds()
	cpu, memory := time.Duration(0), int64(0)
	for i := range p.racks {
		cpu += after[i].CPU - before[i].CPU
		memory += after[i].Memory
	}
	f.StubCPU = cpu.Seconds() * 1000 / measured / float64(p.Sidecars)
	f.StubMemory = float64(memory) / 1024 / float64(p.Sidecars)
	f.ServiceCores = (after[len(p.racks)].CPU - before[len(p.racks)].CPU).Seconds() / measured

	hollow := slices.DeleteFunc(slices.Clone(lives), func(l Incarnation) bool { return l.Number >= p.Sidecars })
	real := slices.DeleteFunc(slices.Clone(lives), func(l Incarnation) bool { return l.Number < p.Sidecars })
	took, never, wrong := p.inForce(changes, hollow)
	f.InForceP50, f.InForceP99, f.InForceLast, f.NeverInForce, f.WrongDigests = percentile(took, 50), percentile(took, 99), percentile(took, 100), never, wrong
	took, never, wrong = p.inForce(changes, real)
	f.RealInForceP50, f.RealInForceP99, f.RealInForceLast, f.RealNeverInForce = percentile(took, 50), percentile(took, 99), percentile(took, 100), never
	f.WrongDigests += wrong
	took, f.FirstNever = firstListTimes(hollow)
	f.Starts = len(hollow)
	f.FirstP50, f.FirstP99, f.FirstLast = percentile(took, 50), percentile(took, 99), percentile(took, 100)
	if p.restoredAt > 0 {
		f.SinceBack = lastFirstList(hollow, p.restoredAt)
	}
	took, f.RealFirstNever = firstListTimes(real)
	f.RealFirstP50, f.RealFirstP99, f.RealFirstLast = percentile(took, 50), percentile(took, 99), percentile(took, 100)
	return f
}

// count sums up what the service has counted.
func (p *play) countCalls(f *Figures) {
	first, last := p.samples[0], p.samples[len(p.samples)-1]
	took := (last.at - first.at).Seconds()
	a, b := first.counts[0], last.counts[0]
	f.Calls, f.Rejected, f.Connections = b.Calls-a.Calls, b.Rejected-a.Rejected, b.Connections
	f.CallsPerS = float64(f.Calls) / took
	f.InPerS, f.OutPerS = float64(b.In-a.In)/took, float64(b.Out-a.Out)/took
	f.BytesPerS = f.InPerS + f.OutPerS
	f.CallsEach, f.BytesEach = f.CallsPerS/float64(p.Sidecars), f.BytesPerS/float64(p.Sidecars)
	if p.Real > 0 {
		a, b := first.counts[1], last.counts[1]
		f.RealConnections = b.Connections
		f.RealCallsEach = float64(b.Calls-a.Calls) / took / float64(p.Real)
		f.RealBytesEach = float64(b.In+b.Out-a.In-a.Out) / took / float64(p.Real)
	}
	from := 0
	for i := 1; i < len(p.samples); i++ {
		now := p.samples[i]
		f.MaxCalls = max(f.MaxCalls, now.counts[0].Calls-p.samples[i-1].counts[0].Calls)
		for now.at-p.samples[from+1].at >= maxBytesWindow {
			from++
		}
		was := p.samples[from]
		f.MaxBytesPerS = max(f.MaxBytesPerS, float64(now.counts[0].In+now.counts[0].Out-was.counts[0].In-was.counts[0].Out)/max(now.at-was.at, maxBytesWindow).Seconds())
	}
}

// inForce is how long each change took until each sidecar acted on it, in order; how many never came to that; and how many
// lists were acted on that the service never had.
func (p *play) inForce(changes []int64, lives []Incarnation) (took []time.Duration, never, wrong int) {
	history := p.service.history
	byNumber := map[int][]Applied{}
	for _, l := range lives {
		acted := byNumber[l.Number]
		for _, a := range l.Applied {
			if a.Revision < 1 || a.Revision > int64(len(history)) || a.Digest != 0 && a.Digest != history[a.Revision-1].digest {
				wrong++
				continue
			}
			acted = append(acted, a)
		}
		byNumber[l.Number] = acted
	}
	for _, acted := range byNumber {
		slices.SortFunc(acted, func(a, b Applied) int { return int(a.At - b.At) })
		next := 0
		for _, change := range changes {
			for next < len(acted) && acted[next].Revision < change {
				next++
			}
			if next == len(acted) {
				never++
				continue
			}
			took = append(took, acted[next].At-history[change-1].at)
		}
	}
	slices.Sort(took)
	return took, never, wrong
}

// firsts is how long sidecars took from their start to a first list, in order, and how many never had one. Those that were started anew
// before they had one count as neither.
func firstListTimes(lives []Incarnation) (took []time.Duration, never int) {
	last := map[int]time.Duration{} // when each was started last
	for _, l := range lives {
		last[l.Number] = max(last[l.Number], l.StartedAt)
	}
	for _, l := range lives {
		switch {
		case len(l.Applied) > 0:
			took = append(took, l.Applied[0].At-l.StartedAt)
		case l.StartedAt == last[l.Number]:
			never++
		}
	}
	slices.Sort(took)
	return took, never
}

// lastFirstList is how long after that time the last sidecar had a first list, in ms.
func lastFirstList(lives []Incarnation, since time.Duration) (last float64) {
	for _, l := range lives {
		if len(l.Applied) > 0 {
			last = max(last, millis(l.Applied[0].At-since))
		}
	}
	return last
}

// at is a percentile of what is in order, in ms; 0 of nothing.
func percentile(sorted []time.Duration, percent int) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return millis(sorted[(len(sorted)*percent+99)/100-1])
}

func millis(d time.Duration) float64 { return d.Seconds() * 1000 }

// loadAverage is the machine's over the last minute; 0 is unknown.
func loadAverage() float64 {
	text, _ := os.ReadFile("/proc/loadavg")
	fields := strings.Fields(string(text))
	if len(fields) == 0 {
		return 0
	}
	load, _ := strconv.ParseFloat(fields[0], 64)
	return load
}
