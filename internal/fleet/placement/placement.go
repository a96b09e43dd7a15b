// Package placement chooses the endpoint of each call. Following E2E (Xu et al., SIGCOMM 2019), it keeps a table a
// service and target: for each bucket of the time that a call has spent already, the probability of each endpoint. The
// endpoint is drawn by the call's prompt prefix with the row's shares as weights (weighted rendezvous hashing: Thaler and
// Ravishankar, 1998), so that each endpoint gets its share of prefixes and a prefix stays with its endpoint while the
// row stands. It is pure: no I/O, no clock. Times are of one steady clock.
package placement

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"pinelb.example/pinelb/internal/fleet/registry"
)

const (
	solveGap    = 500 * time.Millisecond // least time between solves of a table
	shiftFit    = 0.2                    // change of an expected delay, relative, that is significant
	shiftFail   = 0.05                   // and of a share of failures
	ejectFirst  = 400 * time.Millisecond // that an endpoint is left out after it refused a connection
	ejectMost   = 6 * time.Second
	ejectAfter  = 2   // other failures in a row that eject
	crowdSlack  = 3.0 // calls under way beyond which an endpoint may be passed over for its share's excess
	crowdFactor = 1.5 // times its share of all calls under way
)

// Endpoint is one endpoint as this router has experienced it.
type Endpoint struct {
	registry.Endpoint
	Number uint32 // this router's own

	model     delayModel
	rate      rateMeter
	fails     float64 // share
	underWay  int
	failures  int // in a row
	ejected   time.Duration
	ejectSpan time.Duration
	gone      bool
}

// Call is what a draw rests on.
type Call struct {
	Service string
	Target  time.Duration
	Spent   time.Duration
	Prefix  uint64 // hash of the shared part of the prompt; 0: none
	Exclude []string
}

// Placer holds the tables of all services. Its methods are not safe for concurrent use.
type Placer struct {
	random   *rand.Rand
	services map[string]*service
	byID     map[string]*Endpoint
	numbers  uint32
}

type service struct {
	endpoints []*Endpoint // ready ones, by id
	tables    map[time.Duration]*table
	underWay  int
}

// table is the rows for one target.
type table struct {
	rows     rows
	calls    [bucketCount]rateMeter
	solvedAt time.Duration
	solved   bool
	from     problem // of the last solve
	// Payoff before and after the last solve.
	before, after float64
}

// New returns a placer without endpoints.
func New(random *rand.Rand) *Placer {
	return &Placer{random: random, services: map[string]*service{}, byID: map[string]*Endpoint{}}
}

// SetReady takes over which endpoints may be sent requests. It returns those that are new and those that no longer may.
func (p *Placer) SetReady(ready []registry.Endpoint) (added, removed []*Endpoint) {
	lists := map[string][]*Endpoint{}
	present := map[string]bool{}
	for _, reported := range ready {
		e := p.byID[reported.ID]
		if e == nil || e.Address != reported.Address {
			p.numbers++
			e = &Endpoint{Number: p.numbers}
			p.byID[reported.ID] = e
			added = append(added, e)
		}
		e.Endpoint = reported
		lists[reported.Service] = append(lists[reported.Service], e)
		present[reported.ID] = true
	}
	for id, e := range p.byID {
		if !present[id] {
			e.gone = true
			removed = append(removed, e)
			delete(p.byID, id)
		}
	}
	for name, s := range p.services {
		if lists[name] == nil {
			s.endpoints = nil
		}
	}
	for name, list := range lists {
		p.service(name).set(list)
	}
	return added, removed
}

func (p *Placer) service(name string) *service {
	s := p.services[name]
	if s == nil {
		s = &service{tables: map[time.Duration]*table{}}
		p.services[name] = s
	}
	return s
}

// set takes a new list over. Shares move with their endpoints; a new one begins at an even share.
func (s *service) set(list []*Endpoint) {
	former := s.endpoints
	if slices.Equal(former, list) {
		return
	}
	s.endpoints = list
	for _, t := range s.tables {
		t.move(former, list)
	}
}

func (t *table) move(former, list []*Endpoint) {
	next := evenRows(len(list))
	for k := range next {
		sum := 0.0
		for i, e := range list {
			if at := slices.Index(former, e); at >= 0 {
				next[k][i] = t.rows[k][at]
			}
			sum += next[k][i]
		}
		for i := range next[k] {
			next[k][i] /= sum
		}
	}
	t.rows = next
	t.solved = false
}

