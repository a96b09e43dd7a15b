package stubfleet

import (
	"os"
	"slices"
	"strconv"
	"strings"
	"time"
)

// worstOver is the time over which the worst bytes a second are taken: that within which a change is to be in force.
const worstOver = 6 * time.Second

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
	Asked    float64 `json:"changes_per_s"`                 // as the case has it
	Changes  int     `json:"changes"`                       // as they were made
	Bound    float64 `json:"service_calls_per_s,omitempty"` // that the service does; 0 is no bound
	Down     float64 `json:"down_ms,omitempty"`             // for which it was away at first

	Calls        int64   `json:"calls"`
	Turned       int64   `json:"turned"`
	Connections  int64   `json:"connections"` // since the play's beginning
	CallsPerS    float64 `json:"calls_per_s"`
	CallsEach    float64 `json:"calls_per_s_sidecar"`
	InPerS       float64 `json:"bytes_in_per_s"` // of HTTP, at the service
	OutPerS      float64 `json:"bytes_out_per_s"`
	BytesPerS    float64 `json:"bytes_per_s"`
	BytesEach    float64 `json:"bytes_per_s_sidecar"`
	WorstCalls   int64   `json:"worst_calls_100ms"`
	WorstBytes   float64 `json:"worst_bytes_per_s_6s"`
	ServiceCores float64 `json:"service_cpu_cores"`
	HollowCPU    float64 `json:"hollow_cpu_ms_per_s_sidecar"`
	HollowMemory float64 `json:"hollow_memory_kb_sidecar"` // resident, its part of the rack's

	InForceP50  float64 `json:"in_force_p50_ms,omitempty"` // from a change until a sidecar acts on it, over all changes and sidecars
	InForceP99  float64 `json:"in_force_p99_ms,omitempty"`
	InForceLast float64 `json:"in_force_last_ms,omitempty"`
	Never       int     `json:"never"` // changes and sidecars of which that was not so by the end

	Starts     int     `json:"starts"`
	FirstP50   float64 `json:"first_p50_ms"` // from a sidecar's start until it acts on a first list
	FirstP99   float64 `json:"first_p99_ms"`
	FirstLast  float64 `json:"first_last_ms"`
	FirstNever int     `json:"first_never"`
	SinceBack  float64 `json:"last_since_back_ms,omitempty"` // from the service's return until the last has a first list

	Wrong int `json:"wrong"` // lists that were acted on and never were the service's, by their digests

	RealCallsEach   float64 `json:"real_calls_per_s_sidecar,omitempty"`
	RealBytesEach   float64 `json:"real_bytes_per_s_sidecar,omitempty"`
	RealConnections int64   `json:"real_connections,omitempty"`
	RealInForceP50  float64 `json:"real_in_force_p50_ms,omitempty"`
	RealInForceP99  float64 `json:"real_in_force_p99_ms,omitempty"`
	RealInForceLast float64 `json:"real_in_force_last_ms,omitempty"`
	RealNever       int     `json:"real_never"`
	RealFirstP50    float64 `json:"real_first_p50_ms,omitempty"`
	RealFirstP99    float64 `json:"real_first_p99_ms,omitempty"`
	RealFirstLast   float64 `json:"real_first_last_ms,omitempty"`
	RealFirstNever  int     `json:"real_first_never"`

	Load      float64 `json:"load_before"` // of the machine, over a minute
	LoadAfter float64 `json:"load_after"`
}

