package plan

import (
	"slices"
	"time"

	"pinelb.example/pinelb/internal/lab/model"
	"pinelb.example/pinelb/internal/lab/trace"
)

// drawListDelays draws how much later than discovery itself each sidecar is notified.
func (s *scheduler) drawListDelays() {
	discovery, random := &s.Scenario.Discovery, s.randomStream(notificationStream)
	for i := range s.Sidecars {
		s.listDelays = append(s.listDelays, time.Duration(random.Float64()*float64(discovery.Jitter)))
		if random.Float64() < discovery.LateShare {
			s.listDelays[i] += discovery.LateDelay.D()
		}
	}
}

// notify has every sidecar of the endpoint's tier learn of its phase, each after its own delay. Where there are auditors,
// the list service itself has it at once, for their polls.
func (s *scheduler) notify(at time.Duration, endpoint int, phase trace.Phase, startedAt time.Duration) {
	entry := ListEntry{Endpoint: endpoint, Phase: phase, StartedAt: startedAt}
	tier := s.Endpoints[endpoint].Tier
	if len(s.Scenario.Auditors) > 0 && tier == 0 {
		s.notifications = append(s.notifications, Event{At: at, Kind: NotifySidecar, Endpoint: -1, Sidecar: -1, Entry: entry})
	}
	for i := range s.Sidecars {
		if s.Sidecars[i].Tier == tier {
			s.notifications = append(s.notifications,
				Event{At: at + s.listDelays[i], Kind: NotifySidecar, Endpoint: -1, Sidecar: i, Entry: entry})
		}
	}
}

// delayNotifications holds back those that fall into a time in which discovery is suspended or late.
func (s *scheduler) delayNotifications() {
	random := s.randomStream(lateStream)
	for i := range s.Scenario.Faults {
		f := &s.Scenario.Faults[i]
		from, to := f.At.D(), (f.At + f.Duration).D()
		if f.Duration == 0 {
			to = model.Never
		}
		late := make([]bool, len(s.Sidecars))
		for j := range late {
			late[j] = f.Size == 0 || random.Float64() < f.Size
		}
		for j := range s.notifications {
			e := &s.notifications[j]
			if e.At < from || e.At >= to || e.Sidecar < 0 { // only notifications of sidecars are delayed
				continue
			}
			switch {
			case f.Kind == "discovery_silent":
				e.At = to
			case f.Kind == "discovery_late" && late[e.Sidecar]:
				e.At += f.RecoveryDelay.D()
			}
		}
	}
	s.restoreNotificationOrder()
	s.notifications = slices.DeleteFunc(s.notifications, func(e Event) bool { return e.At == model.Never })
}

// restoreNotificationOrder keeps a sidecar's notifications of one endpoint in the order in which they were made.
func (s *scheduler) restoreNotificationOrder() {
	type stream struct{ sidecar, endpoint int }
	latest := map[stream]time.Duration{}
	for i := range s.notifications {
		e := &s.notifications[i]
		of := stream{e.Sidecar, e.Entry.Endpoint}
		e.At = max(e.At, latest[of])
		latest[of] = e.At
	}
}
