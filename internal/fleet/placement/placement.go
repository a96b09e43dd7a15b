// Package placement chooses the endpoint of each call. Following E2E (Xu et al., SIGCOMM 2019), it keeps a table a
// service and target: for each bucket of the time that a call has spent already, the probability of each endpoint. The
// endpoint is drawn by the call's prompt prefix with the row's shares as weights (weighted rendezvous hashing: Thaler and
// Ravishankar, 1998), so that each endpoint gets its share of prefixes and a prefix stays with its endpoint while the
// row stands. It is pure: no I/O, no clock. Times are of one steady clock.
package placement

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"pinelb.example/pinelb/internal/fleet/registry"
)

const (
	minSolveInterval         = 500 * time.Millisecond // least time between solves of a table
	significantDelayChange   = 0.2                    // change of an expected delay, relative, that is significant
	significantFailureChange = 0.05                   // and of a share of failures
	baseEjection             = 400 * time.Millisecond // that an endpoint is left out after it refused a connection
	maxEjection              = 6 * time.Second
	ejectionThreshold        = 2 // other failures in a row that eject
)

// Endpoint is one endpoint as this router has experienced it.
type Endpoint struct {
	registry.Endpoint
	Number uint32 // this router's own

	hash                uint64 // of the id
	queue               queue
	prefixes            prefixCache
	streams             streamSet
	prefills            recentPrefills
	slowness            slowness
	delay               delayModel
	sendRate            rateMeter
	failureShare        float64         // share, of this router's calls
	faults              failureEvidence // failures and overdue answers
	failures            failureEvidence // failures alone: an overdue answer may be one of an endpoint that is busy
	inFlight            int
	consecutiveFailures int // in a row
	ejectedUntil        time.Duration
	ejection            time.Duration
	removed             bool
}

// Call is what a draw rests on.
type Call struct {
	Service     string
	Target      time.Duration
	Spent       time.Duration
	Prompt      Prompt
	Exclude     []string
	Retry       bool // another endpoint has failed it: it goes where neither a failure nor an overdue answer is remembered
	LastAttempt bool // a failure would be the request's: it goes where no failure is remembered, if there is such an endpoint
}

// key is what the draw hashes: calls with the same one go to the same endpoint.
func (c *Call) key(random *rand.Rand) uint64 {
	if len(c.Prompt.Prefixes) > 0 {
		return uint64(c.Prompt.Prefixes[0].Hash) * 0x9e3779b97f4a7c15
	}
	return random.Uint64()
}

// Placement is a call on its way to an endpoint.
type Placement struct {
	Endpoint *Endpoint
	Expected time.Duration // until the first token
	Units    float64       // that the endpoint has to read for it

	work         work
	wait         float64 // seconds of reading that come first
	prompt       *Prompt
	serial       uint64 // in the endpoint's queue
	firstTokenAt time.Duration
}

// Placer holds the tables of all services. Its methods are not safe for concurrent use.
type Placer struct {
	random     *rand.Rand
	services   map[string]*service
	byID       map[string]*Endpoint
	byName     map[uint32]*Endpoint
	lastNumber uint32
	routers    int // that share the endpoints, this one included
}

type service struct {
	endpoints   []*Endpoint // ready ones, by id
	tables      map[time.Duration]*table
	inFlight    int
	prefill     prefillModel
	accuracy    accuracy
	stalls      stallModel
	tokens      tokenTimes
	promptsSeen bool // some call has told what it has read
	scratch     []candidate
	calls       rateMeter               // of this router
	callRate    float64                 // calls a second that one endpoint gets from all routers, if they are spread evenly
	meanWeights [priorityLevels]float64 // of the calls of a rank
}

// table is the rows for one target.
type table struct {
	rows       rows
	calls      [bucketCount]rateMeter
	solvedAt   time.Duration
	solved     bool
	solvedFrom problem // of the last solve
	// Payoff before and after the last solve.
	payoffBefore, payoffAfter float64
}

// New returns a placer without endpoints.
func New(random *rand.Rand) *Placer {
	return &Placer{random: random, services: map[string]*service{}, byID: map[string]*Endpoint{}, byName: map[uint32]*Endpoint{}, routers: 1}
}

// SetRouters takes over how many routers share the endpoints.
func (p *Placer) SetRouters(routers int) { p.routers = max(1, routers) }

