package stream

import (
	"time"

	"pinelb.example/pinelb/balance"
)

// Record is all that happened to one stream.
type Record struct {
	Request    *Request
	Response   Response  // the final answer
	AnsweredAt time.Time // when it was there
	Attempts   []Attempt // in the order in which they started
}

// Attempt is one upstream request of a stream.
type Attempt struct {
	Endpoint           balance.EndpointID
	StartedAt, EndedAt time.Time
	Status             balance.Status
}

// Observer receives each stream's record once, when it has its final answer and all its attempts have their outcomes: a
// cancelled attempt may end long after the answer. It is called on the streams' own time, by many goroutines at once, and must
// not wait for anything.
type Observer interface {
	Ended(r *Record)
}

// activeStream is what is in flight under one id.
type activeStream struct {
	references int     // its stream, and its attempts that have not ended
	record     *Record // nil: there is no observer
}

// register claims an id for its stream, unless it is in flight.
func (p *Proxy) register(req *Request) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.active == nil {
		p.active = map[string]activeStream{}
	}
	if p.active[req.Txn].references > 0 {
		return false
	}
	s := activeStream{references: 1}
	if p.Observer != nil {
		s.record = &Record{Request: req}
	}
	p.active[req.Txn] = s
	return true
}

// beginAttempt adds a reference to an id for an attempt of its stream, and returns the attempt's index in the record.
func (p *Proxy) beginAttempt(txn string, endpoint balance.EndpointID) (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.active[txn]
	s.references++
	if s.record != nil {
		n = len(s.record.Attempts)
		s.record.Attempts = append(s.record.Attempts, Attempt{Endpoint: endpoint, StartedAt: time.Now()})
	}
	p.active[txn] = s
	return n
}

// release drops one reference to an id, after update has recorded how that part of the stream ended. The last one passes the
// record to the observer.
func (p *Proxy) release(txn string, update func(*Record)) {
	p.mu.Lock()
	s := p.active[txn]
	if s.record != nil {
		update(s.record)
	}
	s.references--
	if s.references > 0 {
		p.active[txn] = s
	} else {
		delete(p.active, txn)
		p.InFlight.Finish(time.Now(), txn) // before another stream can have the id
	}
	p.mu.Unlock()
	if s.references == 0 && s.record != nil {
		p.Observer.Ended(s.record)
	}
}

// endUnopened ends a stream that is not passed to the decisions.
func (p *Proxy) endUnopened(req *Request, res Response) Response {
	if p.Observer != nil {
		p.Observer.Ended(&Record{Request: req, Response: res, AnsweredAt: time.Now()})
	}
	return res
}

// Active is how many streams have not ended, or have attempts that have not.
func (p *Proxy) Active() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.active)
}
