package placement

import (
	"slices"
	"time"
)

// service is the state of one service: its endpoints, its tables and what all its endpoints share.
type service struct {
	endpoints   []*Endpoint // ready ones, in the order of the list
	tables      map[time.Duration]*table
	inFlight    int
	prefill     prefillModel
	accuracy    accuracy
	stalls      stallModel
	tokens      tokenTimes
	promptsSeen bool                    // some call has stated the length of its prompt
	candidates  []candidate             // of the last draw, reused
	calls       rateMeter               // of this router
	callRate    float64                 // calls a second to one endpoint from all routers, if they are spread evenly
	meanWeights [priorityLevels]float64 // units a call, by priority
}

// setEndpoints replaces the endpoints. Shares move with their endpoints.
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

// table returns the table of a target latency, which it creates at the first use.
func (s *service) table(target time.Duration) *table {
	t := s.tables[target]
	if t == nil {
		t = &table{rows: evenRows(len(s.endpoints))}
		s.tables[target] = t
	}
	return t
}

// recordSend records that this router sends a call.
func (s *service) recordSend(now time.Duration, placed *Placement, call *Call) {
	e := placed.Endpoint
	e.sendRate.count(now)
	e.inFlight++
	s.inFlight++
	s.recordWeight(&call.Prompt)
	placed.serial = s.enqueue(now, e, &call.Prompt, placed.work, placed.Expected)
}

// enqueue records that an endpoint has a prompt to prefill, and then a stream to write. It returns the serial number of the
// job in the endpoint's queue.
func (s *service) enqueue(now time.Duration, e *Endpoint, prompt *Prompt, w work, expected time.Duration) uint64 {
	s.promptsSeen = s.promptsSeen || prompt.Units > 1
	seconds := s.prefill.line().prefill(w) * e.slowness.factor(now)
	e.prefills.add(now, seconds)
	serial := e.queue.push(now, prompt.Priority, seconds)
	for _, prefix := range prompt.Prefixes {
		e.prefixes.insert(now, prefix.Hash)
	}
	if prompt.MaxEventGap > 0 && prompt.Output > 0 {
		e.streams.add(now, runningStream{
			firstToken: now + expected, duration: s.tokens.duration(prompt.Priority, prompt.Output),
			maxEventGap: prompt.MaxEventGap, weight: s.callWeight(prompt),
		})
	}
	return serial
}

// recordWeight takes a prompt into the mean weight of its priority.
func (s *service) recordWeight(prompt *Prompt) {
	mean := &s.meanWeights[priorityClass(prompt.Priority)]
	if *mean == 0 {
		*mean = prompt.weightUnits()
	}
	*mean += (prompt.weightUnits() - *mean) / callWeightMemory
}

// callWeight returns what a call weighs, in calls of its priority's mean weight.
func (s *service) callWeight(prompt *Prompt) float64 {
	mean := s.meanWeights[priorityClass(prompt.Priority)]
	if mean == 0 {
		return 1
	}
	return min(maxCallWeight, minCallWeight+(1-minCallWeight)*prompt.weightUnits()/mean)
}
