package loopback

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"pinelb.example/pinelb/internal/lab/model"
	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/trace"
)

// service is the list service behind all agents: its capacity is one for all.
type serviceCapacity struct {
	mu         sync.Mutex
	model      *model.Listing // nil: it has no bound
	retryAfter time.Duration
}

// bound gives it the scenario's capacity, if that has one.
func (s *serviceCapacity) configure(p *plan.Plan) {
	if v := p.Scenario.Discovery.Service; v != nil {
		s.model = &model.Listing{Calls: v.Calls, Call: v.Call.D(), Line: v.Line, Beyond: model.Beyond(v.Beyond)}
		s.retryAfter = v.RetryAfter.D()
	}
}

// fault begins or ends one of the list service's, as this agent's sidecar has it.
func (a *agent) applyFault(e plan.Event) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return nil
	}
	if e.Kind == plan.BeginList {
		a.faults[e.ID] = e.List
		switch e.List.Kind {
		case "list_down":
			a.stopServer()
		case "list_forget":
			a.stopServer()
			a.catalog = newCatalog(a.catalog.members())
		case "list_old":
			a.staleCatalog = a.catalog.clone()
		}
	} else {
		delete(a.faults, e.ID)
	}
	down, old := false, false
	for _, f := range a.faults {
		down = down || f.Kind == "list_down" || f.Kind == "list_forget"
		old = old || f.Kind == "list_old"
	}
	if !old {
		a.staleCatalog = nil
	}
	a.notifyWaiters()
	if !down && a.server == nil {
		return a.listen(a.address)
	}
	return nil
}

// down ends the service's process as this sidecar has it: connections end, and new ones are refused. The lock is held.
func (a *agent) stopServer() {
	if a.server != nil {
		a.server.Close()
		a.server = nil
	}
	if s := &a.run.capacity; s.model != nil {
		s.mu.Lock()
		s.model.Forget()
		s.mu.Unlock()
	}
}

// present is the catalog that is told. The lock is held.
func (a *agent) servedCatalog() *catalog {
	if a.staleCatalog != nil {
		return a.staleCatalog
	}
	return a.catalog
}

// admit has a call wait for its part of the service's capacity; false if it got none, and has been answered so.
func (a *agent) admit(w http.ResponseWriter, req *http.Request, asked *trace.DiscoveryPoll) bool {
	slow, delay := 1.0, time.Duration(0)
	a.mu.Lock()
	for _, f := range a.faults {
		if f.Kind == "list_slow" {
			slow *= max(1, f.Size)
			delay += f.Delay
		}
	}
	a.mu.Unlock()
	s := &a.run.capacity
	if s.model != nil {
		s.mu.Lock()
		now := time.Since(capacityEpoch)
		answered, room := s.model.Ask(now, slow)
		s.mu.Unlock()
		if !room {
			asked.Outcome = trace.PollRejected
			switch s.model.Beyond {
			case model.Resets:
				panic(http.ErrAbortHandler)
			case model.Silences:
				a.sleep(req, maxWatch)
				panic(http.ErrAbortHandler)
			}
			if s.retryAfter > 0 {
				w.Header().Set("Retry-After", strconv.FormatFloat(s.retryAfter.Seconds(), 'f', -1, 64))
			}
			http.Error(w, "the list service has no room", http.StatusServiceUnavailable)
			return false
		}
		delay += answered - now
	}
	if delay > 0 && !a.sleep(req, delay) {
		panic(http.ErrAbortHandler)
	}
	return true
}

// started is a moment before any run, from which the capacity's clock counts: calls come before the run begins, too.
var capacityEpoch = time.Now()

// pause waits; false if the caller leaves, or the agent is closed, meanwhile.
func (a *agent) sleep(req *http.Request, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-req.Context().Done():
	case <-a.done:
	}
	return false
}

// spoil makes an answer wrong, where the service is to be; it tells whether it has.
func (a *agent) corrupt(answer *listResponse) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, f := range a.faults {
		if f.Kind != "list_wrong" {
			continue
		}
		answer.Complete = true
		switch f.Of {
		case "empty":
			answer.Members = []map[string]any{}
		case "half":
			answer.Members = answer.Members[:len(answer.Members)/2]
		case "other":
			for i, m := range answer.Members {
				m["id"] = "other-" + m["id"].(string)
				m["host_port"] = a.run.addresses.address(lockRow, i%hostsPerRow, 1) // where nobody listens
			}
		}
		return true
	}
	return false
}

// cuts draws whether an answer is to be cut off.
func (a *agent) shouldCut() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, f := range a.faults {
		if f.Kind == "list_cut" && rand.Float64() < f.Size {
			return true
		}
	}
	return false
}
