package register

import (
	"cmp"
	"maps"
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
	a.collected = map[replication.Replica]*Collected{}
	a.nextCollect = 0
	clear(a.waitingProposers)
	a.persist()
}

// isCollecting reports whether the acceptor belongs to the current Config but can't take part yet.
func (a *Acceptor) isCollecting() bool {
	return a.hardState.Config.Has(a.hardState.Self) && a.hardState.ReadyEpoch < a.hardState.Config.Epoch
}

// collect requests the registers of the former acceptors every collectInterval, and merges them once hasCollected
// reports true.
func (a *Acceptor) collect(now time.Duration) {
	if !a.isCollecting() {
		return
	}
	if a.hasCollected() {
		a.merge(now)
		return
	}
	if now < a.nextCollect {
		return
	}
	a.nextCollect = now + collectInterval
	for _, former := range a.hardState.Config.Previous {
		if former != a.hardState.Self && a.collected[former] == nil {
			a.send(former.Address, &Collect{Config: a.hardState.Config})
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
	sealed, ready := len(a.collected), 0
	for _, answer := range a.collected {
		if answer.Ready {
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

// onCollect sends the registers, except those of decisions, if this is an acceptor of the former epoch. Adopting the
// collector's Config seals this acceptor, and that write is durable before the registers are sent.
func (a *Acceptor) onCollect(now time.Duration, from replication.Replica, m *Collect) {
	a.adopt(m.Config)
	if !slices.Contains(m.Config.Previous, a.hardState.Self) {
		return
	}
	registers := slices.DeleteFunc(a.Snapshot(now), func(s Stored) bool { return s.Name.Kind == coordination.KindDecision })
	a.send(from.Address, &Collected{Epoch: m.Config.Epoch, Registers: registers, Ready: a.wasReady(m.Config.Epoch)})
}

func (a *Acceptor) onCollected(_ time.Duration, from replication.Replica, m *Collected) {
	if a.isCollecting() && m.Epoch == a.hardState.Config.Epoch && slices.Contains(a.hardState.Config.Previous, from) {
		a.collected[from] = m
	}
}

// merge keeps the newest version of each register among its own and the collected ones, and makes the acceptor ready.
// Promises of former epochs need not be kept: their ballots are lower than all ballots of this epoch.
func (a *Acceptor) merge(now time.Duration) {
	for _, former := range a.hardState.Config.Previous { // in a fixed order, so that simulations are reproducible
		if answer := a.collected[former]; answer != nil {
			for i := range answer.Registers {
				a.mergeRegister(now, &answer.Registers[i])
			}
		}
	}
	for name := range a.registers {
		if name.Kind == coordination.KindDecision {
			delete(a.registers, name) // belongs to a former epoch
		}
	}
	clear(a.collected)
	a.hardState.ReadyEpoch = a.hardState.Config.Epoch
	w := a.persist()
	w.Replace = true
	w.Changed = a.Snapshot(now)
	for _, address := range slices.Sorted(maps.Keys(a.waitingProposers)) {
		a.send(address, &Hello{Config: a.hardState.Config, ReadyEpoch: a.hardState.ReadyEpoch})
	}
	clear(a.waitingProposers)
}

func (a *Acceptor) mergeRegister(now time.Duration, s *Stored) {
	r := a.register(s.Name)
	if r.accepted.less(s.Accepted) {
		r.accepted = s.Accepted
		r.state.Apply(now, s.Change)
	}
	if r.promised.less(r.accepted.Ballot) {
		r.promised = r.accepted.Ballot // of the current epoch if the sender is ready in it already
	}
}

func compareNames(a, b coordination.Name) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), strings.Compare(a.ID, b.ID))
}