// figures sums a play up.
func (p *play) figures(changes []int64, lives []Life, before, after []Usage, load float64) Figures {
	f := Figures{Scenario: p.Scenario, Paced: p.Paced != nil, Sidecars: p.Sidecars, Real: p.Real, Hosts: p.Hosts, Racks: p.Racks, Seconds: p.Seconds,
		Asked: p.Changes, Changes: len(changes), Load: load, LoadAfter: loadAverage()}
	if p.Paced != nil {
		f.Rate = p.Paced.Fleet.Rate
	}
	if p.Calls > 0 {
		f.Bound = float64(p.Calls) / p.Call.Seconds()
	}
	if p.back > 0 {
		f.Down = millis(p.Down)
	}
	p.count(&f)
	measured := (p.looks[len(p.looks)-1].at - p.looks[0].at).Seconds()
	cpu, memory := time.Duration(0), int64(0)
	for i := range p.racks {
		cpu += after[i].CPU - before[i].CPU
		memory += after[i].Memory
	}
	f.HollowCPU = cpu.Seconds() * 1000 / measured / float64(p.Sidecars)
	f.HollowMemory = float64(memory) / 1024 / float64(p.Sidecars)
	f.ServiceCores = (after[len(p.racks)].CPU - before[len(p.racks)].CPU).Seconds() / measured

	hollow := slices.DeleteFunc(slices.Clone(lives), func(l Life) bool { return l.Number >= p.Sidecars })
	real := slices.DeleteFunc(slices.Clone(lives), func(l Life) bool { return l.Number < p.Sidecars })
	took, never, wrong := p.inForce(changes, hollow)
	f.InForceP50, f.InForceP99, f.InForceLast, f.Never, f.Wrong = at(took, 50), at(took, 99), at(took, 100), never, wrong
	took, never, wrong = p.inForce(changes, real)
	f.RealInForceP50, f.RealInForceP99, f.RealInForceLast, f.RealNever = at(took, 50), at(took, 99), at(took, 100), never
	f.Wrong += wrong
	took, f.FirstNever = firsts(hollow)
	f.Starts = len(hollow)
	f.FirstP50, f.FirstP99, f.FirstLast = at(took, 50), at(took, 99), at(took, 100)
	if p.back > 0 {
		f.SinceBack = lastFirst(hollow, p.back)
	}
	took, f.RealFirstNever = firsts(real)
	f.RealFirstP50, f.RealFirstP99, f.RealFirstLast = at(took, 50), at(took, 99), at(took, 100)
	return f
}

// count sums up what the service has counted.
func (p *play) count(f *Figures) {
	first, last := p.looks[0], p.looks[len(p.looks)-1]
	took := (last.at - first.at).Seconds()
	a, b := first.counts[0], last.counts[0]
	f.Calls, f.Turned, f.Connections = b.Calls-a.Calls, b.Turned-a.Turned, b.Connections
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
	for i := 1; i < len(p.looks); i++ {
		now := p.looks[i]
		f.WorstCalls = max(f.WorstCalls, now.counts[0].Calls-p.looks[i-1].counts[0].Calls)
		for now.at-p.looks[from+1].at >= worstOver {
			from++
		}
		was := p.looks[from]
		f.WorstBytes = max(f.WorstBytes, float64(now.counts[0].In+now.counts[0].Out-was.counts[0].In-was.counts[0].Out)/max(now.at-was.at, worstOver).Seconds())
	}
}

// inForce is how long each change took until each sidecar acted on it, in order; how many never came to that; and how many
// lists were acted on that the service never had.
func (p *play) inForce(changes []int64, lives []Life) (took []time.Duration, never, wrong int) {
	history := p.service.history
	byNumber := map[int][]Acted{}
	for _, l := range lives {
		acted := byNumber[l.Number]
		for _, a := range l.Acted {
			if a.Revision < 1 || a.Revision > int64(len(history)) || a.Digest != 0 && a.Digest != history[a.Revision-1].digest {
				wrong++
				continue
			}
			acted = append(acted, a)
		}
		byNumber[l.Number] = acted
	}
	for _, acted := range byNumber {
		slices.SortFunc(acted, func(a, b Acted) int { return int(a.At - b.At) })
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
func firsts(lives []Life) (took []time.Duration, never int) {
	last := map[int]time.Duration{} // when each was started last
	for _, l := range lives {
		last[l.Number] = max(last[l.Number], l.Begun)
	}
	for _, l := range lives {
		switch {
		case len(l.Acted) > 0:
			took = append(took, l.Acted[0].At-l.Begun)
		case l.Begun == last[l.Number]:
			never++
		}
	}
	slices.Sort(took)
	return took, never
}

// lastFirst is how long after that time the last sidecar had a first list, in ms.
func lastFirst(lives []Life, since time.Duration) (last float64) {
	for _, l := range lives {
		if len(l.Acted) > 0 {
			last = max(last, millis(l.Acted[0].At-since))
		}
	}
	return last
}

// at is a percentile of what is in order, in ms; 0 of nothing.
func at(sorted []time.Duration, percent int) float64 {
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
