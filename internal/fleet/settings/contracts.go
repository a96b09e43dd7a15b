package settings

import "slices"

// coordinationContract is the contract under which applications may use locks, counters, cells and watches.
const coordinationContract = "coord"

// servedContracts are the contracts that this program implements.
var servedContracts = []string{
	"base", "drain", "config", "cost", "retry", "recover", "health", "pool", "engine", "stream", "tenants", "quota", coordinationContract,
}

// ServesCoordination reports whether applications may use locks, counters, cells and watches.
func (s *Settings) ServesCoordination() bool {
	return slices.Contains(s.Contracts, coordinationContract)
}

// UnknownContracts returns the contracts in force that this program does not implement.
func (s *Settings) UnknownContracts() []string {
	return slices.DeleteFunc(slices.Clone(s.Contracts), func(c string) bool { return slices.Contains(servedContracts, c) })
}
