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
		random: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)), retryTokens: maxRetryTokens, detector: grey.New(nil),
		requests: map[RequestID]*requestState{}, endpointsByID: map[EndpointID]*endpointState{}, cordoned: map[EndpointID]bool{},
		groups: map[groupKey]*group{}, capacity: 1, limit: initialLimit / s.processCount(),
	}
	b.limitDither = b.random.Float64()
	b.applySettings(&s)
	return b
}

// Handle takes one event and appends what is to be done to out.
func (b *Balancer) Handle(now time.Duration, ev *Event, out []Action) []Action {
	b.now, b.actions = now, out
	if b.tickInterval == 0 {
		b.start()
	}
	switch ev.Kind {
	case EventRequest:
		b.onRequest(ev)
	case EventOutcome:
		b.onOutcome(ev)
	case EventFirstByte:
		b.onFirstByte(ev)
	case EventClientGone:
		if request := b.requests[ev.Request]; request != nil && !request.done {
			b.complete(request)
		}
	case EventMembership:
		b.onMembership(ev)
	case EventUploadDone, EventCordon, EventSettings, EventListExpected:
		b.onWord(ev)
	case EventTimer:
		if ev.Token == tickToken {
			b.onTick()
		}
	}
	out, b.actions = b.actions, nil
	return out
}

func (b *Balancer) start() {
	b.tickInterval = max(minTickInterval, b.settings.TimeResolution)
	b.nextMaintenance, b.nextBinRefresh, b.latencyWindowStart = b.now+maintenanceInterval, b.now+binRefreshInterval, b.now
	// Asking in step with every other instance would swamp discovery, so the first call is spread.
	b.nextSubscribe = b.now + b.jitter(time.Second)
	b.emit(Action{Kind: ActTimer, Token: tickToken, After: b.tickInterval})
}