// Ready is how many endpoints of a service may be sent requests.
func (p *Placer) Ready(name string) int {
	if s := p.services[name]; s != nil {
		return len(s.endpoints)
	}
	return 0
}

// Pick draws a call's endpoint; nil where there is none. Begin has to follow where the call is sent.
func (p *Placer) Pick(now time.Duration, call Call) *Endpoint {
	s := p.services[call.Service]
	if s == nil || len(s.endpoints) == 0 {
		return nil
	}
	t := s.table(call.Target)
	bucket := 0
	if call.Target > 0 {
		bucket = bucketOf(float64(call.Spent) / float64(call.Target))
	}
	t.calls[bucket].count(now)
	s.resolve(now, call.Target, t)
	key := call.Prefix
	if key == 0 {
		key = p.random.Uint64()
	}
	return s.draw(now, t.rows[bucket], key, call.Exclude)
}

func (s *service) table(target time.Duration) *table {
	t := s.tables[target]
	if t == nil {
		t = &table{rows: evenRows(len(s.endpoints))}
		s.tables[target] = t
	}
	return t
}

// draw chooses the endpoint with the least weighted score. An endpoint that has more calls under way than its share
// warrants is passed over, and so are ejected ones, unless there is no other.
func (s *service) draw(now time.Duration, row []float64, key uint64, exclude []string) *Endpoint {
	var best, crowded, ejected *Endpoint
	bestScore, crowdedScore, ejectedScore := math.Inf(1), math.Inf(1), math.Inf(1)
	for i, e := range s.endpoints {
		if row[i] <= 0 || slices.Contains(exclude, e.ID) {
			continue
		}
		score := rendezvous(key, e.ID) / row[i]
		switch {
		case now < e.ejected:
			if score < ejectedScore {
				ejected, ejectedScore = e, score
			}
		case s.isCrowded(e, row[i]):
			if score < crowdedScore {
				crowded, crowdedScore = e, score
			}
		case score < bestScore:
			best, bestScore = e, score
		}
	}
	switch {
	case best != nil:
		return best
	case crowded != nil:
		return crowded
	}
	return ejected
}

func (s *service) isCrowded(e *Endpoint, share float64) bool {
	return float64(e.underWay) > crowdSlack+crowdFactor*share*float64(s.underWay)
}

// rendezvous is exponentially distributed over keys, the same on all routers.
func rendezvous(key uint64, id string) float64 {
	mixed := key ^ xxhash.Sum64String(id)
	mixed ^= mixed >> 33
	mixed *= 0xff51afd7ed558ccd
	mixed ^= mixed >> 33
	mixed *= 0xc4ceb9fe1a85ec53
	mixed ^= mixed >> 33
	uniform := (float64(mixed>>11) + 0.5) / (1 << 53)
	return -math.Log(uniform)
}

// Begin notes that a call is sent to an endpoint.
func (p *Placer) Begin(now time.Duration, e *Endpoint) {
	e.rate.count(now)
	e.underWay++
	p.service(e.Service).underWay++
}

// End notes that a call to an endpoint is over.
func (p *Placer) End(e *Endpoint) {
	e.underWay--
	p.service(e.Service).underWay--
}

// FirstToken notes how long an endpoint's first token, or answer, took.
func (p *Placer) FirstToken(now time.Duration, e *Endpoint, delay time.Duration) {
	e.model.observe(e.rate.now(now), delay.Seconds())
	e.outcome(0)
	e.failures, e.ejectSpan, e.ejected = 0, 0, 0
}

func (e *Endpoint) outcome(failed float64) { e.fails += (failed - e.fails) / failMemory }

// Refused notes that a connection to an endpoint did not come up.
func (p *Placer) Refused(now time.Duration, e *Endpoint) {
	e.outcome(1)
	e.eject(now)
}

// Failed notes a refusal, an error, a reset or a time-out of an endpoint.
func (p *Placer) Failed(now time.Duration, e *Endpoint) {
	e.outcome(1)
	if e.failures++; e.failures >= ejectAfter {
		e.eject(now)
	}
}

// eject leaves an endpoint out, twice as long as the time before.
func (e *Endpoint) eject(now time.Duration) {
	if now < e.ejected {
		return
	}
	e.ejectSpan = min(max(ejectFirst, 2*e.ejectSpan), ejectMost)
	e.ejected = now + e.ejectSpan
}
