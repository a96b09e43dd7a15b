package stream

import (
	"time"

	"pinelb.example/pinelb/balance"
)

// Life is the whole story of one stream.
type Life struct {
	Request  *Request
	Response Response  // the final answer
	Answered time.Time // when it was there
	Attempts []Attempt // in the order in which they began
}

// Attempt is one upstream request of a stream.
type Attempt struct {
	Host         balance.EndpointID
	Began, Ended time.Time
	Status       balance.Status
}

// Observer is told each stream's life once, when it has its final answer and all its attempts have their
// outcomes: a withdrawn attempt may come back long after the answer. It is told on the streams' own time, by
// many goroutines at once, and must not wait for anything.
type Observer interface {
	Ended(l *Life)
}

// use is what is out under one id.
type use struct {
	open int   // its stream, and its attempts that are still out
	life *Life // nil: nobody observes
}

// take claims an id for its stream, unless it is in use.
func (p *Proxy) take(req *Request) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.uses == nil {
		p.uses = map[string]use{}
	}
	if p.uses[req.Txn].open > 0 {
		return false
	}
	u := use{open: 1}
	if p.Observer != nil {
		u.life = &Life{Request: req}
	}
	p.uses[req.Txn] = u
	return true
}

// begin claims an id once more, for an attempt of its stream, and returns which one that is.
func (p *Proxy) begin(txn string, host balance.EndpointID) (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.uses[txn]
	u.open++
	if u.life != nil {
		n = len(u.life.Attempts)
		u.life.Attempts = append(u.life.Attempts, Attempt{Host: host, Began: time.Now()})
	}
	p.uses[txn] = u
	return n
}

// release gives up one claim to an id, and adds what that part of the stream's life has come to. The last one
// tells the whole.
func (p *Proxy) release(txn string, add func(*Life)) {
	p.mu.Lock()
	u := p.uses[txn]
	if u.life != nil {
		add(u.life)
	}
	if u.open--; u.open > 0 {
		p.uses[txn] = u
	} else {
		delete(p.uses, txn)
		p.Effects.Finish(time.Now(), txn) // before another stream can have the id
	}
	p.mu.Unlock()
	if u.open == 0 && u.life != nil {
		p.Observer.Ended(u.life)
	}
}

// unheard ends a stream of which the decisions are not told.
func (p *Proxy) unheard(req *Request, res Response) Response {
	if p.Observer != nil {
		p.Observer.Ended(&Life{Request: req, Response: res, Answered: time.Now()})
	}
	return res
}

// Out is how many streams' lives are not over yet.
func (p *Proxy) Out() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.uses)
}
