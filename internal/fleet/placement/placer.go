package placement

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"pinelb.example/pinelb/internal/fleet/registry"
)

// Placer chooses endpoints for the calls of all services. It is not safe for concurrent use. Parameters named now are
// offsets on a monotonic clock of the caller.
type Placer struct {
	random     *rand.Rand
	services   map[string]*service
	byID       map[string]*Endpoint
	byShortID  map[uint32]*Endpoint
	lastNumber uint32
	routers    int // routers that share the endpoints, this one included
}

// New returns a placer without endpoints. Calls without a shared prefix are placed at random, with numbers from random.
func New(random *rand.Rand) *Placer {
	return &Placer{random: random, services: map[string]*service{}, byID: map[string]*Endpoint{}, byShortID: map[uint32]*Endpoint{}, routers: 1}
}

// SetRouters sets how many routers share the endpoints, this one included.
func (p *Placer) SetRouters(routers int) { p.routers = max(1, routers) }

// SetEndpoints replaces the list of endpoints that calls may be sent to. It returns the new endpoints and those whose id is
// no longer listed. An endpoint that is suspended, or whose address has changed, is replaced by a new one.
func (p *Placer) SetEndpoints(ready []registry.Endpoint) (added, removed []*Endpoint) {
	lists := map[string][]*Endpoint{}
	present := map[string]bool{}
	for _, reported := range ready {
		e := p.byID[reported.ID]
		if e == nil || e.suspended || e.Address != reported.Address {
			e = p.newEndpoint(reported.ID)
			added = append(added, e)
		}
		e.Endpoint = reported
		lists[reported.Service] = append(lists[reported.Service], e)
		present[reported.ID] = true
	}
	for id, e := range p.byID {
		if !present[id] {
			e.suspended = true
			removed = append(removed, e)
			delete(p.byID, id)
			delete(p.byShortID, e.ShortID())
		}
	}
	for name, s := range p.services {
		if lists[name] == nil {
			s.setEndpoints(nil)
		}
	}
	for name, list := range lists {
		p.service(name).setEndpoints(list)
	}
	return added, removed
}

func (p *Placer) newEndpoint(id string) *Endpoint {
	p.lastNumber++
	e := &Endpoint{Number: p.lastNumber, hash: xxhash.Sum64String(id)}
	p.byID[id], p.byShortID[e.ShortID()] = e, e
	return e
}

// Suspend stops sending calls to endpoints until SetEndpoints lists them again: the next SetEndpoints removes suspended
// endpoints and replaces those that are listed by new ones. It returns the endpoints with these ids; unknown ids are
// ignored.
func (p *Placer) Suspend(ids []string) []*Endpoint {
	var removed []*Endpoint
	for _, id := range ids {
		if e := p.byID[id]; e != nil {
			e.suspended = true
			removed = append(removed, e)
		}
	}
	return removed
}

// EndpointCount returns the number of a service's endpoints, as in Endpoints.
func (p *Placer) EndpointCount(service string) int { return len(p.Endpoints(service)) }

// Endpoints returns the endpoints of a service in the last list of SetEndpoints, including ejected and suspended ones. The
// caller must not modify the slice.
func (p *Placer) Endpoints(service string) []*Endpoint {
	if s := p.services[service]; s != nil {
		return s.endpoints
	}
	return nil
}

// service returns the state of a service, which is created on first use.
func (p *Placer) service(name string) *service {
	s := p.services[name]
	if s == nil {
		s = &service{tables: map[time.Duration]*table{}}
		p.services[name] = s
	}
	return s
}

// Place chooses a call's endpoint and records that the call is sent there. It returns nil if no endpoint is available; else
// the caller must call Release when the call has ended.
func (p *Placer) Place(now time.Duration, call *Call) *Placement {
	s := p.services[call.Service]
	if s == nil || len(s.endpoints) == 0 {
		return nil
	}
	t := s.table(call.Target)
	bucket := 0
	if call.Target > 0 {
		bucket = bucketFor(float64(call.Spent) / float64(call.Target))
	}
	t.calls[bucket].count(now)
	s.calls.count(now)
	s.callRate = p.callRate(now, s)
	s.refresh(now, call.Target, t)
	placed := s.draw(now, t.rows[bucket], call.drawKey(p.random), call)
	if placed != nil {
		s.recordSend(now, placed, call)
	}
	return placed
}

// Release records that a call has ended, with any outcome.
func (p *Placer) Release(placed *Placement) {
	placed.Endpoint.inFlight--
	p.service(placed.Endpoint.Service).inFlight--
}

// callRate estimates the calls per second that one endpoint gets from all routers. It assumes that clients are spread
// evenly over the routers, and calls over the endpoints.
func (p *Placer) callRate(now time.Duration, s *service) float64 {
	return s.calls.now(now) * float64(p.routers) / float64(max(1, len(s.endpoints)))
}
