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

// This file carries the registers over from the acceptors of one epoch to those of the next.

// adopt takes over a newer set of acceptors. From then on the acceptor takes part in no earlier epoch.
func (a *Acceptor) adopt(next Config) {
	if next.Epoch <= a.hardState.Config.Epoch || len(next.Acceptors) == 0 {
		return
	}
	a.hardState.Config = next
	a.collected = map[replication.Replica]*Collected{}
	a.nextCollect = 0
	clear(a.early)
	a.persist()
}

// isCollecting reports whether the acceptor belongs to the present epoch and can't take part yet.
func (a *Acceptor) isCollecting() bool {
	return a.hardState.Config.Has(a.hardState.Self) && a.hardState.ReadyEpoch < a.hardState.Config.Epoch
}

// collect asks the former acceptors for their registers, again at intervals, and takes part once a majority has answered.
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

// wasReady reports whether this acceptor took part in the epoch before one.
func (a *Acceptor) wasReady(epoch uint64) bool { return a.hardState.ReadyEpoch+1 >= epoch }

// hasCollected reports whether a majority of the former acceptors is sealed, this one among them where it was one: what was chosen in their
// epoch is among their registers. What was chosen before it is known to each of them that took part, and so one of these has to be among
// them. The others may be former acceptors that the change overtook before they had collected: they accepted nothing in that epoch.
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

// onCollect answers with all registers, where this is a former acceptor. Adopting the collector's acceptors has sealed it: the write is
// durable before the answer is sent.
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

// merge takes over the newest version of each register, and takes part from then on. Promises of former epochs mean nothing in this one:
// their ballots are lower than all of its own.
func (a *Acceptor) merge(now time.Duration) {
	for _, former := range a.hardState.Config.Previous { // in their order, so that a simulation replays
		if answer := a.collected[former]; answer != nil {
			for i := range answer.Registers {
				a.mergeRegister(now, &answer.Registers[i])
			}
		}
	}
	for name := range a.registers {
		if name.Kind == coordination.KindDecision {
			delete(a.registers, name) // of a former epoch
		}
	}
	clear(a.collected)
	a.hardState.ReadyEpoch = a.hardState.Config.Epoch
	w := a.persist()
	w.Replace = true
	w.Changed = a.Snapshot(now)
	for _, address := range slices.Sorted(maps.Keys(a.early)) {
		a.send(address, &Hello{Config: a.hardState.Config, ReadyEpoch: a.hardState.ReadyEpoch})
	}
	clear(a.early)
}

func (a *Acceptor) mergeRegister(now time.Duration, s *Stored) {
	r := a.register(s.Name)
	if r.accepted.less(s.Accepted) {
		r.accepted = s.Accepted
		r.state.Apply(now, s.Change)
	}
	if r.promised.less(r.accepted.Ballot) {
		r.promised = r.accepted.Ballot // of an acceptor that takes part already
	}
}

func compareNames(a, b coordination.Name) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), strings.Compare(a.ID, b.ID))
}
