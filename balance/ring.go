package balance

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ringOrder orders the available endpoints so that every contiguous range has a proportional share of each kind:
// endpoints of one kind are ordered by their hashed IDs, and the kinds are interleaved. With an instanceHash of 0 the
// order is the same at every instance.
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

// hashName returns a nonzero hash of an instance's name, or 0 if the name is empty.
func hashName(name string) uint64 {
	if name == "" {
		return 0
	}
	return xxhash.Sum64String(name) | 1
}

// hashEndpoint hashes an endpoint ID differently for each instance, with the finaliser of splitmix64, which is
// one-to-one.
func hashEndpoint(id EndpointID, instanceHash uint64) uint64 {
	x := (uint64(id) ^ instanceHash) + 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
