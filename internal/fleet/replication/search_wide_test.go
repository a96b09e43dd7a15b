package replication

import (
	"cmp"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// wideWalks is the number of walks that TestWideSearch takes with each size of group. To take more:
//
//	go test ./internal/fleet/replication -run 'TestWideSearch$' -wide-walks 5000
var wideWalks = flag.Int("wide-walks", 60, "walks of TestWideSearch with each size of group")

// firstWalk is the seed of the first walk. With -wide-walks 1 it repeats a single walk.
var firstWalk = flag.Uint64("first-walk", 0, "the first walk of TestWideSearch")

const (
	wideSteps         = 250 // steps of a walk for each initial replica
	wideDeliveryDelay = 4 * time.Millisecond
	maxJoiners        = 2
	reorderWindow     = 10 // number of waiting messages from which one may be delivered out of order
	maxBurst          = 12 // maximum number of messages delivered in one step
)

// wideWalk is a random walk as in search, with more kinds of events: replicas also join, resign, are replaced at
// another address, are partitioned, lose their disks at any time, and crash before a step's write or between its write
// and its messages. At the end, all replicas that have not stopped permanently restart, and a primary must emerge.
type wideWalk struct {
	*world
	random              *rand.Rand
	remainingDiskLosses int // initially the tolerated number
	joinerCount         int
	resigning           map[*host]bool
	pendingReads        []wideRead
	reads               int
	script              []string
	decided             map[uint64]View // decided views by number
	weights             []int           // of wideEvents, in this walk
	waiting             []envelope      // messages that were sent and not delivered
	delayed             []envelope      // messages that are delivered only after releaseDelayed
}

// wideRead is a read that waits for a confirmed heartbeat round.
type wideRead struct {
	at     *host
	since  time.Duration
	length int // number of acknowledged entries at the time of the request
}

func newWideWalk(replicas, tolerance int, seed uint64) *wideWalk {
	w := &wideWalk{
		world: newWorld(replicas, tolerance, noMistake), random: rand.New(rand.NewPCG(seed, 11)), remainingDiskLosses: tolerance, resigning: map[*host]bool{},
		decided: map[uint64]View{},
	}
	w.deliveryDelay, w.timing = wideDeliveryDelay, w.drawTiming()
	w.drawWeights()
	for _, h := range w.replicas {
		w.restart(h)
	}
	w.intercept = w.enqueue
	return w
}

// enqueue adds a message to the waiting ones.
func (w *wideWalk) enqueue(e envelope) bool {
	w.waiting = append(w.waiting, e)
	w.sent = append(w.sent, e)
	return true
}

// drawTiming returns the timing of a walk. In some walks elections follow one another at once, or phases don't time
// out, so that events coincide which the default timing separates.
func (w *wideWalk) drawTiming() Timing {
	t := DefaultTiming()
	if w.random.IntN(3) == 0 {
		t.ElectionTimeout, t.ElectionStagger = 0, 400*time.Millisecond
	}
	if w.random.IntN(2) == 0 {
		t.PhaseTimeout, t.AppendTimeout, t.MemberTimeout = time.Minute, time.Minute, time.Minute
	}
	return t
}

// drawWeights makes some events frequent and others rare in each walk (swarm testing: Groce and others, 2012).
func (w *wideWalk) drawWeights() {
	for i, e := range wideEvents {
		weight := e.weight * 4
		if i > 0 {
			weight = e.weight * []int{1, 4, 4, 16}[w.random.IntN(4)]
		}
		w.weights = append(w.weights, weight)
	}
}

func (w *wideWalk) logEvent(format string, values ...any) {
	w.script = append(w.script, fmt.Sprintf("%8.3f  ", w.now.Seconds())+fmt.Sprintf(format, values...))
}

// wideEvents are the events of a walk, with their weights.
var wideEvents = []struct {
	weight int
	do     func(w *wideWalk, h *host)
}{
	{700, (*wideWalk).deliverNext},
	{20, (*wideWalk).deliverAny},
	{4, (*wideWalk).loseNext},
	{5, (*wideWalk).delaySome},
	{6, (*wideWalk).releaseDelayed},
	{60, (*wideWalk).tickOne},
	{160, (*wideWalk).tickAll},
	{100, (*wideWalk).proposeOne},
	{60, (*wideWalk).read},
	{3, (*wideWalk).becomeCandidate},
	{2, (*wideWalk).restartOne},
	{1, (*wideWalk).restartAll},
	{2, (*wideWalk).loseDisk},
	{2, (*wideWalk).addReplica},
	{2, (*wideWalk).resignOne},
	{20, (*wideWalk).stopReleased},
	{3, (*wideWalk).partitionRandomly},
	{6, (*wideWalk).isolatePrimary},
	{6, (*wideWalk).healPartitions},
	{4, (*wideWalk).duelCandidates},
	{4, (*wideWalk).requestJoinOne},
	{2, (*wideWalk).crashInStep},
}

// step performs one random event.
func (w *wideWalk) step() {
	live := w.live()
	h := live[w.random.IntN(len(live))]
	total := 0
	for _, weight := range w.weights {
		total += weight
	}
	at := w.random.IntN(total)
	for i, e := range wideEvents {
		if at -= w.weights[i]; at < 0 {
			e.do(w, h)
			return
		}
	}
}

func (w *wideWalk) live() []*host {
	return slices.DeleteFunc(slices.Clone(w.replicas), func(h *host) bool { return h.isRemoved })
}

// checkReads completes the reads for which a heartbeat round was confirmed that started after them. It returns a fault
// if a read lacks a change that was acknowledged before it.
func (w *wideWalk) checkReads() string {
	fault := ""
	w.pendingReads = slices.DeleteFunc(w.pendingReads, func(r wideRead) bool {
		confirmed, ok := r.at.node.LeadershipConfirmedAt()
		if r.at.isRemoved || !ok {
			return r.at.isRemoved || r.at.node.Status() != Leading
		}
		if confirmed <= r.since {
			return false
		}
		w.reads++
		if len(r.at.state) < r.length && !r.at.node.HasPendingProposal() {
			fault = fmt.Sprintf("%s answers a read with %d entries, but %d were acknowledged before it", r.at.disk.Self.Address, len(r.at.state), r.length)
		}
		return true
	})
	return fault
}

// checkViews returns a fault if two different views were decided under one number.
func (w *wideWalk) checkViews() string {
	for _, h := range w.replicas {
		view := h.node.View()
		earlier, isKnown := w.decided[view.Number]
		if isKnown && !sameView(earlier, view) {
			return fmt.Sprintf("view %d was decided twice: %v and %v", view.Number, earlier, view)
		}
		w.decided[view.Number] = view
	}
	return ""
}

func sameView(a, b View) bool {
	return a.Number == 0 || a.Primary == b.Primary && slices.Equal(a.Members, b.Members) && slices.Equal(a.Witnesses, b.Witnesses)
}

// recover reconnects and restarts all replicas that have not stopped permanently, with the default timing, and returns
// a fault unless within 12 s a primary commits a change and has all acknowledged ones.
func (w *wideWalk) recover() string {
	clear(w.partitions)
	w.logEvent("all replicas restart and are connected")
	w.replicas = w.live()
	c := &cluster{world: w.world, down: map[string]bool{}}
	w.sent, w.waiting, w.delayed = nil, nil, nil
	w.sentFingerprints = map[uint64]bool{}
	c.intercept = c.delaySnapshot
	for _, h := range w.replicas {
		c.start(h, DefaultTiming())
		h.node.options.JoinTargets = c.addresses
	}
	before := len(w.acknowledged)
	for range 24 {
		c.run(500 * time.Millisecond)
		if fault := w.fault(); fault != "" {
			return fault
		}
		if leader := c.leader(); leader != nil && c.proposeAndCommit() && len(w.acknowledged) > before {
			return ""
		}
	}
	return "no primary commits a change within 12 s after all replicas have restarted"
}

// play takes a walk and returns its first fault, or an empty string. It adds the fingerprints of its states to seen.
func (w *wideWalk) play(steps int, seen map[uint64]bool) string {
	for range steps {
		w.step()
		seen[w.fingerprint()] = true
		if fault := w.fault(); fault != "" {
			return fault
		}
		if fault := cmp.Or(w.checkReads(), w.checkViews()); fault != "" {
			return fault
		}
	}
	return w.recover()
}

// wideGroups are the groups that are tested: the number of initial replicas, and how many of them may be lost.
var wideGroups = []struct{ replicas, tolerance int }{{1, 0}, {2, 0}, {3, 1}, {4, 1}, {5, 2}, {6, 2}}

// Guards against any order of messages, losses, crashes, joins and resignations after which an acknowledged change is
// lost, a read lacks a change that was acknowledged before it, two views are decided under one number, or there is no
// primary again.
func TestWideSearch(t *testing.T) {
	for _, group := range wideGroups {
		t.Run(fmt.Sprintf("%d replicas, %d may be lost", group.replicas, group.tolerance), func(t *testing.T) {
			t.Parallel()
			seen := map[uint64]bool{}
			acknowledged, reads := 0, 0
			for seed := *firstWalk; seed < *firstWalk+uint64(*wideWalks); seed++ {
				w := newWideWalk(group.replicas, group.tolerance, seed)
				if fault := w.play(wideSteps*group.replicas, seen); fault != "" {
					t.Fatalf("walk %d: %s\n%s", seed, fault, w.scriptText())
				}
				acknowledged += len(w.acknowledged)
				reads += w.reads
			}
			t.Logf("%d walks, %d states, %d changes acknowledged, %d reads answered", *wideWalks, len(seen), acknowledged, reads)
			if acknowledged < *wideWalks || reads < *wideWalks/4 {
				t.Errorf("only %d changes and %d reads: the search covers too little", acknowledged, reads)
			}
		})
	}
}

// scriptText returns the logged events of the walk, and the final hard state of each replica.
func (w *wideWalk) scriptText() string {
	text := ""
	for _, line := range w.script {
		text += line + "\n"
	}
	for _, h := range w.replicas {
		d := &h.disk
		text += fmt.Sprintf("%s/%d %s, removed %v: view %d, primary %v, members %v, witnesses %v, promised %v, accepted %v, position %v, %d entries\n",
			d.Self.Address, d.Self.Nonce, h.node.Status(), h.isRemoved, d.View.Number, d.View.Primary, d.View.Members, d.View.Witnesses,
			d.Promised, d.Accepted, d.Position, len(h.state))
	}
	return text
}
