package stream

import (
	"time"

	"pinelb.example/pinelb/balance"
)

// Record is the whole story of one stream.
type Record struct {
	Request    *Request
	Response   Response  // the final answer
	AnsweredAt time.Time // when it was there
	Attempts   []Attempt // in the order in which they began
}

// Attempt is one upstream request of a stream.
type Attempt struct {
	Endpoint           balance.EndpointID
	StartedAt, EndedAt time.Time
	Status             balance.Status
}

// Observer is told each stream's life once, when it has its final answer and all its attempts have their
// outcomes: a withdrawn attempt may come back long after the answer. It is told on the streams' own time, by
// many goroutines at once, and must not wait for anything.
type Observer interface {
	Ended(l *Record)
}

// use is what is out under one id.
type activeStream struct {
	references int     // its stream, and its attempts that are still out
	record     *Record // nil: nobody observes
}

// take claims an id for its stream, unless it is in use.
func (p *Proxy) register(req *Request) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.active == nil {
		p.active = map[string]activeStream{}
	}
	if p.active[req.Txn].references > 0 {
		return false
	}
	u := activeStream{references: 1}
	if p.Observer != nil {
		u.record = &Record{Request: req}
	}
	p.active[req.Txn] = u
	return true
}

// begin claims an id once more, for an attempt of its stream, and returns which one that is.
func (p *Proxy) beginAttempt(txn string, host balance.EndpointID) (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.active[txn]
	u.references++
	if u.record != nil {
		n = len(u.record.Attempts)
		u.record.Attempts = append(u.record.Attempts, Attempt{Endpoint: host, StartedAt: time.Now()})
	}
	p.active[txn] = u
	return n
}

// release gives up one claim to an id, and adds what that part of the stream's life has come to. The last one
// tells the whole.
func (p *Proxy) release(txn string, add func(*Record)) {
	p.mu.Lock()
	u := p.active[txn]
	if u.record != nil {
		add(u.record)
	}
	if u.references--; u.references > 0 {
		p.active[txn] = u
	} else {
		delete(p.active, txn)
		p.InFlight.Finish(time.Now(), txn) // before another stream can have the id
	}
	p.mu.Unlock()
	if u.references == 0 && u.record != nil {
		p.Observer.Ended(u.record)
	}
}

// unheard ends a stream of which the decisions are not told.
func (p *Proxy) endUnopened(req *Request, res Response) Response {
	if p.Observer != nil {
		p.Observer.Ended(&Record{Request: req, Response: res, AnsweredAt: time.Now()})
	}
	return res
}

// Active is how many streams' lives are not over yet.
func (p *Proxy) Active() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.active)
}
