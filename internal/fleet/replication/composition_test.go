package replication

import (
	"slices"
	"testing"
)

// fixedConditions are conditions that a test sets; lists of strings hold the addresses of replicas.
type fixedConditions struct {
	joining                                                []Replica
	unresponsive, resigning, penalized, excluded, caughtUp []string
}

func (f fixedConditions) joiningReplicas() []Replica { return slices.Clone(f.joining) }
func (f fixedConditions) isResponsive(r Replica) bool {
	return !slices.Contains(f.unresponsive, r.Address)
}
func (f fixedConditions) isResigning(r Replica) bool { return slices.Contains(f.resigning, r.Address) }
func (f fixedConditions) isPenalized(r Replica) bool { return slices.Contains(f.penalized, r.Address) }
func (f fixedConditions) isExcluded(r Replica) bool  { return slices.Contains(f.excluded, r.Address) }
func (f fixedConditions) isCaughtUp(r Replica) bool  { return slices.Contains(f.caughtUp, r.Address) }

func addressesOf(replicas []Replica) []string {
	var addresses []string
	for _, r := range replicas {
		addresses = append(addresses, r.Address)
	}
	return addresses
}

// Guards against a next view that does not follow from the current view and the conditions alone.
func TestCompositionOfThree(t *testing.T) {
	a, b, c, d := Replica{Address: "a"}, Replica{Address: "b"}, Replica{Address: "c"}, Replica{Address: "d"}
	current := View{Number: 7, Primary: a, Members: []Replica{a, b, c}, Witnesses: []Replica{a, b, c}}
	for name, test := range map[string]struct {
		conditions         fixedConditions
		onlyCaughtUp       bool
		witnesses, members []string
	}{
		"no condition changes nothing":                       {fixedConditions{}, false, []string{"a", "b", "c"}, []string{"a", "b", "c"}},
		"a joiner is not added to healthy witnesses":         {fixedConditions{joining: []Replica{d}}, false, []string{"a", "b", "c"}, []string{"a", "b", "c"}},
		"a joiner replaces an unresponsive witness":          {fixedConditions{joining: []Replica{d}, unresponsive: []string{"b"}}, false, []string{"a", "c", "d"}, []string{"a", "c", "d"}},
		"a joiner replaces a resigning witness":              {fixedConditions{joining: []Replica{d}, resigning: []string{"c"}}, false, []string{"a", "b", "d"}, []string{"a", "b", "d"}},
		"a joiner that is not caught up is not added":        {fixedConditions{joining: []Replica{d}, resigning: []string{"c"}}, true, []string{"a", "b", "c"}, []string{"a", "b"}},
		"a joiner that is caught up is added":                {fixedConditions{joining: []Replica{d}, resigning: []string{"c"}, caughtUp: []string{"d"}}, true, []string{"a", "b", "d"}, []string{"a", "b", "d"}},
		"a joiner replaces its machine's former replica":     {fixedConditions{joining: []Replica{{Address: "b", Nonce: 5}}}, false, []string{"a", "b", "c"}, []string{"a", "c", "b"}},
		"a penalized member is removed if two others remain": {fixedConditions{penalized: []string{"b"}}, false, []string{"a", "b", "c"}, []string{"a", "c"}},
		"an excluded joiner is not added":                    {fixedConditions{joining: []Replica{d}, resigning: []string{"c"}, excluded: []string{"d"}}, false, []string{"a", "b", "c"}, []string{"a", "b"}},
	} {
		t.Run(name, func(t *testing.T) {
			next := composition{
				topology: topology{
					tolerance:  Tolerance{Machines: 1},
					localityOf: func(a string) Locality { return Locality{Zone: a, Known: true, CountsForQuorum: true} },
				},
				self: a, view: &current, conditions: test.conditions,
			}
			witnesses := next.nextWitnesses(test.onlyCaughtUp)
			if got := addressesOf(witnesses); !slices.Equal(got, test.witnesses) {
				t.Errorf("the witnesses are %v, expected %v", got, test.witnesses)
			}
			isEligible := func(r Replica) bool { return test.conditions.isResponsive(r) }
			if got := addressesOf(next.nextMembers(witnesses, isEligible)); !slices.Equal(got, test.members) {
				t.Errorf("the members are %v, expected %v", got, test.members)
			}
		})
	}
}
