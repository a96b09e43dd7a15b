package budget

import (
	"container/list"
	"time"
)

// pots is how many are kept: one for each request that a server has in work at once, and more is somebody's forgery.
const pots = 4096

// SharedAccounts holds the pots of a sidecar behind the first tier. Calls that a server makes for one request carry the same
// pot's number and share what is in it, one after another or side by side.
type SharedAccounts struct {
	pots  map[uint64]*list.Element
	order *list.List // the first to lapse first, as they came
}

type pot struct {
	id    uint64
	left  int
	open  int
	until time.Duration
}

// NewSharedAccounts returns an empty one.
func NewSharedAccounts() *SharedAccounts {
	return &SharedAccounts{map[uint64]*list.Element{}, list.New()}
}

// Open is a call that came with a pot's number and what was in the pot at first, at a time now and to be answered by
// until. It takes what is left, but for one where there are more than two: another call may be made beside it.
func (l *SharedAccounts) Open(now, until time.Duration, id uint64, extra int) int {
	l.lapse(now)
	e := l.pots[id]
	if e == nil {
		if len(l.pots) >= pots {
			return 0 // nothing is known of it, so nothing is granted
		}
		e = l.order.PushBack(&pot{id: id, left: max(0, min(extra, Most)), until: until})
		l.pots[id] = e
	}
	p := e.Value.(*pot)
	p.until = max(p.until, until)
	p.open++
	n := p.left
	if n > 2 {
		n--
	}
	p.left -= n
	return n
}

// Close is such a call's end, with what it has not used.
func (l *SharedAccounts) Close(id uint64, unused int) {
	if e := l.pots[id]; e != nil {
		p := e.Value.(*pot)
		p.open--
		p.left += unused
	}
}

// lapse forgets pots whose time is over. One that is open is kept; it comes to the end of the line.
func (l *SharedAccounts) lapse(now time.Duration) {
	for e := l.order.Front(); e != nil; e = l.order.Front() {
		p := e.Value.(*pot)
		switch {
		case now < p.until:
			return
		case p.open > 0:
			p.until = now + time.Second
			l.order.MoveToBack(e)
		default:
			l.order.Remove(e)
			delete(l.pots, p.id)
		}
	}
}
