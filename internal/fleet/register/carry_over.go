package register

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"pinelb.example/pinelb/internal/fleet/coordination"
	"pinelb.example/pinelb/internal/fleet/replication"
)

// This file implements the transfer of the registers from the acceptors of one epoch to those of the next.

// adopt switches to a newer Config. This seals the acceptor: it no longer takes part in any earlier epoch.
func (a *Acceptor) adopt(next Config) {
	if next.Epoch <= a.hardState.Config.Epoch || len(next.Acceptors) == 0 {
		return
	}
	a.hardState.Config = next
	a.collections = map[replication.Replica]*collection{}
	clear(a.waitingProposers)
	a.persist()
}

// isCollecting reports whether the acceptor belongs to the current Config but can't take part yet.
func (a *Acceptor) isCollecting() bool {
	return a.hardState.Config.Has(a.hardState.Self) && a.hardState.ReadyEpoch < a.hardState.Config.Epoch
}

// collect requests the next pieces of registers from the former acceptors, and makes this acceptor ready once hasCollected reports true.
func (a *Acceptor) collect(now time.Duration) {
	if !a.isCollecting() {
		return
	}
	if a.hasCollected() {
		a.completeCollection(now)
		return
	}
	for _, former := range a.hardState.Config.Previous {
		if former == a.hardState.Self {
			continue
		}
		if c := a.collectionFrom(former); c.isDue(now) {
			c.recordRequest(now)
			a.send(former.Address, &Collect{Config: a.hardState.Config, InPieces: true, After: c.after})
		}
	}
}

// wasReady reports whether this acceptor took part in the epoch before the given one.
func (a *Acceptor) wasReady(epoch uint64) bool { return a.hardState.ReadyEpoch+1 >= epoch }

// hasCollected reports whether a majority of the former acceptors is sealed, and at least one of them took part in the
// former epoch. If this acceptor is one of the former ones, it counts as sealed. Together the registers of a sealed
// majority contain everything that was chosen in the former epoch. What was chosen in earlier epochs is known to each
// acceptor that took part in the former one, so one of these is needed and sufficient. The others may be former acceptors
// that were still collecting when the next Config was adopted: they accepted nothing in the former epoch.
func (a *Acceptor) hasCollected() bool {
	sealed, ready := 0, 0
	for _, c := range a.collections {
		if c.isComplete {
			sealed++
		}
		if c.isComplete && c.ready {
			ready++
		}
	}
	if slices.Contains(a.hardState.Config.Previous, a.hardState.Self) {
		sealed++
		if a.wasReady(a.hardState.Config.Epoch) {
			ready++
		}
	}
	return sealed >= majority(a.hardState.Config.Previous) && ready > 0
}

// onCollect sends a piece of the registers, except those of decisions, if this is an acceptor of the former epoch. Adopting the
// collector's Config seals this acceptor, and that write is durable before the piece is sent. What is accepted in the collector's
// epoch between two pieces does no harm: a piece may be newer than the one before, but not older than the seal.
func (a *Acceptor) onCollect(now time.Duration, from replication.Replica, m *Collect) {
	a.adopt(m.Config)
	if !slices.Contains(m.Config.Previous, a.hardState.Self) {
		return
	}
	maxBytes := math.MaxInt
	if m.InPieces {
		maxBytes = a.maxPieceBytes
	}
	registers, more := a.piece(now, m.After, maxBytes)
	a.send(from.Address, &Collected{
		Epoch: m.Config.Epoch, Registers: registers, Ready: a.wasReady(m.Config.Epoch), After: m.After, More: more,
	})
}

// onCollected merges a piece. Its registers were accepted by another acceptor in a former epoch, or in the current one, so that it is safe
// to hold them before all pieces have come.
func (a *Acceptor) onCollected(now time.Duration, from replication.Replica, m *Collected) {
	if !a.isCollecting() || m.Epoch != a.hardState.Config.Epoch || !slices.Contains(a.hardState.Config.Previous, from) {
		return
	}
	c := a.collectionFrom(from)
	if !c.isNext(m) {
		return
	}
	for i := range m.Registers {
		a.mergeRegister(now, &m.Registers[i])
	}
	c.recordPiece(m)
}

// completeCollection makes the acceptor ready. Promises of former epochs need not be kept: their ballots are lower than all ballots of this
// epoch.
func (a *Acceptor) completeCollection(now time.Duration) {
	for name := range a.registers {
		if name.Kind == coordination.KindDecision {
			a.remove(name) // belongs to a former epoch
		}
	}
	clear(a.collections)
	a.hardState.ReadyEpoch = a.hardState.Config.Epoch
	w := a.persist()
	w.Replace = true
	w.Changed = a.Snapshot(now)
	for _, address := range slices.Sorted(maps.Keys(a.waitingProposers)) {
		a.send(address, &Hello{Config: a.hardState.Config, ReadyEpoch: a.hardState.ReadyEpoch})
	}
	clear(a.waitingProposers)
}

// mergeRegister keeps the newer version of a register, this acceptor's or the collected one.
func (a *Acceptor) mergeRegister(now time.Duration, s *Stored) {
	r := a.register(s.Name)
	if r.accepted.less(s.Accepted) {
		r.accepted = s.Accepted
		a.applyChange(now, r, s.Change)
	}
	if r.promised.less(r.accepted.Ballot) {
		r.promised = r.accepted.Ballot // of the current epoch if the sender is ready in it already
	}
}

func compareNames(a, b coordination.Name) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), strings.Compare(a.ID, b.ID))
}
