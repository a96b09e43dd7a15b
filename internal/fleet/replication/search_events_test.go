package replication

import (
	"slices"
	"time"
)

// The events of a wide walk.

// applyAndRecord carries out the Output of a replica's step, and records what the replica acknowledges.
func (w *wideWalk) applyAndRecord(h *host, out *Output) {
	w.apply(h, out)
	w.recordAcknowledged(h)
}

// deliverNext delivers some of the waiting messages, not always in order. A delivered message may stay in the queue, so
// that it is delivered again.
func (w *wideWalk) deliverNext(*host) {
	for range 1 + w.random.IntN(maxBurst) {
		if len(w.waiting) == 0 {
			return
		}
		at := 0
		if w.random.IntN(3) == 0 {
			at = w.random.IntN(min(len(w.waiting), reorderWindow))
		}
		e := w.waiting[at]
		if w.random.IntN(20) > 0 {
			w.waiting = slices.Delete(w.waiting, at, at+1)
		}
		w.deliver(e)
	}
}

// deliverAny delivers a random one of all messages sent so far, which may be late or a duplicate.
func (w *wideWalk) deliverAny(*host) {
	if len(w.sent) > 0 {
		w.deliver(w.sent[w.random.IntN(len(w.sent))])
	}
}

// loseNext drops some of the waiting messages.
func (w *wideWalk) loseNext(*host) {
	w.waiting = slices.DeleteFunc(w.waiting, func(envelope) bool { return w.random.IntN(3) == 0 })
}

// delaySome removes some of the waiting messages from the queue until releaseDelayed.
func (w *wideWalk) delaySome(*host) {
	w.waiting = slices.DeleteFunc(w.waiting, func(e envelope) bool {
		isDelayed := w.random.IntN(3) == 0
		if isDelayed {
			w.delayed = append(w.delayed, e)
		}
		return isDelayed
	})
}

func (w *wideWalk) releaseDelayed(*host) {
	w.waiting = append(w.waiting, w.delayed...)
	w.delayed = nil
}

func (w *wideWalk) tickOne(h *host) {
	w.now += time.Duration(w.random.IntN(60)) * time.Millisecond
	w.applyAndRecord(h, h.node.Tick(w.now))
}

// tickAll advances the clock by up to 100 ms, or sometimes up to 2 s, and ticks all replicas.
func (w *wideWalk) tickAll(*host) {
	maxMilliseconds := 100
	if w.random.IntN(6) == 0 {
		maxMilliseconds = 2000
	}
	w.now += time.Duration(w.random.IntN(maxMilliseconds)) * time.Millisecond
	for _, h := range w.live() {
		w.applyAndRecord(h, h.node.Tick(w.now))
	}
}

func (w *wideWalk) proposeOne(h *host) {
	if w.proposed < 200 {
		w.propose(h)
	}
}

func (w *wideWalk) read(h *host) {
	if h.node.Status() == Leading {
		w.pendingReads = append(w.pendingReads, wideRead{at: h, since: w.now, length: len(w.acknowledged)})
		w.now += time.Millisecond
		w.applyAndRecord(h, h.node.ConfirmLeadership(w.now))
	}
}

func (w *wideWalk) becomeCandidate(h *host) {
	if h.canBecomeCandidate() {
		w.applyAndRecord(h, h.node.becomeCandidate(w.now))
	}
}

func (w *wideWalk) restartOne(h *host) {
	w.logEvent("%s restarts", h.disk.Self.Address)
	w.restartHost(h)
}

// restartHost restarts a replica from its disk. It is not resigning after that.
func (w *wideWalk) restartHost(h *host) {
	delete(w.resigning, h)
	w.restart(h)
}

func (w *wideWalk) restartAll(*host) {
	w.logEvent("all replicas lose power")
	w.waiting, w.delayed = nil, nil
	for _, h := range w.live() {
		w.restartHost(h)
	}
}

func (w *wideWalk) loseDisk(h *host) {
	if w.remainingDiskLosses == 0 || len(w.acknowledged) == 0 {
		return
	}
	w.remainingDiskLosses--
	w.logEvent("%s loses its disk", h.disk.Self.Address)
	delete(w.resigning, h)
	w.wipe(h)
}

