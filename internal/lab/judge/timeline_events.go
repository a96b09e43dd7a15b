package judge

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"pinelb.example/pinelb/internal/lab/model"
	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/trace"
)

// addEvents adds the events of the timeline's span and, of each key, the last one before it. key returns false for an event that
// doesn't concern the violation.
func addEvents[E any](t *timeline, events []E, key func(*E) (int, bool), at func(*E) time.Duration, add func(*E)) {
	lastBefore := map[int]*E{}
	for i := range events {
		event := &events[i]
		k, concerns := key(event)
		if !concerns {
			continue
		}
		switch {
		case at(event) < t.from:
			if last := lastBefore[k]; last == nil || at(last) <= at(event) {
				lastBefore[k] = event
			}
		case at(event) <= t.to:
			add(event)
		}
	}
	for _, k := range slices.Sorted(maps.Keys(lastBefore)) {
		add(lastBefore[k])
	}
}

var faultNames = map[model.FaultKind]string{
	model.Vanish:            "silence",
	model.Crash:             "death",
	model.Hang:              "hang",
	model.Fail:              "failing",
	model.Slow:              "slowness",
	model.RefuseConnections: "refusing connections",
	model.Truncate:          "cutting answers",
	model.Corrupt:           "spoiling answers",
	model.Trickle:           "dripping answers",
	model.Drop:              "muteness",
}

// addScript adds what the script did to the endpoints.
func (t *timeline) addScript() {
	key := func(event *plan.Event) (int, bool) {
		switch event.Kind {
		case plan.StartFault, plan.EndFault, plan.StartEndpoint:
			return event.Endpoint, t.endpoints[event.Endpoint]
		}
		return 0, false
	}
	at := func(event *plan.Event) time.Duration { return event.At }
	addEvents(t, t.plan.Events, key, at, func(event *plan.Event) {
		what := "starts, cold"
		if event.Kind != plan.StartEndpoint {
			what = faultNames[event.Fault.Kind] + " " + event.Kind.String()
		}
		t.add(event.At, "script: box %s: %s", t.endpointName(event.Endpoint), what)
	})
}

// addNotifications adds what the sidecars were notified of.
func (t *timeline) addNotifications() {
	key := func(n *trace.Notification) (int, bool) {
		concerns := t.endpoints[n.Endpoint] && (t.allSidecars || t.sidecars[n.Sidecar])
		return n.Sidecar*len(t.plan.Endpoints) + n.Endpoint, concerns
	}
	at := func(n *trace.Notification) time.Duration { return n.At }
	addEvents(t, t.log.Notifications, key, at, func(n *trace.Notification) {
		since := ""
		if n.UpSince > 0 {
			since = fmt.Sprintf(", up since +%.3f s", n.UpSince.Seconds())
		}
		t.add(n.At, "discovery tells sidecar %s that box %s is %s%s", t.sidecarName(n.Sidecar), t.endpointName(n.Endpoint), n.Phase, since)
	})
}

// addSidecarEvents adds what became of the sidecars' processes.
func (t *timeline) addSidecarEvents() {
	key := func(event *trace.SidecarEvent) (int, bool) { return event.Sidecar, t.sidecars[event.Sidecar] }
	at := func(event *trace.SidecarEvent) time.Duration { return event.At }
	addEvents(t, sortedEvents(t.log), key, at, func(event *trace.SidecarEvent) {
		what := strings.TrimSpace(event.Kind.String() + " " + event.Detail)
		t.add(event.At, "sidecar %s: %s", t.sidecarName(event.Sidecar), what)
	})
}
