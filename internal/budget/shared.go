package budget

import (
	"container/list"
	"time"
)

// pots is how many are kept: one for each request that a server has in work at once, and more is somebody's forgery.
const maxPools = 4096

// SharedPools holds the pots of a sidecar behind the first tier. Calls that a server makes for one request carry the same
// pot's number and share what is in it, one after another or side by side.
type SharedPools struct {
	pots     map[uint64]*list.Element
	byExpiry *list.List // the first to lapse first, as they came
}

type pool struct {
	id        uint64
	remaining int
	openCalls int
	deadline  time.Duration
}

// NewSharedPools returns an empty one.
func NewSharedPools() *SharedPools {
	return &SharedPools{map[uint64]*list.Element{}, list.New()}
}

// Open is a call that came with a pot's number and what was in the pot at first, at a time now and to be answered by
// until. It takes what is left, but for one where there are more than two: another call may be made beside it.
func (l *SharedPools) Open(now, until time.Duration, id uint64, extra int) int {
	l.dropExpired(now)
	e := l.pots[id]
	if e == nil {
		if len(l.pots) >= maxPools {
			return 0 // nothing is known of it, so nothing is granted
		}
		e = l.byExpiry.PushBack(&pool{id: id, remaining: max(0, min(extra, MaxExtra)), deadline: until})
		l.pots[id] = e
	}
	p := e.Value.(*pool)
	p.deadline = max(p.deadline, until)
	p.openCalls++
	n := p.remaining
	if n > 2 {
		n--
	}
	p.remaining -= n
	return n
}

// Close is such a call's end, with what it has not used.
func (l *SharedPools) Close(id uint64, unused int) {
	if e := l.pots[id]; e != nil {
		p := e.Value.(*pool)
		p.openCalls--
		p.remaining += unused
	}
}

// lapse forgets pots whose time is over. One that is open is kept; it comes to the end of the line.
func (l *SharedPools) dropExpired(now time.Duration) {
	for e := l.byExpiry.Front(); e != nil; e = l.byExpiry.Front() {
		p := e.Value.(*pool)
		switch {
		case now < p.deadline:
			return
		case p.openCalls > 0:
			p.deadline = now + time.Second
			l.byExpiry.MoveToBack(e)
		default:
			l.byExpiry.Remove(e)
			delete(l.pots, p.id)
		}
	}
}
