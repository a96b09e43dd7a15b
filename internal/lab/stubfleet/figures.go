package stubfleet

import (
	"slices"
	"time"
)

// maxBytesWindow is the window of the maximum of bytes a second: the time within which a change is to be in force.
const maxBytesWindow = 6 * time.Second

// Figures are the results of a play, as one flat JSON object, so that slopes can be fitted to any of its numbers. What is counted
// at the list service is of the measured time and of the stub sidecars, unless a field says otherwise.
type Figures struct {
	Scenario         string  `json:"scenario"`
	Paced            bool    `json:"paced"`
	Rate             float64 `json:"discovery_calls"` // a second, of all together, as configured; 0 without pacing
	Sidecars         int     `json:"sidecars"`
	Real             int     `json:"real_sidecars"`
	Hosts            int     `json:"hosts"`
	Racks            int     `json:"racks"`
	Seconds          int     `json:"seconds"`
	RequestedChanges float64 `json:"changes_per_s"`                 // as configured
	Changes          int     `json:"changes"`                       // made
	Capacity         float64 `json:"service_calls_per_s,omitempty"` // that the service can handle; 0: unlimited
	OutageMs         float64 `json:"down_ms,omitempty"`             // of the service at the start

	Calls        int64   `json:"calls"`
	Rejected     int64   `json:"turned"`
	Connections  int64   `json:"connections"` // since the start of the play
	CallsPerS    float64 `json:"calls_per_s"`
	CallsEach    float64 `json:"calls_per_s_sidecar"`
	InPerS       float64 `json:"bytes_in_per_s"` // of HTTP, at the service
	OutPerS      float64 `json:"bytes_out_per_s"`
	BytesPerS    float64 `json:"bytes_per_s"`
	BytesEach    float64 `json:"bytes_per_s_sidecar"`
	MaxCalls     int64   `json:"worst_calls_100ms"`
	MaxBytesPerS float64 `json:"worst_bytes_per_s_6s"`
	ServiceCores float64 `json:"service_cpu_cores"`
	StubCPU      float64 `json:"hollow_cpu_ms_per_s_sidecar"`
	StubMemory   float64 `json:"hollow_memory_kb_sidecar"` // resident, the rack's divided by its stubs

	InForceP50   float64 `json:"in_force_p50_ms,omitempty"` // from a change until a sidecar has applied it, over all changes and sidecars
	InForceP99   float64 `json:"in_force_p99_ms,omitempty"`
	InForceLast  float64 `json:"in_force_last_ms,omitempty"`
	NeverInForce int     `json:"never"` // pairs of change and sidecar for which that did not happen

	Starts     int     `json:"starts"`
	FirstP50   float64 `json:"first_p50_ms"` // from a sidecar's start until it has applied a first list
	FirstP99   float64 `json:"first_p99_ms"`
	FirstLast  float64 `json:"first_last_ms"`
	FirstNever int     `json:"first_never"`
	SinceBack  float64 `json:"last_since_back_ms,omitempty"` // from the end of the outage until the last has a first list

	WrongDigests int `json:"wrong"` // applied lists that the service never had, by their digests

	RealCallsEach    float64 `json:"real_calls_per_s_sidecar,omitempty"`
	RealBytesEach    float64 `json:"real_bytes_per_s_sidecar,omitempty"`
	RealConnections  int64   `json:"real_connections,omitempty"`
	RealInForceP50   float64 `json:"real_in_force_p50_ms,omitempty"`
	RealInForceP99   float64 `json:"real_in_force_p99_ms,omitempty"`
	RealInForceLast  float64 `json:"real_in_force_last_ms,omitempty"`
	RealNeverInForce int     `json:"real_never"`
	RealFirstP50     float64 `json:"real_first_p50_ms,omitempty"`
	RealFirstP99     float64 `json:"real_first_p99_ms,omitempty"`
	RealFirstLast    float64 `json:"real_first_last_ms,omitempty"`
	RealFirstNever   int     `json:"real_first_never"`

	Load      float64 `json:"load_before"` // of the machine, over a minute
	LoadAfter float64 `json:"load_after"`
}

// figures computes the results of a play.
func (p *play) figures(changes []int64, incarnations []Incarnation, before, after []Usage, load float64) Figures {
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

	stubs := slices.DeleteFunc(slices.Clone(incarnations), func(l Incarnation) bool { return l.Number >= p.Sidecars })
	realSidecars := slices.DeleteFunc(slices.Clone(incarnations), func(l Incarnation) bool { return l.Number < p.Sidecars })
	delays, never, wrong := p.inForce(changes, stubs)
	f.InForceP50, f.InForceP99, f.InForceLast, f.NeverInForce, f.WrongDigests = percentile(delays, 50), percentile(delays, 99), percentile(delays, 100), never, wrong
	delays, never, wrong = p.inForce(changes, realSidecars)
	f.RealInForceP50, f.RealInForceP99, f.RealInForceLast, f.RealNeverInForce = percentile(delays, 50), percentile(delays, 99), percentile(delays, 100), never
	f.WrongDigests += wrong
	delays, f.FirstNever = firstListTimes(stubs)
	f.Starts = len(stubs)
	f.FirstP50, f.FirstP99, f.FirstLast = percentile(delays, 50), percentile(delays, 99), percentile(delays, 100)
	if p.restoredAt > 0 {
		f.SinceBack = lastFirstList(stubs, p.restoredAt)
	}
	delays, f.RealFirstNever = firstListTimes(realSidecars)
	f.RealFirstP50, f.RealFirstP99, f.RealFirstLast = percentile(delays, 50), percentile(delays, 99), percentile(delays, 100)
	return f
}

// countCalls computes the results of the samples of the service.
func (p *play) countCalls(f *Figures) {
	first, last := p.samples[0], p.samples[len(p.samples)-1]
	seconds := (last.at - first.at).Seconds()
	a, b := first.counts[0], last.counts[0]
	f.Calls, f.Rejected, f.Connections = b.Calls-a.Calls, b.Rejected-a.Rejected, b.Connections
	f.CallsPerS = float64(f.Calls) / seconds
	f.InPerS, f.OutPerS = float64(b.In-a.In)/seconds, float64(b.Out-a.Out)/seconds
	f.BytesPerS = f.InPerS + f.OutPerS
	f.CallsEach, f.BytesEach = f.CallsPerS/float64(p.Sidecars), f.BytesPerS/float64(p.Sidecars)
	if p.Real > 0 {
		a, b := first.counts[1], last.counts[1]
		f.RealConnections = b.Connections
		f.RealCallsEach = float64(b.Calls-a.Calls) / seconds / float64(p.Real)
		f.RealBytesEach = float64(b.In+b.Out-a.In-a.Out) / seconds / float64(p.Real)
	}
	from := 0
	for i := 1; i < len(p.samples); i++ {
		current := p.samples[i]
		f.MaxCalls = max(f.MaxCalls, current.counts[0].Calls-p.samples[i-1].counts[0].Calls)
		for current.at-p.samples[from+1].at >= maxBytesWindow {
			from++
		}
		start := p.samples[from]
		f.MaxBytesPerS = max(f.MaxBytesPerS, float64(current.counts[0].In+current.counts[0].Out-start.counts[0].In-start.counts[0].Out)/max(current.at-start.at, maxBytesWindow).Seconds())
	}
}
