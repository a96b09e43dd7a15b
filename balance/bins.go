package balance

// bin is a histogram bin: the requests of one class that had spent a similar fraction of their target latency at their
// arrival. Every attempt is routed by the bin that its request belongs to at that moment.
type bin struct {
	arrivals float64 // number of requests since the last refresh
	share    float64 // fraction of all requests at the last refresh
}

// binOf returns the index of a request's bin.
func (b *Balancer) binOf(request *requestState) int {
	spent := 1 - float64(request.targetAt-b.now)/float64(request.class.TargetLatency)
	k := 0
	for k < len(binEdges) && spent > binEdges[k] {
		k++
	}
	return request.classIndex*binsPerClass + k
}

// refreshBins replaces the distribution of the requests by that of the requests since the last refresh.
func (b *Balancer) refreshBins() {
	total := 0.0
	for i := range b.bins {
		total += b.bins[i].arrivals
	}
	for i := range b.bins {
		b.bins[i] = bin{share: b.bins[i].arrivals / max(total, 1)}
	}
}

// binWeights returns each bin's share of the requests. Before the first request all classes have equal shares.
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