// SetEndpoints takes over which endpoints may be sent requests. It returns those that are new and those that no longer may.
func (p *Placer) SetEndpoints(ready []registry.Endpoint) (added, removed []*Endpoint) {
	lists := map[string][]*Endpoint{}
	present := map[string]bool{}
	for _, reported := range ready {
		e := p.byID[reported.ID]
		if e == nil || e.removed || e.Address != reported.Address {
			p.lastNumber++
			e = &Endpoint{Number: p.lastNumber, hash: xxhash.Sum64String(reported.ID)}
			p.byID[reported.ID], p.byName[e.Name()] = e, e
			added = append(added, e)
		}
		e.Endpoint = reported
		lists[reported.Service] = append(lists[reported.Service], e)
		present[reported.ID] = true
	}
	for id, e := range p.byID {
		if !present[id] {
			e.removed = true
			removed = append(removed, e)
			delete(p.byID, id)
			delete(p.byName, e.Name())
		}
	}
	for name, s := range p.services {
		if lists[name] == nil {
			s.endpoints = nil
		}
	}
	for name, list := range lists {
		p.service(name).setEndpoints(list)
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
func (s *service) setEndpoints(list []*Endpoint) {
	former := s.endpoints
	if slices.Equal(former, list) {
		return
	}
	s.endpoints = list
	for _, t := range s.tables {
		t.remap(former, list)
	}
}

func (t *table) remap(former, list []*Endpoint) {
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

// Remove has endpoints get no more calls, before the next list says so. It returns those that were known.
func (p *Placer) Remove(ids []string) []*Endpoint {
	var dropped []*Endpoint
	for _, id := range ids {
		if e := p.byID[id]; e != nil {
			e.removed = true
			dropped = append(dropped, e)
		}
	}
	return dropped
}

// ReadyCount is how many endpoints of a service may be sent requests.
func (p *Placer) ReadyCount(name string) int { return len(p.Endpoints(name)) }

// Endpoints are those of a service that may be sent requests. They stay the placer's own.
func (p *Placer) Endpoints(name string) []*Endpoint {
	if s := p.services[name]; s != nil {
		return s.endpoints
	}
	return nil
}

// Place draws a call's endpoint and notes that the call goes there; nil where there is none. End has to follow.
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
	placed := s.draw(now, t.rows[bucket], call.key(p.random), call)
	if placed != nil {
		s.recordSend(now, placed, call)
	}
	return placed
}

// callRate estimates the calls a second that an endpoint gets, from this router's own: clients are spread over routers.
func (p *Placer) callRate(now time.Duration, s *service) float64 {
	return s.calls.now(now) * float64(p.routers) / float64(max(1, len(s.endpoints)))
}

// begin notes that a call is sent.
func (s *service) recordSend(now time.Duration, placed *Placement, call *Call) {
	e := placed.Endpoint
	e.sendRate.count(now)
	e.inFlight++
	s.inFlight++
	s.recordWeight(&call.Prompt)
	placed.serial = s.enqueue(now, e, &call.Prompt, placed.work, placed.Expected)
}

// push notes that an endpoint has a prompt to read, and then a stream to write.
func (s *service) enqueue(now time.Duration, e *Endpoint, prompt *Prompt, w work, expected time.Duration) uint64 {
	s.promptsSeen = s.promptsSeen || prompt.Units > 1
	seconds := s.prefill.line().prefill(w) * e.slowness.factor(now)
	e.prefills.add(now, seconds)
	serial := e.queue.push(now, prompt.Priority, seconds)
	for _, prefix := range prompt.Prefixes {
		e.prefixes.remember(now, prefix.Hash)
	}
	if prompt.MaxEventGap > 0 && prompt.Output > 0 {
		e.streams.add(now, runningStream{
			firstToken: now + expected, duration: s.tokens.duration(prompt.Priority, prompt.Output), maxEventGap: prompt.MaxEventGap, weight: s.callWeight(prompt),
		})
	}
	return serial
}

func (s *service) table(target time.Duration) *table {
	t := s.tables[target]
	if t == nil {
		t = &table{rows: evenRows(len(s.endpoints))}
		s.tables[target] = t
	}
	return t
}

// Name is short for the endpoint's id, the same on all routers.
func (e *Endpoint) Name() uint32 { return uint32(e.hash) }

// RecordRemoteCall notes a call that another router has sent to an endpoint, where so many units of its prompt have to be read.
func (p *Placer) RecordRemoteCall(now time.Duration, name uint32, prompt *Prompt, read float64) {
	e := p.byName[name]
	if e == nil {
		return
	}
	s := p.service(e.Service)
	e.queue.drain(now)
	w := workOf(read, prompt.Units)
	wait := e.queue.waitFor(prompt.Priority) + s.prefill.line().firstToken(w)
	s.enqueue(now, e, prompt, w, time.Duration(wait*float64(time.Second)))
}

// Release notes that a call is over.
func (p *Placer) Release(placed *Placement) {
	placed.Endpoint.inFlight--
	p.service(placed.Endpoint.Service).inFlight--
}

// Observation is what a call's first token has told of an endpoint's speed.
type Observation struct {
	Endpoint     uint32  // its Name
	PrefillUnits float64 // units of the prompt that were read
	Units        float64 // of the prompt in all
	Delay        float64 // seconds until the first token
	Wait         float64 // seconds of these that were expected for the reading of other prompts
}

// RecordFirstToken notes how long a call's first token, or answer, took. It returns what other routers can learn from it.
func (p *Placer) RecordFirstToken(now time.Duration, placed *Placement, delay time.Duration) Observation {
	e := placed.Endpoint
	e.delay.observe(e.sendRate.now(now), delay.Seconds())
	e.queue.drain(now)
	e.queue.complete(placed.serial, placed.prompt.Priority)
	e.recordOutcome(0)
	e.consecutiveFailures, e.ejection, e.ejectedUntil = 0, 0, 0
	seen := Observation{
		Endpoint: e.Name(), PrefillUnits: placed.Units, Units: placed.prompt.Units, Delay: delay.Seconds(), Wait: placed.wait,
	}
	placed.firstTokenAt = now
	p.service(e.Service).accuracy.observe(placed.Units, placed.Expected, delay)
	p.recordLatency(now, e, &seen)
	return seen
}

// RecordRemoteFirstToken notes what another router's call has told of an endpoint's speed.
func (p *Placer) RecordRemoteFirstToken(now time.Duration, seen *Observation) {
	if e := p.byName[seen.Endpoint]; e != nil {
		p.recordLatency(now, e, seen)
	}
}

// learn takes an observation into the line of all endpoints and into the endpoint's own factor.
func (p *Placer) recordLatency(now time.Duration, e *Endpoint, seen *Observation) {
	s := p.service(e.Service)
	if seen.Units <= 1 && s.promptsSeen {
		return // nothing was read: it says nothing of prompts
	}
	w := workOf(seen.PrefillUnits, seen.Units)
	own := max(minBase, seen.Delay-seen.Wait)
	expected := s.prefill.line().firstToken(w)
	if seen.Wait < expected {
		e.slowness.observe(now, own/expected)
	}
	weight := 1.0
	if seen.Wait > 0 {
		weight = queuedObservationWeight
	}
	s.prefill.observe(w, own, weight)
}

// Stall is what a stream has told of how prompts that are read beside it hold it up.
type Stall struct {
	Endpoint    uint32  // its Name
	Longest     float64 // seconds between two events
	PrefillTime float64 // seconds that the longest prompt meanwhile took to read
}

// RecordStreamEnd notes a stream that has ended: how long it took from its first token, and its longest pause. ok is false where no
// long prompt was read meanwhile, and other routers can't learn from it.
func (p *Placer) RecordStreamEnd(now time.Duration, placed *Placement, took, longest time.Duration) (seen Stall, ok bool) {
	e := placed.Endpoint
	p.service(e.Service).tokens.observe(placed.prompt.Priority, took, placed.prompt.Output)
	reading := e.prefills.longest(placed.firstTokenAt, now)
	if gap := placed.prompt.MaxEventGap.Seconds(); gap <= 0 || reading < gap {
		return Stall{}, false
	}
	seen = Stall{Endpoint: e.Name(), Longest: longest.Seconds(), PrefillTime: reading}
	p.service(e.Service).stalls.observe(&seen)
	return seen, true
}

// RecordRemoteStall notes what another router's stream has told.
func (p *Placer) RecordRemoteStall(seen *Stall) {
	if e := p.byName[seen.Endpoint]; e != nil {
		p.service(e.Service).stalls.observe(seen)
	}
}

func (e *Endpoint) recordOutcome(failed float64) {
	e.failureShare += (failed - e.failureShare) / failureShareMemory
}

// RecordConnectFailure notes that a connection to an endpoint did not come up.
func (p *Placer) RecordConnectFailure(now time.Duration, e *Endpoint) {
	e.recordOutcome(1)
	p.recordFailures(now, e, 1, false)
	e.eject(now)
}

// RecordFailure notes a refusal, an error, a reset or a time-out of an endpoint.
func (p *Placer) RecordFailure(now time.Duration, e *Endpoint) {
	e.recordOutcome(1)
	p.recordFailures(now, e, 1, false)
	if e.consecutiveFailures++; e.consecutiveFailures >= ejectionThreshold {
		e.eject(now)
	}
}

// RecordOverdue notes that a call's first token has not come long after it was expected. The call goes on.
func (p *Placer) RecordOverdue(now time.Duration, e *Endpoint) { p.recordFailures(now, e, 1, true) }

// RecordRemoteFailures notes failures, or overdue answers, that another router has met at an endpoint.
func (p *Placer) RecordRemoteFailures(now time.Duration, name uint32, count int, overdue bool) {
	if e := p.byName[name]; e != nil {
		p.recordFailures(now, e, float64(count), overdue)
	}
}

func (p *Placer) recordFailures(now time.Duration, e *Endpoint, count float64, overdue bool) {
	callRate := p.callRate(now, p.service(e.Service))
	e.faults.record(now, count, callRate)
	if !overdue {
		e.failures.record(now, count, callRate)
	}
}

// eject leaves an endpoint out, twice as long as the time before.
func (e *Endpoint) eject(now time.Duration) {
	if now < e.ejectedUntil {
		return
	}
	e.ejection = min(max(baseEjection, 2*e.ejection), maxEjection)
	e.ejectedUntil = now + e.ejection
}
