package scenario

import (
	"fmt"
	"slices"
)

// ClassIndex returns the index of a class, or -1.
func (s *Scenario) ClassIndex(name string) int {
	return slices.IndexFunc(s.Classes, func(c Class) bool { return c.Name == name })
}

// TierIndex returns the index of a tier, or -1.
func (s *Scenario) TierIndex(name string) int {
	return slices.IndexFunc(s.Tiers, func(t Tier) bool { return t.Name == name })
}

// NextTierIndex returns the index of the tier that a tier's endpoints call; -1 if they call none.
func (s *Scenario) NextTierIndex(tier int) int {
	switch t := &s.Tiers[tier]; {
	case t.NextTier != "":
		return s.TierIndex(t.NextTier)
	case tier+1 < len(s.Tiers):
		return tier + 1
	}
	return -1
}

// EndpointNames returns the names of all endpoints in the order of the tiers and their kinds: the tier's, a dash and a
// number from 1.
func (s *Scenario) EndpointNames() []string {
	var names []string
	for _, tier := range s.Tiers {
		number := 0
		for _, kind := range tier.Kinds {
			for range kind.Endpoints {
				number++
				names = append(names, fmt.Sprintf("%s-%d", tier.Name, number))
			}
		}
	}
	return names
}
