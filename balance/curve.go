package balance

// latencyCurve models an endpoint's latency as a function of its share of the requests, as in an M/M/1 queue:
// unloaded/(1 - growth*share), where unloaded is the latency without load, in seconds.
type latencyCurve struct{ unloaded, growth float64 }

// at returns the latency at a share, in seconds, and the slope of the curve there.
func (c *latencyCurve) at(share float64) (latency, slope float64) {
	// The lower bound keeps the latency at no more than 20 times unloaded: the formula has a pole where growth*share is 1.
	free := max(0.05, 1-c.growth*share)
	return c.unloaded / free, c.unloaded * c.growth / free / free
}

// fitCurves fits every endpoint's curve to its latency at its current share. Endpoints with the same unloaded latency
// get the same growth, which is scaled so that the average endpoint has the mean utilisation.
func (b *Balancer) fitCurves(share []float64) []latencyCurve {
	n := float64(len(b.endpoints))
	var mean decayedMean
	for _, endpoint := range b.endpoints {
		mean.add(b.meanLatency(endpoint))
	}
	utilisation := b.meanUtilisation()
	// An endpoint's growth is pressure times its unloaded latency. With this pressure, growth*share is the mean utilisation
	// for an endpoint that has the mean latency and the share 1/n.
	pressure := n * utilisation / (mean.mean(0, 0) * (1 - utilisation))
	curves := make([]latencyCurve, len(b.endpoints))
	for i, endpoint := range b.endpoints {
		latency := b.meanLatency(endpoint)
		unloaded := latency / (1 + pressure*latency*max(share[i], 0.5/n)) // a small share must not make an endpoint look slow
		curves[i] = latencyCurve{unloaded: unloaded, growth: pressure * unloaded}
	}
	return curves
}

// meanUtilisation is the endpoints' mean reported utilisation, bounded to 0.3 to 0.8. Without reports it is 0.6, a medium
// utilisation at which latency already depends on load.
func (b *Balancer) meanUtilisation() float64 {
	var reported decayedMean
	for _, endpoint := range b.endpoints {
		if endpoint.utilisation.known {
			reported.add(endpoint.utilisation.value)
		}
	}
	return min(0.8, max(0.3, reported.mean(0.6, 0.1)))
}
