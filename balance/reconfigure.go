package balance

import "pinelb.example/pinelb/balance/warmup"

// tokenBucket is this instance's part of a tenant's quota.
type tokenBucket struct {
	rate   float64 // tokens a second, and the burst
	tokens float64
}

// applySettings takes over settings. What was learned of the classes that there are stays.
func (b *Balancer) applySettings(s *Settings) {
	b.settings = *s
	b.instanceHash = hashName(s.Name)
	b.warmupConfig = warmup.Config{InitialShare: s.WarmupInitialShare, Duration: s.WarmupDuration, TargetLatency: s.Classes[0].TargetLatency, InstancesKnown: s.Name == ""}
	for i, class := range s.Classes {
		b.warmupConfig.TargetLatency = min(b.warmupConfig.TargetLatency, class.TargetLatency)
		if i == len(b.classes) {
			b.classes = append(b.classes, &classState{})
			b.bins = append(b.bins, make([]bin, binsPerClass)...)
		}
		changed := *b.classes[i] // requests under way keep the class as it was
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

// onSettings takes over changed settings. What was learned of endpoints and classes stays. Requests under way keep the
// class that they came with, as it was then, but make no more attempts than are allowed now.
func (b *Balancer) onSettings(s *Settings) {
	b.limit *= b.settings.processCount() / s.processCount() // this process's part of the same limit
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

// initialLatencies is what an answer of each class is taken to need until some are known, in seconds.
func initialLatencies(classes []Class) []float64 {
	var seconds []float64
	for _, class := range classes {
		seconds = append(seconds, initialLatencyShare*class.TargetLatency.Seconds())
	}
	return seconds
}

// initialLatencyShare of a class's target latency is what its answers are taken to need until some are known.
const initialLatencyShare = 0.1
