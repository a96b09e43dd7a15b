package balance

// latencyCurve is an endpoint's latency against its share of the calls: unloaded/(1 - growth*share), with unloaded the
// latency in seconds that it would have without load (that of an M/M/1 queue).
type latencyCurve struct{ unloaded, growth float64 }

// at is the latency at a share, and its slope there.
func (c *latencyCurve) at(share float64) (latency, slope float64) {
	free := max(0.05, 1-c.growth*share)
	return c.unloaded / free, c.unloaded * c.growth / free / free
}

// fitCurves fits every endpoint's curve through its latency at its present share. The growth is the same for endpoints of
// the same speed, and such that the mean endpoint is as utilised as all are in the mean.
func (b *Balancer) fitCurves(share []float64) []latencyCurve {
	n := float64(len(b.endpoints))
	var mean decayedMean
	for _, endpoint := range b.endpoints {
		mean.add(b.meanLatency(endpoint))
	}
	utilisation := b.meanUtilisation()
	pressure := n * utilisation / (mean.mean(0, 0) * (1 - utilisation))
	curves := make([]latencyCurve, len(b.endpoints))
	for i, endpoint := range b.endpoints {
		latency := b.meanLatency(endpoint)
		unloaded := latency / (1 + pressure*latency*max(share[i], 0.5/n)) // a small share must not make it look slow
		curves[i] = latencyCurve{unloaded: unloaded, growth: pressure * unloaded}
	}
	return curves
}

// meanUtilisation is the endpoints' mean utilisation: as reported, or else a middling one, at which load is felt.
func (b *Balancer) meanUtilisation() float64 {
	var reported decayedMean
	for _, endpoint := range b.endpoints {
		if endpoint.utilisation.known {
			reported.add(endpoint.utilisation.value)
		}
	}
	return min(0.8, max(0.3, reported.mean(0.6, 0.1)))
}
