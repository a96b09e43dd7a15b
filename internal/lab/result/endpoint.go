package result

import (
	"slices"
	"time"

	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/trace"
)

// endpointSamples are the samples of one endpoint, sorted by time.
type endpointSamples []trace.Sample

// samplesByEndpoint returns the samples of each endpoint of the plan, by its index.
func samplesByEndpoint(p *plan.Plan, log *trace.Log) []endpointSamples {
	out := make([]endpointSamples, len(p.Endpoints))
	for _, sample := range log.Samples {
		if sample.Endpoint >= 0 && sample.Endpoint < len(out) {
			out[sample.Endpoint] = append(out[sample.Endpoint], sample)
		}
	}
	for i := range out {
		slices.SortStableFunc(out[i], func(a, b trace.Sample) int { return int(a.At - b.At) })
	}
	return out
}

// summarize returns the figures of the plan's endpoint of that index, its series as many seconds long.
func (samples endpointSamples) summarize(p *plan.Plan, index, seconds int) Endpoint {
	planned := &p.Endpoints[index]
	out := Endpoint{
		Name:         planned.Name,
		Tier:         planned.Tier,
		Kind:         planned.Kind,
		Cores:        planned.Spec.Cores,
		MaxColdLoad:  samples.maxColdLoad(p.Scenario.Rules.CollapseWindow.D(), 0, maxDuration),
		Collapsed:    samples.collapsed(0, maxDuration),
		Samples:      len(samples),
		SentWork:     samples.perSecond(seconds, func(s *trace.Sample) time.Duration { return s.SentWork }),
		PossibleWork: samples.perSecond(seconds, possibleWork),
		Running:      make([]float64, seconds),
		Queued:       make([]float64, seconds),
		WarmingUp:    make([]bool, seconds),
	}
	counts := make([]float64, seconds)
	for i := range samples {
		sample := &samples[i]
		second := int(sample.At / time.Second)
		if second >= seconds {
			continue
		}
		counts[second]++
		out.Running[second] += float64(sample.Running)
		out.Queued[second] += float64(sample.Queued)
		out.WarmingUp[second] = out.WarmingUp[second] || sample.WarmingUp
	}
	for second, n := range counts {
		out.Running[second] = ratio(out.Running[second], n)
		out.Queued[second] = ratio(out.Queued[second], n)
	}
	return out
}

func possibleWork(s *trace.Sample) time.Duration { return s.PossibleWork }

// perSecond returns how much an integral grew in each second. It is interpolated linearly between samples, and from 0 at
// the run's start.
func (samples endpointSamples) perSecond(seconds int, integral func(*trace.Sample) time.Duration) []float64 {
	out := make([]float64, seconds)
	before, next := 0.0, 0
	for i := range out {
		end := time.Duration(i+1) * time.Second
		for next < len(samples) && samples[next].At < end {
			next++
		}
		var from, value time.Duration
		if next > 0 {
			from, value = samples[next-1].At, integral(&samples[next-1])
		}
		now := value.Seconds()
		if next < len(samples) && samples[next].At > from {
			growth := (integral(&samples[next]) - value).Seconds()
			now += growth * float64(end-from) / float64(samples[next].At-from)
		}
		out[i] = round(now - before)
		before = now
	}
	return out
}

// collapsed reports whether the endpoint collapsed in a window.
func (samples endpointSamples) collapsed(from, to time.Duration) bool {
	return slices.ContainsFunc(samples, func(s trace.Sample) bool { return s.Collapsed && s.At >= from && s.At < to })
}

// maxColdLoad returns the highest ratio of the work sent to the endpoint in a window to the work it could have done in it,
// over all windows that end, by the samples, while it was warming up. Before its start it counts as having the capacity
// that it starts with, as in package model. Samples are 100 ms apart, so the true maximum can be a little higher.
func (samples endpointSamples) maxColdLoad(window, from, to time.Duration) (highest float64) {
	first, base := -1, 0 // indices: the first sample of this warm-up, and the last one before the window
	for i := range samples {
		s := &samples[i]
		if !s.WarmingUp && !(s.Collapsed && first >= 0) {
			first = -1
			continue
		}
		if first < 0 {
			first, base = i, max(i-1, 0)
		}
		start := s.At - window
		for base < i && samples[base+1].At <= start {
			base++
		}
		sent := s.SentWork - samples[base].SentWork
		possible := (s.PossibleWork - samples[base].PossibleWork).Seconds()
		if samples[base].At > start || base < first {
			possible = (s.PossibleWork - samples[first].PossibleWork).Seconds()
			possible += samples[first].Capacity * max(samples[first].At-start, 0).Seconds()
			if first == 0 {
				sent = s.SentWork // warming up since the run's start
			}
		}
		if possible > 0 && s.At >= from && s.At < to {
			highest = max(highest, sent.Seconds()/possible)
		}
		if s.Collapsed {
			first = -1 // the load counts up to the collapse only
		}
	}
	return round(highest)
}
