package driver

import (
	"fmt"
	"runtime/debug"
	"time"

	"pinelb.example/pinelb/balance"
)

// PanicError is a panic in the decision module.
type PanicError struct {
	During string // what the module did: "in the decisions" or "on what was learned"
	Value  any    // of the panic
	Stack  []byte // empty where it is of no use
}

func (e *PanicError) Error() string {
	text := fmt.Sprintf("driver: panic %s: %v", e.During, e.Value)
	if len(e.Stack) > 0 {
		text += "\n" + string(e.Stack)
	}
	return text
}

// decide hands an event to the Balancer; a panic there becomes a *PanicError, for it must not take other streams along.
func (d *Driver) decide(ev *balance.Event) (err error) {
	defer func() {
		if p := recover(); p != nil {
			d.actions = d.actions[:0]
			err = &PanicError{During: "in the decisions", Value: p, Stack: debug.Stack()}
		}
	}()
	d.actions = d.balancer.Handle(d.now(), ev, d.actions[:0])
	return nil
}

// minStableTime is how long the decisions have to have worked before what they learned is kept after a panic: it may be the
// cause.
const minStableTime = 10 * time.Second

// learnedBeforePanic is what the Balancer that has just panicked had learned, or nil where that can't be had or trusted.
func (d *Driver) learnedBeforePanic() (learned *balance.LearnedState) {
	defer func() {
		if recover() != nil {
			learned = nil
		}
	}()
	if now := d.now(); d.generation > 0 && now-d.lastPanic < minStableTime {
		return nil
	}
	return d.balancer.LearnedState()
}

// restart begins again with a fresh Balancer, the known members and what the old one had learned: after a panic the rest of
// its state can't be relied on. Open streams are answered now; late outcomes of them are dropped.
func (d *Driver) restart(learned *balance.LearnedState) {
	d.generation++
	d.lastPanic = d.now()
	old := d.streams
	d.streams = map[balance.RequestID]*Stream{}
	for _, s := range old {
		s.abort()
	}
	if !d.replaceBalancer(learned) && learned != nil { // what was learned can't be used
		d.generation++
		d.replaceBalancer(nil)
	}
}

// replaceBalancer puts a fresh Balancer in place, and reports whether it works with the known members and what was learned.
func (d *Driver) replaceBalancer(learned *balance.LearnedState) bool {
	b, err := balance.New(d.settings, d.seed+uint64(d.generation))
	if err != nil {
		d.log.Error().Err(err).Msg("the decisions do not start anew")
		return false
	}
	d.balancer = b
	events := []balance.Event{{Kind: balance.EventMembership, List: balance.ListFull, Entries: d.entries()}}
	for id := range d.cordoned {
		events = append(events, balance.Event{Kind: balance.EventCordon, Endpoint: id, Cordoned: true})
	}
	for i := range events {
		if err := d.decide(&events[i]); err != nil {
			d.log.Error().Err(err).Msg("the decisions failed on the known cluster")
			return false
		}
		for i := range d.actions {
			d.carryOut(&d.actions[i])
		}
	}
	return learned == nil || d.restoreLearned(learned) == nil
}

// restoreLearned has the Balancer take over what another one learned; a panic there becomes a *PanicError.
func (d *Driver) restoreLearned(learned *balance.LearnedState) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = &PanicError{During: "on what was learned", Value: p}
			d.log.Error().Err(err).Msg("what was learned is not taken over")
		}
	}()
	d.balancer.Restore(d.now(), learned)
	return nil
}

// entries is the membership as it is known. An endpoint that was uncordoned has not started before that, whatever the list
// says.
func (d *Driver) entries() []balance.Entry {
	entries := make([]balance.Entry, 0, len(d.members))
	for _, entry := range d.members {
		entry.StartedAt = max(entry.StartedAt, d.uncordonedAt[entry.Endpoint])
		entries = append(entries, entry)
	}
	return entries
}
