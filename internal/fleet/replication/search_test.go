package replication

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// limits bound one walk of the search.
type limits struct{ elections, proposals, restarts, wipes, steps int }

// walk takes random steps in a world, adds the fingerprints of its states to seen, and returns the first fault, or an
// empty string.
func walk(w *world, r *rand.Rand, l limits, seen map[uint64]bool) string {
	for range l.steps {
		w.step(r, &l)
		seen[w.fingerprint()] = true
		if fault := w.fault(); fault != "" {
			return fault
		}
	}
	return ""
}

// step performs one random action at a random replica. The probabilities are in percent.
func (w *world) step(r *rand.Rand, l *limits) {
	h := w.replicas[r.IntN(len(w.replicas))]
	switch p := r.IntN(100); {
	case p < 4:
		if l.elections > 0 && h.canBecomeCandidate() {
			l.elections--
			w.apply(h, h.node.becomeCandidate(w.now))
		}
	case p < 14:
		if l.proposals > 0 && w.proposeAnywhere() {
			l.proposals--
		}
	case p < 16:
		if l.restarts > 0 {
			l.restarts--
			w.restart(h)
		}
	case p < 18:
		if l.wipes > 0 && h.disk.Self.Nonce == 0 {
			l.wipes--
			w.wipe(h)
		}
	case p < 30:
		w.advanceTime()
	case p < 34:
		w.requestJoin(h)
	default:
		w.deliverRandom(r)
	}
}

func (h *host) canBecomeCandidate() bool {
	view, status := h.node.View(), h.node.Status()
	return view.HasMember(h.node.Self()) && (status == Following || status == Leading || status == Accepting)
}

func (w *world) proposeAnywhere() bool {
	for _, h := range w.replicas {
		if w.propose(h) {
			return true
		}
	}
	return false
}

// advanceTime advances the clock by a second and ticks the replicas that are preparing, so that they continue with a
// majority of the promises.
func (w *world) advanceTime() {
	w.now += time.Second
	for _, h := range w.replicas {
		if h.node.Status() == Preparing {
			w.apply(h, h.node.Tick(w.now))
		}
	}
}

// requestJoin sends a join request from a replica that is not a witness to all replicas.
func (w *world) requestJoin(h *host) {
	if view := h.node.View(); view.HasWitness(h.node.Self()) {
		return
	}
	for _, other := range w.replicas {
		w.send(envelope{from: h.node.Self(), to: other.node.Self().Address, message: Join{}})
	}
}

// deliverRandom delivers the next message in most cases and skips it in some. Otherwise it delivers a random one of all
// messages sent so far, which may be late or a duplicate.
func (w *world) deliverRandom(r *rand.Rand) {
	if len(w.sent) == 0 {
		return
	}
	switch p := r.IntN(100); {
	case p < 80 && w.nextUndelivered < len(w.sent):
		w.nextUndelivered++
		w.deliver(w.sent[w.nextUndelivered-1])
	case p < 84 && w.nextUndelivered < len(w.sent):
		w.nextUndelivered++ // lost, or delivered later by the default case
	default:
		w.deliver(w.sent[r.IntN(len(w.sent))])
	}
}

// becomeCandidate makes the replica a candidate, as after its election time-out.
func (n *Node) becomeCandidate(now time.Duration) *Output {
	out := n.step(now)
	n.startElection(PrimaryUnresponsive)
	return out
}

// search takes a number of walks, each in a new world. It returns the first fault, or an empty string, and the numbers
// of distinct states and of acknowledged changes.
func search(replicas, tolerance, walks int, m mistake, l limits) (fault string, states, acknowledged int) {
	seen := map[uint64]bool{}
	for seed := range walks {
		w := newWorld(replicas, tolerance, m)
		if fault := walk(w, rand.New(rand.NewPCG(uint64(seed), 7)), l, seen); fault != "" {
			return fmt.Sprintf("walk %d: %s", seed, fault), len(seen), acknowledged
		}
		acknowledged += len(w.acknowledged)
	}
	return "", len(seen), acknowledged
}

// Guards against any order of messages, losses, crashes and lost disks within the tolerance after which the primary of
// the newest view lacks an acknowledged change.
func TestSearchFindsNoLostAcknowledgement(t *testing.T) {
	for _, c := range []struct{ replicas, tolerance, walks int }{{3, 1, 900}, {4, 1, 700}, {6, 2, 250}} {
		t.Run(fmt.Sprint(c.replicas, " replicas"), func(t *testing.T) {
			t.Parallel()
			l := limits{elections: 5, proposals: 3, restarts: 2, wipes: c.tolerance, steps: 90 * c.replicas}
			fault, states, acknowledged := search(c.replicas, c.tolerance, c.walks, noMistake, l)
			t.Logf("%d states, %d acknowledgements", states, acknowledged)
			if fault != "" {
				t.Error(fault)
			}
			if acknowledged < c.walks/4 {
				t.Errorf("only %d acknowledgements in %d walks: the search covers too little", acknowledged, c.walks)
			}
		})
	}
}

// Guards against a search that passes although the protocol has a fault.
func TestSearchFindsPlantedMistakes(t *testing.T) {
	for name, m := range map[string]mistake{"a former identity is reused": reusesIdentity, "one copy acknowledges": singleCopyAcks} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := limits{elections: 5, proposals: 3, restarts: 2, wipes: 1, steps: 240}
			if fault, states, _ := search(3, 1, 4000, m, l); fault == "" {
				t.Errorf("not found in %d states", states)
			}
		})
	}
}
