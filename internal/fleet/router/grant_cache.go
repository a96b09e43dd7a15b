package router

import (
	"sync"
	"time"
)

// grantTTL is the minimum time for which a grant is cached, for a retry of its request after the reply was late or lost.
const grantTTL = time.Second

// grantKey identifies a request to the allocator; all attempts of a request have the same key.
type grantKey struct {
	from   string // internal address of the requesting router
	number uint64
}

// grantCache holds the allocator's recent grants to make requests idempotent: a retry gets the cached grant. It has two generations; when
// the current one reaches the age grantTTL, it becomes the previous one, and the former previous one is dropped. The zero value is an
// empty cache. Its methods may be called by any goroutine.
type grantCache struct {
	mu                sync.Mutex
	current, previous map[grantKey]quotaGrant
	rotatedAt         time.Duration // time on the clock at which current was created
}

// lookup returns the cached grant of a request, and whether there is one.
func (g *grantCache) lookup(now time.Duration, key grantKey) (quotaGrant, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rotate(now)
	if grant, found := g.current[key]; found {
		return grant, true
	}
	grant, found := g.previous[key]
	return grant, found
}

// store caches a grant. A rejection is not cached, since a retry of the same request may be granted.
func (g *grantCache) store(now time.Duration, key grantKey, grant quotaGrant) {
	if grant.Granted <= 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rotate(now)
	g.current[key] = grant
}

// rotate starts a new generation if the current one has reached the age grantTTL, and drops expired grants. The caller holds the lock.
func (g *grantCache) rotate(now time.Duration) {
	if g.current != nil && now-g.rotatedAt < grantTTL {
		return
	}
	g.previous, g.current = g.current, map[grantKey]quotaGrant{}
	if now-g.rotatedAt >= 2*grantTTL {
		g.previous = nil
	}
	g.rotatedAt = now
}
