package budget

import (
	"container/list"
	"time"
)

// maxPools bounds the pools: there is one for each request that a server works on at once, and more are forged.
const maxPools = 4096

// openPoolExtension is for how long a pool with open calls is kept beyond its deadline, at a time.
const openPoolExtension = time.Second

// SharedPools are the extra attempts at a sidecar behind the first tier. Calls that a server makes for one request carry the
// same pool's number and share what is in it, one after another or side by side.
type SharedPools struct {
	pools    map[uint64]*list.Element
	byExpiry *list.List // of *pool, in the order of arrival, the first to expire first
}

type pool struct {
	id        uint64
	remaining int
	openCalls int
	deadline  time.Duration
}

// NewSharedPools returns no pools.
func NewSharedPools() *SharedPools {
	return &SharedPools{pools: map[uint64]*list.Element{}, byExpiry: list.New()}
}

// Open takes in a call at a time now, to be answered by deadline, that carries a pool's number and what was in the pool at
// first. It takes what remains, but for one where there are more than two: another call may be made beside it.
func (s *SharedPools) Open(now, deadline time.Duration, id uint64, extra int) int {
	s.dropExpired(now)
	element := s.pools[id]
	if element == nil {
		if len(s.pools) >= maxPools {
			return 0 // nothing is known of it, so nothing is granted
		}
		element = s.byExpiry.PushBack(&pool{id: id, remaining: max(0, min(extra, MaxExtraAttempts)), deadline: deadline})
		s.pools[id] = element
	}
	p := element.Value.(*pool)
	p.deadline = max(p.deadline, deadline)
	p.openCalls++
	taken := p.remaining
	if taken > 2 {
		taken--
	}
	p.remaining -= taken
	return taken
}

// Close takes in such a call's end, with what it has not used.
func (s *SharedPools) Close(id uint64, unused int) {
	if element := s.pools[id]; element != nil {
		p := element.Value.(*pool)
		p.openCalls--
		p.remaining += unused
	}
}

// dropExpired forgets pools whose deadline has passed. One with open calls is kept, and moves to the end of the list.
func (s *SharedPools) dropExpired(now time.Duration) {
	for element := s.byExpiry.Front(); element != nil; element = s.byExpiry.Front() {
		p := element.Value.(*pool)
		switch {
		case now < p.deadline:
			return
		case p.openCalls > 0:
			p.deadline = now + openPoolExtension
			s.byExpiry.MoveToBack(element)
		default:
			s.byExpiry.Remove(element)
			delete(s.pools, p.id)
		}
	}
}
