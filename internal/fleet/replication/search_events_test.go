package replication

import (
	"slices"
	"time"
)

// What may happen in a step of a wide walk.

// act carries a step of a replica out, and looks at what it says then.
func (w *wideWalk) act(h *host, out *Output) {
	w.carryOut(h, out)
	w.noteAcknowledged(h)
}

// deliverNext delivers some of the messages that wait, not always in their order. One that is delivered may wait on, to come
// again.
func (w *wideWalk) deliverNext(*host) {
	for range 1 + w.random.IntN(burstMost) {
		if len(w.waiting) == 0 {
			return
		}
		at := 0
		if w.random.IntN(3) == 0 {
			at = w.random.IntN(min(len(w.waiting), reordered))
		}
		e := w.waiting[at]
		if w.random.IntN(20) > 0 {
			w.waiting = slices.Delete(w.waiting, at, at+1)
		}
		w.deliver(e)
	}
}

// deliverAny delivers any message that was ever sent, late or again.
func (w *wideWalk) deliverAny(*host) {
	if len(w.sent) > 0 {
		w.deliver(w.sent[w.random.IntN(len(w.sent))])
	}
}

// loseNext loses some of the messages that wait.
func (w *wideWalk) loseNext(*host) {
	w.waiting = slices.DeleteFunc(w.waiting, func(envelope) bool { return w.random.IntN(3) == 0 })
}

// hold has some of the messages that wait come much later.
func (w *wideWalk) hold(*host) {
	w.waiting = slices.DeleteFunc(w.waiting, func(e envelope) bool {
		isHeld := w.random.IntN(3) == 0
		if isHeld {
			w.held = append(w.held, e)
		}
		return isHeld
	})
}

func (w *wideWalk) letGo(*host) {
	w.waiting = append(w.waiting, w.held...)
	w.held = nil
}

func (w *wideWalk) tickOne(h *host) {
	w.now += time.Duration(w.random.IntN(60)) * time.Millisecond
	w.act(h, h.machine.Tick(w.now))
}

// tickAll lets time pass, sometimes much of it.
func (w *wideWalk) tickAll(*host) {
	most := 100
	if w.random.IntN(6) == 0 {
		most = 2000
	}
	w.now += time.Duration(w.random.IntN(most)) * time.Millisecond
	for _, h := range w.live() {
		w.act(h, h.machine.Tick(w.now))
	}
}

func (w *wideWalk) order(h *host) {
	if w.proposed < 200 {
		w.propose(h)
	}
}

func (w *wideWalk) read(h *host) {
	if h.machine.Status() == Leading {
		w.pending = append(w.pending, wideRead{at: h, since: w.now, length: len(w.acked)})
		w.now += time.Millisecond
		w.act(h, h.machine.ConfirmLeadership(w.now))
	}
}

func (w *wideWalk) stand(h *host) {
	if h.mayStand() {
		w.act(h, h.machine.elect(w.now))
	}
}

func (w *wideWalk) startAgain(h *host) {
	w.note("%s starts again", h.disk.Self.Address)
	w.again(h)
}

// again starts a replica with what its disk holds; one that was to leave stays.
func (w *wideWalk) again(h *host) {
	delete(w.leaving, h)
	w.restart(h)
}

func (w *wideWalk) losePower(*host) {
	w.note("all lose power")
	w.waiting, w.held = nil, nil
	for _, h := range w.live() {
		w.again(h)
	}
}

func (w *wideWalk) loseDisk(h *host) {
	if w.wipes == 0 || len(w.acked) == 0 {
		return
	}
	w.wipes--
	w.note("%s loses its disk", h.disk.Self.Address)
	delete(w.leaving, h)
	w.wipe(h)
}

// come has a replica with an empty disk come at another address.
func (w *wideWalk) come(*host) {
	if w.newcomers == newcomersMost {
		return
	}
	w.newcomers++
	w.nonces++
	h := &host{disk: InitialHardState(address(len(w.replicas)), w.nonces, nil)}
	w.replicas = append(w.replicas, h)
	w.restart(h)
	w.note("%s comes", h.disk.Self.Address)
}

func (w *wideWalk) leave(h *host) {
	if len(w.live()) > w.tolerance.Machines+1 {
		w.note("%s is to leave", h.disk.Self.Address)
		w.leaving[h] = true
		w.act(h, h.machine.Resign(w.now))
	}
}

// end ends a leaver that was released: for good where no view that anybody knows has it, else to start again.
func (w *wideWalk) end(*host) {
	for _, h := range w.replicas {
		if h.gone || !w.leaving[h] || !h.machine.CanStop() {
			continue
		}
		if w.isOut(h) {
			w.note("%s is gone", h.disk.Self.Address)
			h.gone = true
			return
		}
		w.note("%s ends, and starts again", h.disk.Self.Address)
		w.again(h)
		return
	}
}

// isOut tells whether the newest view that is known to be decided, and all that may come after it, lacks a replica.
func (w *wideWalk) isOut(h *host) bool {
	var newest View
	for _, other := range w.replicas {
		if view := other.machine.View(); view.Number > newest.Number {
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

// cutInTwo cuts some replicas from the others, one way or both.
func (w *wideWalk) cutInTwo(*host) {
	oneWay := w.random.IntN(3) == 0
	for _, a := range w.replicas {
		for _, b := range w.replicas {
			if a != b && w.random.IntN(2) == 0 {
				w.cutOff(a, b, oneWay)
			}
		}
	}
	w.note("links are cut, one way %v", oneWay)
}

func (w *wideWalk) cutOff(a, b *host, oneWay bool) {
	w.cut[[2]string{a.disk.Self.Address, b.disk.Self.Address}] = true
	if !oneWay {
		w.cut[[2]string{b.disk.Self.Address, a.disk.Self.Address}] = true
	}
}

// cutLeader cuts the primary from all others, which go on without it.
func (w *wideWalk) cutLeader(*host) {
	for _, h := range w.live() {
		if h.machine.Status() != Leading || !w.isNewest(h) {
			continue
		}
		w.note("the primary %s is cut off", h.disk.Self.Address)
		for _, other := range w.replicas {
			if other != h {
				w.cutOff(h, other, false)
			}
		}
	}
}

func (w *wideWalk) joinAll(*host) {
	if len(w.cut) > 0 {
		w.note("all are joined")
		clear(w.cut)
	}
}

// duel has two replicas that don't reach each other stand at once.
func (w *wideWalk) duel(h *host) {
	live := w.live()
	other := live[w.random.IntN(len(live))]
	if other == h {
		return
	}
	w.note("%s and %s stand beside each other", h.disk.Self.Address, other.disk.Self.Address)
	w.cutOff(h, other, false)
	w.stand(h)
	w.stand(other)
}

func (w *wideWalk) join(h *host) { w.askToJoin(h) }

// breakStep cuts a step of a replica off: before its write, or between its write and its messages.
func (w *wideWalk) breakStep(h *host) {
	w.now += time.Millisecond
	var out *Output
	if begun := false; w.proposed < 200 {
		if out, begun = h.machine.Propose(w.now, []byte{w.proposed + 1}); begun {
			w.proposed++
		}
	}
	if out == nil || out.Write == nil {
		out = h.machine.Tick(w.now)
	}
	if w.random.IntN(2) == 0 {
		out.Send = nil
		w.carryOut(h, out)
	}
	w.note("%s ends in the middle of a step, written %v", h.disk.Self.Address, out.Send == nil)
	w.again(h)
}
