package replication

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// traceRecorder hashes the steps of all replicas in a test: each step's write and messages in order, and the replica's
// status after it. Two versions of the protocol with the same hash behaved identically in that test.
type traceRecorder struct {
	digest *xxhash.Digest
	steps  int
}

func newTraceRecorder() *traceRecorder { return &traceRecorder{digest: xxhash.New()} }

// record adds a step's output and the replica's status after it. It does nothing on a nil recorder.
func (t *traceRecorder) record(node *Node, out *Output) {
	if t == nil {
		return
	}
	t.steps++
	committed, isPrimary := node.Committed()
	confirmed, isConfirmed := node.LeadershipConfirmedAt()
	t.add(node.HardState(), uint8(node.Status()), committed, isPrimary, int64(confirmed), isConfirmed, node.CanStop(), node.HasPendingProposal())
	if out.Write != nil {
		t.add(out.Write.HardState, out.Write.Entry, out.Write.Snapshot)
	}
	for _, o := range out.Send {
		t.add(o.To, o.Message.kind(), o.Message, o.AttachSnapshot)
	}
}

func (t *traceRecorder) add(values ...any) {
	encoded, err := cbor.Marshal(values)
	if err != nil {
		panic(err)
	}
	_, _ = t.digest.Write(encoded)
}

// text returns the hash and the number of recorded steps.
func (t *traceRecorder) text() string {
	return fmt.Sprintf("%016x over %d steps", t.digest.Sum64(), t.steps)
}

// Numbers of seeds that TestTraceUnchanged plays with each setup or group.
const (
	tracedSimulations = 1
	tracedWideWalks   = 2
	tracedWalks       = 10
)

func traceSimulations(s setup) string {
	trace := newTraceRecorder()
	for seed := range uint64(tracedSimulations) {
		sim := newSimulation(s.withDefaults(), seed)
		sim.trace = trace
		trace.add(sim.run(), sim.acknowledged, sim.reads)
	}
	return trace.text()
}

func traceWideWalks(replicas, tolerance int) string {
	trace := newTraceRecorder()
	for seed := range uint64(tracedWideWalks) {
		w := newWideWalk(replicas, tolerance, seed)
		w.trace = trace
		trace.add(w.play(wideSteps*replicas, map[uint64]bool{}), w.acknowledged, w.reads)
	}
	return trace.text()
}

func traceWalks(replicas, tolerance int) string {
	trace := newTraceRecorder()
	for seed := range uint64(tracedWalks) {
		w := newWorld(replicas, tolerance, noMistake)
		w.trace = trace
		l := limits{elections: 5, proposals: 3, restarts: 2, wipes: tolerance, steps: 90 * replicas}
		trace.add(walk(w, rand.New(rand.NewPCG(seed, 7)), l, map[uint64]bool{}), w.acknowledged)
	}
	return trace.text()
}

// goldenTraces are the traces recorded at commit 945ccb8. Only a change of the protocol's behaviour may change one.
var goldenTraces = map[string]string{
	"simulation of five, one may be lost":          "93a7826f01de8092 over 17510 steps",
	"simulation of five, two may be lost":          "2249f2dc3272a48d over 22364 steps",
	"simulation of four founders, one may be lost": "cb1adddaf1b42507 over 23307 steps",
	"simulation of four, one may be lost":          "3bf126f81f1bc0f5 over 17927 steps",
	"simulation of one, none may be lost":          "e19aecb309ff5d38 over 3843 steps",
	"simulation of six founders, two may be lost":  "a56043b4b0cc8697 over 30718 steps",
	"simulation of six, one zone may be lost":      "10dfb8b9d2912d88 over 27584 steps",
	"simulation of six, two may be lost":           "11fd207f4d0cbc09 over 26062 steps",
	"simulation of three zones, one may be lost":   "8e657cccfc27644a over 10108 steps",
	"simulation of three, one may be lost":         "a0e337f796f32fa0 over 10458 steps",
	"simulation of three, slow transfers":          "c825bdc71fdfa0d7 over 9336 steps",
	"simulation of two, none may be lost":          "c8b009a09610f1ad over 11206 steps",
	"walks of 1 replicas":                          "e5f8bff0f013a70c over 58 steps",
	"walks of 2 replicas":                          "80ce543919b8e95a over 958 steps",
	"walks of 3 replicas":                          "fdbb7450e429f641 over 1674 steps",
	"walks of 4 replicas":                          "331efb04f310fe05 over 2277 steps",
	"walks of 5 replicas":                          "ff6c253e0648344f over 2898 steps",
	"walks of 6 replicas":                          "6b223cd23acf4c0d over 3543 steps",
	"wide walks of 1 replicas":                     "78282d6ff74b38ae over 189 steps",
	"wide walks of 2 replicas":                     "895307c5ab4528e5 over 656 steps",
	"wide walks of 3 replicas":                     "38b189ffffa1f1a4 over 1917 steps",
	"wide walks of 4 replicas":                     "1ee1fcf01f7bafa0 over 2433 steps",
	"wide walks of 5 replicas":                     "7288fe1a128efe6a over 4561 steps",
	"wide walks of 6 replicas":                     "46447bdd62fc9bfb over 5779 steps",
}

// Guards against a refactoring that changes the order of messages, a write, or the use of random numbers.
func TestTraceUnchanged(t *testing.T) {
	check := func(name string, trace func() string) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if got := trace(); got != goldenTraces[name] {
				t.Errorf("the trace is %q, want %q", got, goldenTraces[name])
			}
		})
	}
	for _, name := range slices.Sorted(maps.Keys(setups)) {
		check("simulation of "+name, func() string { return traceSimulations(setups[name]) })
	}
	for _, group := range wideGroups {
		check(fmt.Sprintf("wide walks of %d replicas", group.replicas), func() string { return traceWideWalks(group.replicas, group.tolerance) })
		check(fmt.Sprintf("walks of %d replicas", group.replicas), func() string { return traceWalks(group.replicas, group.tolerance) })
	}
}
