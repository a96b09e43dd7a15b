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

// serviceCapacity is the capacity of the list service behind all agents, which they share.
type serviceCapacity struct {
	mu         sync.Mutex
	model      *model.ListService // nil if it is unlimited
	retryAfter time.Duration
}

// capacityEpoch is a moment before any run, from which the capacity's clock counts: polls come before a run starts, too.
var capacityEpoch = time.Now()

// configure sets the scenario's capacity, if it has one.
func (c *serviceCapacity) configure(p *plan.Plan) {
	if service := p.Scenario.Discovery.ListService; service != nil {
		c.model = &model.ListService{Concurrency: service.Concurrency, ServiceTime: service.ServiceTime.D(), MaxQueue: service.QueueLength, OnOverflow: model.OverflowPolicy(service.OnOverflow)}
		c.retryAfter = service.RetryAfter.D()
	}
}

// applyFault begins or ends a fault of the list service, as this agent's sidecar sees it. An error is that of listening again.
func (a *agent) applyFault(event plan.Event) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return nil
	}
	if event.Kind == plan.StartListFault {
		a.beginFault(event)
	} else {
		delete(a.faults, event.ID)
	}
	down, stale := false, false
	for _, fault := range a.faults {
		down = down || fault.Kind == "list_down" || fault.Kind == "list_forget"
		stale = stale || fault.Kind == "list_old"
	}
	if !stale {
		a.staleCatalog = nil
	}
	a.notifyWaiters()
	if !down && a.server == nil {
		return a.listen(a.address)
	}
	return nil
}

// beginFault puts a fault into force. The lock is held.
func (a *agent) beginFault(event plan.Event) {
	a.faults[event.ID] = event.ListFault
	switch event.ListFault.Kind {
	case "list_down":
		a.stopServer()
	case "list_forget":
		a.stopServer()
		a.catalog = newCatalog(a.catalog.members())
	case "list_old":
		a.staleCatalog = a.catalog.clone()
	}
}

// stopServer ends the service's process as this sidecar sees it: connections end, and new ones are refused. The lock is held.
func (a *agent) stopServer() {
	if a.server != nil {
		a.server.Close()
		a.server = nil
	}
	if c := &a.run.capacity; c.model != nil {
		c.mu.Lock()
		c.model.Restart()
		c.mu.Unlock()
	}
}

// servedCatalog is the catalog from which polls are answered. The lock is held.
func (a *agent) servedCatalog() *catalog {
	if a.staleCatalog != nil {
		return a.staleCatalog
	}
	return a.catalog
}

// admit has a poll wait for its part of the service's capacity; false if there is none left, and the poll has been answered.
func (a *agent) admit(w http.ResponseWriter, req *http.Request, poll *trace.DiscoveryPoll) bool {
	slowdown, delay := a.slowness()
	if c := &a.run.capacity; c.model != nil {
		c.mu.Lock()
		now := time.Since(capacityEpoch)
		answeredAt, admitted := c.model.Call(now, slowdown)
		c.mu.Unlock()
		if !admitted {
			poll.Outcome = trace.PollRejected
			a.reject(w, req)
			return false
		}
		delay += answeredAt - now
	}
	if delay > 0 && !a.sleep(req, delay) {
		panic(http.ErrAbortHandler)
	}
	return true
}

// slowness is the factor and the delay of the faults that slow the service.
func (a *agent) slowness() (factor float64, delay time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	factor = 1
	for _, fault := range a.faults {
		if fault.Kind == "list_slow" {
			factor *= max(1, fault.Size)
			delay += fault.Delay
		}
	}
	return factor, delay
}

// reject answers a poll beyond the capacity, in the way that the scenario has it.
func (a *agent) reject(w http.ResponseWriter, req *http.Request) {
	c := &a.run.capacity
	switch c.model.OnOverflow {
	case model.OverflowReset:
		panic(http.ErrAbortHandler)
	case model.OverflowDrop:
		a.sleep(req, maxWatch)
		panic(http.ErrAbortHandler)
	}
	if c.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(c.retryAfter.Seconds(), 'f', -1, 64))
	}
	http.Error(w, "the list service has no room", http.StatusServiceUnavailable)
}

// sleep waits for d; false if the caller disconnects, or the agent is closed, meanwhile.
func (a *agent) sleep(req *http.Request, d time.Duration) bool {
	return sleep(d, req.Context().Done(), a.done)
}

// corrupt makes a response wrong, if a fault demands it, and reports whether it has.
func (a *agent) corrupt(response *listResponse) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, fault := range a.faults {
		if fault.Kind != "list_wrong" {
			continue
		}
		response.Complete = true
		switch fault.Variant {
		case "empty":
			response.Members = []map[string]any{}
		case "half":
			response.Members = response.Members[:len(response.Members)/2]
		case "other":
			for i, member := range response.Members {
				member["id"] = "other-" + member["id"].(string)
				member["host_port"] = a.run.addresses.address(lockRow, i%hostsPerRow, 1) // where nobody listens
			}
		}
		return true
	}
	return false
}

// shouldCut draws whether a response is to be cut off.
func (a *agent) shouldCut() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, fault := range a.faults {
		if fault.Kind == "list_cut" && rand.Float64() < fault.Size {
			return true
		}
	}
	return false
}
