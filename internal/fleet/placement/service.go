package placement

import (
	"slices"
	"time"
)

// service is the state of one service: its endpoints, its tables and the models that its endpoints share.
type service struct {
	endpoints           []*Endpoint // in the order of the last list of ready endpoints; includes those suspended since. Only setEndpoints changes it
	tables              map[time.Duration]*table
	inFlight            int
	prefill             prefillModel
	accuracy            accuracy
	stalls              stallModel
	tokens              tokenTimes
	promptLengthsStated bool                    // at least one call has stated the length of its prompt
	candidates          []candidate             // of the last draw; the slice is reused
	calls               rateMeter               // rate of this router's calls
	callRate            float64                 // calls per second to one endpoint from all routers; see Placer.callRate
	meanWeights         [priorityLevels]float64 // units per call, by priority; 0: no call yet
}

// setEndpoints replaces the endpoints, and adapts all tables to the new list.
func (s *service) setEndpoints(list []*Endpoint) {
	previous := s.endpoints
	if slices.Equal(previous, list) {
		return
	}
	s.endpoints = list
	for _, t := range s.tables {
		t.remap(previous, list)
	}
}

// table returns the table of a target latency, which is created on first use.
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

// enqueue records that an endpoint has to prefill a prompt, and then to write a stream. It returns the serial number of the
// job in the endpoint's queue. expected is the expected time to first token.
func (s *service) enqueue(now time.Duration, e *Endpoint, prompt *Prompt, w work, expected time.Duration) uint64 {
	s.promptLengthsStated = s.promptLengthsStated || prompt.Units > 1
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

// recordWeight updates the mean weight of the prompt's priority.
func (s *service) recordWeight(prompt *Prompt) {
	mean := &s.meanWeights[priorityClass(prompt.Priority)]
	if *mean == 0 {
		*mean = prompt.weightUnits()
	}
	*mean += (prompt.weightUnits() - *mean) / callWeightDecayCalls
}

// callWeight returns the weight of a call relative to the mean of its priority, between minCallWeight and maxCallWeight.
func (s *service) callWeight(prompt *Prompt) float64 {
	mean := s.meanWeights[priorityClass(prompt.Priority)]
	if mean == 0 {
		return 1
	}
	return min(maxCallWeight, minCallWeight+(1-minCallWeight)*prompt.weightUnits()/mean)
}
