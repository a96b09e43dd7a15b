package settings

import "slices"

// coordinationContract is in force where applications call for locks, counters and cells.
const coordinationContract = "coord"

// servedContracts are the parts of the rules that this program keeps.
var servedContracts = []string{
	"base", "drain", "config", "cost", "retry", "recover", "health", "pool", "engine", "stream", "tenants", "quota", coordinationContract,
}

// ServesCoordination reports whether applications may call for locks, counters, cells and watches.
func (s *Settings) ServesCoordination() bool {
	return slices.Contains(s.Contracts, coordinationContract)
}

// UnknownContracts returns the contracts in force that this program does not know: what they ask for is not served.
func (s *Settings) UnknownContracts() []string {
	return slices.DeleteFunc(slices.Clone(s.Contracts), func(c string) bool { return slices.Contains(servedContracts, c) })
}
