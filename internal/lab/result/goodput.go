package result

import "time"

// attainableGoodput computes Result.AttainableGoodput. Capacity that is left over at the end of a second counts as lost.
func (r *analysis) attainableGoodput(seconds int) float64 {
	possible := r.possibleWorkByTier(seconds)
	work, value := r.requestedPerSecond(seconds)
	attainable, requested := 0.0, 0.0
	for second := range work {
		share, requests := 1.0, 1.0 // requests: to each tier, for each client request
		for tier, s := range r.plan.Scenario.Tiers {
			if needed := work[second] * s.Work * requests; needed > 0 {
				share = min(share, possible[tier][second]/needed)
			}
			requests *= s.Calls
		}
		attainable += value[second] * share
		requested += value[second]
	}
	return round(ratio(attainable, requested))
}

// possibleWorkByTier returns the work that the endpoints of each tier could do in each second, in seconds of a standard core.
func (r *analysis) possibleWorkByTier(seconds int) [][]float64 {
	possible := make([][]float64, len(r.plan.Scenario.Tiers))
	for tier := range possible {
		possible[tier] = make([]float64, seconds)
	}
	for i := range r.endpoints {
		ofTier := possible[r.plan.Endpoints[i].Tier]
		for second, v := range r.endpoints[i].perSecond(seconds, possibleWork) {
			ofTier[second] += v
		}
	}
	return possible
}

// requestedPerSecond returns the work, in seconds of a standard core, and the value of the requests due in each second.
func (r *analysis) requestedPerSecond(seconds int) (work, value []float64) {
	work, value = make([]float64, seconds), make([]float64, seconds)
	for i := range r.requests {
		request := &r.plan.Requests[i]
		second := int(request.Due / time.Second)
		if request.Due >= r.warmUp && second < seconds {
			work[second] += request.Work.Seconds()
			value[second] += r.requests[i].value
		}
	}
	return work, value
}
