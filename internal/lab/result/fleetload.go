package result

import (
	"slices"
	"time"

	"pinelb.example/pinelb/internal/lab/trace"
)

// countInterval is the length of the intervals in which polls and connections are counted.
const countInterval = 100 * time.Millisecond

// discoveryEndpoint is the index by which the trace records connections to the discovery service.
const discoveryEndpoint = -1

// FleetLoad is what a fleet of sidecars asks of the discovery service and of the endpoints' listeners, and how long
// sidecars take to serve. Counts are of the whole run; quantiles are null without any value.
type FleetLoad struct {
	Polls                    int        `json:"list_calls"`      // requests to the discovery service
	RejectedPolls            int        `json:"list_turned"`     // of these, those beyond the service's capacity
	DiscoveryConnections     int        `json:"list_dials"`      // connections to the service
	MaxPolls                 int        `json:"list_peak"`       // highest of PollCounts
	PollCounts               []int      `json:"list_steps"`      // polls in each 100 ms
	MaxEndpointConnections   int        `json:"handshakes"`      // highest of EndpointConnectionCounts
	EndpointConnectionCounts []int      `json:"handshake_steps"` // in each 100 ms, new connections at the endpoint with the most of them
	EndpointConnections      int        `json:"box_dials"`       // connections to endpoints
	TimeToReady              *Quantiles `json:"ready"`           // from a process's start until it accepted clients
	TimeToEndpointList       *Quantiles `json:"listed"`          // from a process's start until the discovery service had answered it
	TimeToFirstServed        *Quantiles `json:"served_first"`    // until the first request was served, from the process's start or its first request, if later
	NeverReady               int        `json:"never_ready"`     // processes alive at the end that never accepted clients
	NeverListed              int        `json:"never_listed"`    // processes alive at the end that the discovery service never answered
	NeverServed              int        `json:"never_served"`    // processes alive at the end that got requests and served none
}

// Quantiles are seconds, over processes or stragglers.
type Quantiles struct {
	P50 float64 `json:"p50_s"`
	P99 float64 `json:"p99_s"`
	Max float64 `json:"max_s"`
}

// quantilesOf sorts the durations and returns their quantiles, nil if there are none.
func quantilesOf(durations []time.Duration) *Quantiles {
	if len(durations) == 0 {
		return nil
	}
	slices.Sort(durations)
	at := func(share float64) float64 {
		return round(durations[int(share*float64(len(durations)-1))].Seconds())
	}
	return &Quantiles{P50: at(0.5), P99: at(0.99), Max: at(1)}
}

// fleetLoad computes the run's FleetLoad.
func (r *analysis) fleetLoad() *FleetLoad {
	out := &FleetLoad{EndpointConnectionCounts: []int{}}
	r.addPolls(out)
	r.addConnections(out)
	r.addStartTimes(out)
	return out
}

func (r *analysis) addPolls(out *FleetLoad) {
	polls, rejected := r.polls(-maxDuration, maxDuration)
	out.Polls = len(polls)
	out.RejectedPolls = rejected
	out.PollCounts = countPerInterval(polls)
	out.MaxPolls = maxPerInterval(polls)
}

func (r *analysis) addConnections(out *FleetLoad) {
	for endpoint, times := range r.connections(-maxDuration, maxDuration) {
		if endpoint < 0 {
			out.DiscoveryConnections += len(times)
			continue
		}
		out.EndpointConnections += len(times)
		for i, n := range countPerInterval(times) {
			if i == len(out.EndpointConnectionCounts) {
				out.EndpointConnectionCounts = append(out.EndpointConnectionCounts, 0)
			}
			out.EndpointConnectionCounts[i] = max(out.EndpointConnectionCounts[i], n)
			out.MaxEndpointConnections = max(out.MaxEndpointConnections, n)
		}
	}
}

