package balance

// chooseSubset chooses the endpoints that this instance uses. With all endpoints of a large fleet it would send too few
// requests to each of them to learn from, and all instances together would fill the endpoints' connection tables (compare
// deterministic subsetting in Beyer et al., Site Reliability Engineering, chapter 20). The subset is the start of an
// order hashed from the instance's name and the endpoint IDs: this needs no rank, and an added or removed endpoint
// changes little. An instance without a name uses a contiguous range, chosen by its rank, of an order that is common to
// all instances.
func (b *Balancer) chooseSubset() {
	b.readyEndpoints = ringOrder(b.endpointsByID, b.instanceHash)
	n := len(b.readyEndpoints)
	first := 0
	if b.instanceHash == 0 {
		first = b.settings.Rank * n / b.settings.Instances
	}
	b.scaleLimitToCapacity()
	size := max(minSubsetSize, (targetInstancesPerEndpoint*n+b.settings.Instances-1)/b.settings.Instances)
	b.instancesPerEndpoint = b.settings.processCount() * float64(min(n, size)) / float64(max(1, n))
	usable := 0
	for i := range n {
		endpoint := b.readyEndpoints[(first+i)%n]
		// An ejected or half-open endpoint stays in the subset for its recovery, but does not count toward size: the next one
		// in the order replaces it. However many there are, the subset has at most 2*size endpoints. In panic mode, which
		// ignores health, they count.
		endpoint.inSubset = usable < size && i < 2*size
		if !endpoint.halfOpen || b.panicMode {
			usable++
		}
	}
}
