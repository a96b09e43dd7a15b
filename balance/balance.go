// The interface of this package (settings, events, actions, New) is in api.go. Here an event is handed
// to the decisions: admission, routing, sending, outcomes, upkeep, delays, health, members and solve.
// Their tunables are in tunables.go.

package balance

import (
	"math/rand/v2"
	"time"

	"pinelb.example/pinelb/balance/grey"
)

func newBalancer(s Settings, seed uint64) *Balancer {
	b := &Balancer{
		rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)), retries: retryBurst, fleet: grey.New(nil),
		reqs: map[RequestID]*request{}, byID: map[EndpointID]*server{}, cordoned: map[EndpointID]bool{},
		groups: map[groupKey]*group{}, able: 1, limit: limitFirst / s.sharers(),
	}
	b.dither = b.rng.Float64()
	b.adopt(&s)
	return b
}

// Handle takes one event and appends what is to be done to out.
func (b *Balancer) Handle(now time.Duration, ev *Event, out []Action) []Action {
	b.now, b.out = now, out
	if b.tick == 0 {
		b.start()
	}
	switch ev.Kind {
	case EventRequest:
		b.onRequest(ev)
	case EventOutcome:
		b.onOutcome(ev)
	case EventFirstByte:
		b.onFirstByte(ev)
	case EventGone:
		if r := b.reqs[ev.Request]; r != nil && !r.done {
			b.end(r)
		}
	case EventMembership:
		b.onMembership(ev)
	case EventWhole, EventCordon, EventSettings, EventExpect:
		b.onWord(ev)
	case EventTimer:
		if ev.Token == tokenTick {
			b.onTick()
		}
	}
	out, b.out = b.out, nil
	return out
}

func (b *Balancer) start() {
	b.tick = max(tickEvery, b.set.Quantum)
	b.maintainAt, b.refreshAt, b.windowAt = b.now+maintainEvery, b.now+refreshEvery, b.now
	// Asking in step with every other instance would swamp discovery, so the first call is spread.
	b.askAt = b.now + b.jitter(time.Second)
	b.do(Action{Kind: ActTimer, Token: tokenTick, After: b.tick})
}