func (r *analysis) addStartTimes(out *FleetLoad) {
	var ready, listed, firstServed []time.Duration
	for _, process := range r.processRuns() {
		add := func(times *[]time.Duration, never *int, at, since time.Duration) {
			switch {
			case at != trace.Unset:
				*times = append(*times, at-since)
			case process.endedAt == trace.Unset:
				*never++
			}
		}
		add(&ready, &out.NeverReady, process.readyAt, process.startedAt)
		add(&listed, &out.NeverListed, process.listedAt, process.startedAt)
		if process.firstRequestAt != trace.Unset {
			add(&firstServed, &out.NeverServed, process.firstServedAt, max(process.startedAt, process.firstRequestAt))
		}
	}
	out.TimeToReady = quantilesOf(ready)
	out.TimeToEndpointList = quantilesOf(listed)
	out.TimeToFirstServed = quantilesOf(firstServed)
}

// measureFleetLoad returns one of the measures of FleetLoad or of an AttemptPeak, in a window. known is false where there
// was nothing to measure.
func (r *analysis) measureFleetLoad(measure string, from, to time.Duration) (value float64, known bool) {
	switch measure {
	case "attempts_peak", "again_peak":
		peak := r.attemptPeak(from, to)
		if peak == nil {
			return 0, false
		}
		if measure == "again_peak" {
			return float64(peak.Additional), true
		}
		return float64(peak.Attempts), true
	case "list_calls", "list_refused", "list_peak":
		return r.measurePolls(measure, from, to)
	case "list_dials", "handshakes":
		return r.measureConnections(measure, from, to), true
	}
	return r.maxStartTime(measure, from, to), len(r.log.SidecarEvents) > 0
}

func (r *analysis) measurePolls(measure string, from, to time.Duration) (value float64, known bool) {
	polls, rejected := r.polls(from, to)
	switch measure {
	case "list_refused":
		return ratio(float64(rejected), float64(len(polls))), len(polls) > 0
	case "list_peak":
		return float64(maxPerInterval(polls)), true
	default:
		return float64(len(polls)), true
	}
}

func (r *analysis) measureConnections(measure string, from, to time.Duration) float64 {
	connections := r.connections(from, to)
	if measure == "list_dials" {
		return float64(len(connections[discoveryEndpoint]))
	}
	highest := 0
	for endpoint, times := range connections {
		if endpoint >= 0 {
			highest = max(highest, maxPerInterval(times))
		}
	}
	return float64(highest)
}

// maxStartTime returns for how many seconds of a window the slowest process was not able to do what the measure names. A
// process that never became able counts until its end, or the run's.
func (r *analysis) maxStartTime(measure string, from, to time.Duration) (longest float64) {
	for _, process := range r.processRuns() {
		ableAt, since := process.readyAt, max(process.startedAt, from)
		switch measure {
		case "unlisted":
			ableAt = process.listedAt
		case "unserving":
			if process.firstRequestAt == trace.Unset {
				continue
			}
			ableAt, since = process.firstServedAt, max(process.startedAt, process.firstRequestAt, from)
		}
		if ableAt == trace.Unset {
			ableAt = process.endedAt
		}
		if ableAt == trace.Unset {
			ableAt = r.log.End
		}
		longest = max(longest, min(ableAt, to, r.log.End).Seconds()-since.Seconds())
	}
	return round(longest)
}

// polls returns the times of the polls in a window, and how many of them were rejected.
func (r *analysis) polls(from, to time.Duration) (times []time.Duration, rejected int) {
	for _, poll := range r.log.Polls {
		if poll.At < from || poll.At >= to {
			continue
		}
		times = append(times, poll.At)
		if poll.Outcome == trace.PollRejected {
			rejected++
		}
	}
	return times, rejected
}

// connections returns the times of the connections in a window, by endpoint.
func (r *analysis) connections(from, to time.Duration) map[int][]time.Duration {
	out := map[int][]time.Duration{}
	for _, connection := range r.log.Connections {
		if connection.At >= from && connection.At < to {
			out[connection.Endpoint] = append(out[connection.Endpoint], connection.At)
		}
	}
	return out
}

// countPerInterval counts times by intervals of countInterval. Those before the run's start count into the first one.
func countPerInterval(times []time.Duration) []int {
	counts := []int{}
	for _, at := range times {
		i := int(max(0, at) / countInterval)
		for len(counts) <= i {
			counts = append(counts, 0)
		}
		counts[i]++
	}
	return counts
}

func maxPerInterval(times []time.Duration) (highest int) {
	for _, n := range countPerInterval(times) {
		highest = max(highest, n)
	}
	return highest
}
