package history

import (
	"math"
	"net/http"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
)

// decisionTime bounds the decision on one counter or group.
const decisionTime = 20 * time.Second

// maxGroupKeys bounds the keys of a group that are checked as a whole.
const maxGroupKeys = 16

// checkCounterLinearizable checks a counter as a whole. Calls without a clear answer are left out: a gap is harmless.
func (c *checker) checkCounterLinearizable(name string, given []*Call) {
	model := porcupine.Model{
		Init: func() any { return uint64(0) },
		Step: func(state, _, output any) (bool, any) {
			return output.(uint64) > state.(uint64), output
		},
	}
	var operations []porcupine.Operation
	for _, call := range given {
		operations = append(operations, porcupine.Operation{Call: int64(call.Sent), Return: int64(call.Received), Output: call.Number})
	}
	c.decide(name, porcupine.CheckOperationsTimeout(model, operations, decisionTime))
}

func (c *checker) decide(name string, result porcupine.CheckResult) {
	switch result {
	case porcupine.Illegal:
		c.broken(Linear, nil, "%s is not linearizable", name)
	case porcupine.Unknown:
		c.report.Undecided = append(c.report.Undecided, name)
	}
}

// groupState is the revision of a group and those of its keys.
type groupState struct {
	revision uint64
	keys     [maxGroupKeys]uint64
}

// groupStep is a call of a group, as the model sees it.
type groupStep struct {
	kind       Kind
	key        int
	ifRevision *uint64
	revision   uint64   // answered, or known from other answers
	rejected   bool     // a 412
	candidates []uint64 // revisions that a put may have got that no answer shows
}

// checkGroupLinearizable checks a group as a whole: its revision is one count, and each key has the revision of its last put.
func (c *checker) checkGroupLinearizable(g *groupHistory) {
	keys := map[string]int{}
	for _, call := range g.calls {
		if _, known := keys[call.Name]; !known && call.Kind != Watch {
			keys[call.Name] = len(keys)
		}
	}
	if len(keys) > maxGroupKeys {
		c.report.Undecided = append(c.report.Undecided, g.name)
		return
	}
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{groupState{}} },
		Step: func(state, input, _ any) []any { return stepGroup(state.(groupState), input.(*groupStep)) },
	}
	c.decide(g.name, porcupine.CheckOperationsTimeout(model.ToModel(), groupOperations(g, keys), decisionTime))
}

// groupOperations returns a group's calls as operations of the model. The calls of one put are one operation. A watch whose revision belongs
// to no put that is known is left out.
func groupOperations(g *groupHistory, keys map[string]int) (operations []porcupine.Operation) {
	add := func(sent, received time.Duration, step *groupStep) {
		operations = append(operations, porcupine.Operation{Call: int64(sent), Return: int64(received), Input: step})
	}
	for _, p := range g.list {
		step := &groupStep{kind: Put, key: keys[p.key], ifRevision: p.ifRevision, revision: p.revision}
		switch {
		case p.revision != 0:
			add(p.sent(), p.shown, step)
		case p.rejected != nil && p.rejected.Status == http.StatusPreconditionFailed:
			step.rejected, step.revision = true, p.rejected.Revision
			add(p.rejected.Sent, p.rejected.Received, step)
		case p.isUnclear():
			if step.candidates = g.unexplained(p.key); len(step.candidates) > 0 {
				add(p.sent(), math.MaxInt64, step)
			}
		}
	}
	for _, call := range g.calls {
		switch {
		case call.Kind == Get && (call.succeeded() || call.Status == http.StatusNotFound):
			add(call.Sent, call.Received, &groupStep{kind: Get, key: keys[call.Name], revision: call.Revision})
		case call.Kind == Watch && call.succeeded() && (call.Revision == 0 || g.byRevision[call.Revision] != nil):
			add(call.Sent, call.Received, &groupStep{kind: Watch, revision: call.Revision})
		}
	}
	return operations
}

// unexplained returns the revisions that a 412 names for a key and that no put is known to have given.
func (g *groupHistory) unexplained(key string) (revisions []uint64) {
	for _, call := range g.calls {
		if call.Status == http.StatusPreconditionFailed && call.Name == key && call.Revision != 0 && g.byRevision[call.Revision] == nil &&
			!slices.Contains(revisions, call.Revision) {
			revisions = append(revisions, call.Revision)
		}
	}
	return revisions
}

// stepGroup returns the states after a call; none: the call can't have been answered so.
func stepGroup(state groupState, step *groupStep) (next []any) {
	conditionHolds := step.ifRevision == nil || *step.ifRevision == state.keys[step.key]
	switch {
	case step.kind == Get:
		return stayIf(state, state.keys[step.key] == step.revision)
	case step.kind == Watch:
		return stayIf(state, state.revision == step.revision)
	case step.rejected:
		return stayIf(state, !conditionHolds && state.keys[step.key] == step.revision)
	case len(step.candidates) > 0:
		next = stayIf(state, true)
		for _, revision := range step.candidates {
			if conditionHolds && revision > state.revision {
				next = append(next, state.after(step.key, revision))
			}
		}
		return next
	case conditionHolds && step.revision > state.revision:
		return []any{state.after(step.key, step.revision)}
	}
	return nil
}

func stayIf(state groupState, holds bool) []any {
	if !holds {
		return nil
	}
	return []any{state}
}

// after returns the state after a put.
func (s groupState) after(key int, revision uint64) groupState {
	s.revision = revision
	s.keys[key] = revision
	return s
}
