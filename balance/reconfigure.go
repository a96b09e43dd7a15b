package balance

import "pinelb.example/pinelb/balance/warmup"

// tokenBucket is this instance's share of a tenant's quota.
type tokenBucket struct {
	rate   float64 // tokens per second; the bucket holds up to max(1, rate) tokens
	tokens float64
}

// applySettings applies settings. Existing classes keep their learned state.
func (b *Balancer) applySettings(s *Settings) {
	b.settings = *s
	b.instanceHash = hashName(s.Name)
	// TargetLatency becomes the shortest of all classes below. The number of instances counts as exact only if this
	// instance has no name.
	b.warmupConfig = warmup.Config{InitialShare: s.WarmupInitialShare, Duration: s.WarmupDuration, TargetLatency: s.Classes[0].TargetLatency, InstancesKnown: s.Name == ""}
	for i, class := range s.Classes {
		b.warmupConfig.TargetLatency = min(b.warmupConfig.TargetLatency, class.TargetLatency)
		if i == len(b.classes) {
			b.classes = append(b.classes, &classState{})
			b.bins = append(b.bins, make([]bin, binsPerClass)...)
		}
		changed := *b.classes[i] // a copy: requests in progress keep their class unchanged
		changed.Class = class
		b.classes[i] = &changed
	}
	b.detector.AddClasses(initialLatencies(s.Classes))
	b.tenants = nil
	for _, tenant := range s.Tenants {
		rate := tenant.Quota / s.processCount()
		b.tenants = append(b.tenants, tokenBucket{rate: rate, tokens: rate})
	}
	b.updateClassWeights()
}

// onSettings applies changed settings. The learned state of endpoints and classes is kept. Requests in progress keep
// the class settings from their arrival, but the new maximum number of attempts applies to them.
func (b *Balancer) onSettings(s *Settings) {
	b.limit *= b.settings.processCount() / s.processCount() // this process's share of the same total limit
	b.tickInterval = max(minTickInterval, s.TimeResolution)
	b.applySettings(s)
	for len(b.rows) < len(b.bins) {
		row := make([]float64, len(b.endpoints))
		for i := range row {
			row[i] = 1 / float64(len(row))
		}
		b.rows = append(b.rows, row)
	}
	for _, request := range b.unanswered {
		request.maxAttempts = min(request.maxAttempts, s.MaxAttempts)
	}
	b.rebuildEndpoints()
	b.solveNeeded = true
}

// initialLatencies returns the assumed latency of each class before any answer, in seconds.
func initialLatencies(classes []Class) []float64 {
	var seconds []float64
	for _, class := range classes {
		seconds = append(seconds, initialLatencyShare*class.TargetLatency.Seconds())
	}
	return seconds
}

// initialLatencyShare is the assumed latency of a class before any answer, as a fraction of its target latency.
const initialLatencyShare = 0.1
