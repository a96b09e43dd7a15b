package router

import (
	"sync"
	"time"
)

// grantTTL is the minimum time for which a grant is cached, for a request that is retried because the reply was late or lost.
const grantTTL = time.Second

// grantKey identifies a request to the allocator.
type grantKey struct {
	from   string // internal address of the requesting router
	number uint64
}

// grantCache holds the allocator's last grants, so that requests are idempotent: a retry is granted once. It has two generations, of
// which the older is dropped when the current one has reached grantTTL. The zero value is empty. Its methods may be called by any
// goroutine.
type grantCache struct {
	mu                sync.Mutex
	current, previous map[grantKey]quotaGrant
	rotatedAt         time.Duration // when current was started
}

// lookup returns the grant that a request got before.
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

// store caches a grant. A rejection is not cached: the same request may be granted a moment later.
func (g *grantCache) store(now time.Duration, key grantKey, grant quotaGrant) {
	if grant.Granted <= 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rotate(now)
	g.current[key] = grant
}

// rotate drops grants that have expired. The caller holds the lock.
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