// addReplica starts a replica with an empty disk at a new address.
func (w *wideWalk) addReplica(*host) {
	if w.joinerCount == maxJoiners {
		return
	}
	w.joinerCount++
	w.lastNonce++
	h := &host{disk: InitialHardState(address(len(w.replicas)), w.lastNonce, nil)}
	w.replicas = append(w.replicas, h)
	w.restart(h)
	w.logEvent("%s is added", h.disk.Self.Address)
}

func (w *wideWalk) resignOne(h *host) {
	if len(w.live()) > w.tolerance.Machines+1 {
		w.logEvent("%s resigns", h.disk.Self.Address)
		w.resigning[h] = true
		w.applyAndRecord(h, h.node.Resign(w.now))
	}
}

// stopReleased stops a resigning replica that was released: permanently if no current or proposed view contains it,
// else it restarts.
func (w *wideWalk) stopReleased(*host) {
	for _, h := range w.replicas {
		if h.isRemoved || !w.resigning[h] || !h.node.CanStop() {
			continue
		}
		if w.isOut(h) {
			w.logEvent("%s stops permanently", h.disk.Self.Address)
			h.isRemoved = true
			return
		}
		w.logEvent("%s stops and restarts", h.disk.Self.Address)
		w.restartHost(h)
		return
	}
}

// isOut reports whether neither the newest decided view nor any accepted proposal contains a replica.
func (w *wideWalk) isOut(h *host) bool {
	var newest View
	for _, other := range w.replicas {
		if view := other.node.View(); view.Number > newest.Number {
			newest = view
		}
	}
	if newest.Number == 0 || newest.HasWitness(h.disk.Self) || newest.HasMember(h.disk.Self) {
		return false
	}
	return !slices.ContainsFunc(w.replicas, func(other *host) bool {
		return other.disk.Proposal.HasWitness(h.disk.Self) || other.disk.Proposal.HasMember(h.disk.Self)
	})
}

// partitionRandomly disconnects random pairs of replicas, in one direction or in both.
func (w *wideWalk) partitionRandomly(*host) {
	oneWay := w.random.IntN(3) == 0
	for _, a := range w.replicas {
		for _, b := range w.replicas {
			if a != b && w.random.IntN(2) == 0 {
				w.disconnect(a, b, oneWay)
			}
		}
	}
	w.logEvent("random links are disconnected, one way: %v", oneWay)
}

func (w *wideWalk) disconnect(a, b *host, oneWay bool) {
	w.partitions[[2]string{a.disk.Self.Address, b.disk.Self.Address}] = true
	if !oneWay {
		w.partitions[[2]string{b.disk.Self.Address, a.disk.Self.Address}] = true
	}
}

// isolatePrimary disconnects the primary of the newest view from all other replicas.
func (w *wideWalk) isolatePrimary(*host) {
	for _, h := range w.live() {
		if h.node.Status() != Leading || !w.isNewest(h) {
			continue
		}
		w.logEvent("the primary %s is disconnected from all others", h.disk.Self.Address)
		for _, other := range w.replicas {
			if other != h {
				w.disconnect(h, other, false)
			}
		}
	}
}

func (w *wideWalk) healPartitions(*host) {
	if len(w.partitions) > 0 {
		w.logEvent("all links are connected again")
		clear(w.partitions)
	}
}

// duelCandidates disconnects two replicas from each other and makes both candidates.
func (w *wideWalk) duelCandidates(h *host) {
	live := w.live()
	other := live[w.random.IntN(len(live))]
	if other == h {
		return
	}
	w.logEvent("%s and %s become candidates while disconnected from each other", h.disk.Self.Address, other.disk.Self.Address)
	w.disconnect(h, other, false)
	w.becomeCandidate(h)
	w.becomeCandidate(other)
}

func (w *wideWalk) requestJoinOne(h *host) { w.requestJoin(h) }

// crashInStep crashes a replica in a step, before its write or between its write and its messages, and restarts it.
func (w *wideWalk) crashInStep(h *host) {
	w.now += time.Millisecond
	var out *Output
	if ok := false; w.proposed < 200 {
		if out, ok = h.node.Propose(w.now, []byte{w.proposed + 1}); ok {
			w.proposed++
		}
	}
	if out == nil || out.Write == nil {
		out = h.node.Tick(w.now)
	}
	if w.random.IntN(2) == 0 {
		out.Send = nil
		w.apply(h, out)
	}
	w.logEvent("%s crashes in a step, after its write: %v", h.disk.Self.Address, out.Send == nil)
	w.restartHost(h)
}
