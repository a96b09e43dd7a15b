package balance

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

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

// ringOrder orders the available endpoints so that every stretch has its fair part of each kind: those of one kind by their
// hashed ids, and the kinds interleaved. With an instanceHash of 0 it is the same at every instance.
func ringOrder(all map[EndpointID]*endpointState, instanceHash uint64) []*endpointState {
	byHash := func(x, y *endpointState) int {
		return cmp.Compare(hashEndpoint(x.Endpoint, instanceHash), hashEndpoint(y.Endpoint, instanceHash))
	}
	byKind := map[int][]*endpointState{}
	for _, endpoint := range all {
		if endpoint.available {
			byKind[endpoint.Kind] = append(byKind[endpoint.Kind], endpoint)
		}
	}
	var order []*endpointState
	position := map[*endpointState]float64{}
	for _, kind := range byKind {
		slices.SortFunc(kind, byHash)
		for i, endpoint := range kind {
			position[endpoint] = (float64(i) + 0.5) / float64(len(kind))
		}
		order = append(order, kind...)
	}
	slices.SortFunc(order, func(x, y *endpointState) int {
		return cmp.Or(cmp.Compare(position[x], position[y]), byHash(x, y))
	})
	return order
}

// hashName is the hash of an instance's name; 0 where it has none.
func hashName(name string) uint64 {
	if name == "" {
		return 0
	}
	return xxhash.Sum64String(name) | 1
}

// hashEndpoint hashes an endpoint, for each instance in another way (the finaliser of splitmix64, which is one to one).
func hashEndpoint(id EndpointID, instanceHash uint64) uint64 {
	x := (uint64(id) ^ instanceHash) + 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
