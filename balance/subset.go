package balance

// chooseSubset picks the endpoints that this instance uses: of a large fleet it would otherwise send each one too few calls
// to learn from, and all instances together would fill every connection table (compare deterministic subsetting in
// Beyer et al., Site Reliability Engineering, chapter 20). They are the first in an order that is hashed from the
// instance's name and their ids, so that no rank is needed and one endpoint more or less changes little. An instance
// without a name takes a stretch of an order that all instances share, from its rank on.
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
		endpoint.inSubset = usable < size && i < 2*size
		if !endpoint.halfOpen || b.panicMode { // an ejected one stays for its trial, and the next stands in
			usable++
		}
	}
}
