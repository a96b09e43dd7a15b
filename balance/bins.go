package balance

// bin is a part of a class's calls, by the share of their target latency that was spent when they were routed.
type bin struct {
	arrivals float64 // since the last refresh
	share    float64 // of all calls, as of the last refresh
}

// binOf is the index of a request's bin.
func (b *Balancer) binOf(request *requestState) int {
	spent := 1 - float64(request.targetAt-b.now)/float64(request.class.TargetLatency)
	k := 0
	for k < len(binEdges) && spent > binEdges[k] {
		k++
	}
	return request.classIndex*binsPerClass + k
}

// refreshBins takes over the distribution of the calls since the last refresh.
func (b *Balancer) refreshBins() {
	total := 0.0
	for i := range b.bins {
		total += b.bins[i].arrivals
	}
	for i := range b.bins {
		b.bins[i] = bin{share: b.bins[i].arrivals / max(total, 1)}
	}
}

// binWeights is each bin's share of the calls; even over the classes until some have come.
func (b *Balancer) binWeights() []float64 {
	weights := make([]float64, len(b.bins))
	for i := range b.bins {
		weights[i] = b.bins[i].share + b.bins[i].arrivals*arrivalWeight
		if i%binsPerClass == 0 {
			weights[i] += arrivalWeight
		}
	}
	normalise(weights)
	return weights
}
