package decision

// Costs that the ideal scheduler adds up, in late calls.
const (
	missCost  = 1e-5 // of a prompt's token that is not in the cache
	delayCost = 0.05 // of a delay as long as the target latency
)

// limitShare is the share of a target or a permitted stall up to which a call counts as in time.
const limitShare = 0.9

// idealEngine returns the engine where a call costs least, to itself and to the streams there, by the true state of all engines.
func (w *simulation) idealEngine(c *call) int {
	best, minCost := 0, 0.0
	for i, e := range w.engines {
		cached := e.cache.cachedTokens(c)
		prefill := e.spec.minFirstTokenTime(c.prompt, cached)
		delay := e.queuedWork(c.class.Priority) + prefill
		target := c.class.TargetMs*millisecond - 2*clientDelay - 2*endpointDelay
		cost := delayCost*delay/target + missCost*(c.prompt-cached)
		if delay > limitShare*target {
			cost++
		}
		cost += e.stalledStreams(c.prompt, cached)
		if i == 0 || cost < minCost {
			best, minCost = i, cost
		}
	}
	return best
}

// stalledStreams returns how many streams of an engine would stall too long during the prefill of a prompt.
func (e *engine) stalledStreams(prompt, cached float64) float64 {
	stride := min(float64(e.spec.Stride)*float64(e.spec.Chunk), prompt-cached)
	stall := float64(e.spec.Stride)*e.spec.StepMs + e.spec.prefillMs(prompt-stride, stride)
	stalled := 0.0
	for _, s := range e.decoding {
		if stall > limitShare*s.call.class.Stream.MaxGapMs && s.call.output-s.produced > e.spec.Stride {
			stalled++
		}
	}
	return stalled
}
