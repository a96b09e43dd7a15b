package budget

import (
	"container/list"
	"time"
)

// maxPools bounds the number of pools. There is one for each concurrent request of a server; a higher number shows that
// pool numbers are forged.
const maxPools = 4096

// openPoolExtension is the time by which the deadline of a pool is extended, each time that it expires with open calls.
const openPoolExtension = time.Second

// SharedPools holds pools of extra attempts at a sidecar of a tier after the first. All calls that a server makes for one
// request carry the number of the same pool and share its extra attempts, whether they are sequential or concurrent.
type SharedPools struct {
	pools    map[uint64]*list.Element
	byExpiry *list.List // of *pool, in the order of arrival, approximately by expiry
}

type pool struct {
	id        uint64
	remaining int
	openCalls int
	deadline  time.Duration
}

// NewSharedPools returns an empty set of pools.
func NewSharedPools() *SharedPools {
	return &SharedPools{pools: map[uint64]*list.Element{}, byExpiry: list.New()}
}

// Open records the start of a call at now, to be answered by deadline. id is the number of its pool and extra the
// pool's initial number of extra attempts. It returns the number that the call may use: all that remain, or all but one
// if more than two remain, which leaves one for a concurrent call.
func (s *SharedPools) Open(now, deadline time.Duration, id uint64, extra int) int {
	s.dropExpired(now)
	element := s.pools[id]
	if element == nil {
		if len(s.pools) >= maxPools {
			return 0 // the pool cannot be tracked, so nothing is granted
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

// Close records the end of a call of a pool, and returns its unused extra attempts to the pool.
func (s *SharedPools) Close(id uint64, unused int) {
	if element := s.pools[id]; element != nil {
		p := element.Value.(*pool)
		p.openCalls--
		p.remaining += unused
	}
}

// dropExpired removes pools whose deadline has passed. A pool with open calls gets a later deadline and moves to the
// end of the list.
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
