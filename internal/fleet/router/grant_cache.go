package router

import (
	"sync"
	"time"
)

// grantTTL is how long a grant is kept at least, for a question that comes again because the answer was late or lost.
const grantTTL = time.Second

// grantKey names a question to the ledger.
type grantKey struct {
	from   string
	number uint64
}

// grantCache are the ledger's last grants, so that a question that is repeated is granted once. The zero value is
// empty. Its methods may be called by any goroutine.
type grantCache struct {
	mu                sync.Mutex
	current, previous map[grantKey]quotaGrant
	rotatedAt         time.Duration // when recent was begun
}

// find returns what a question was answered.
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

// keep notes an answer. A refusal is none: the same question may be granted a moment later.
func (g *grantCache) store(now time.Duration, key grantKey, grant quotaGrant) {
	if grant.Granted <= 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rotate(now)
	g.current[key] = grant
}

// turn forgets what is old. The caller holds the lock.
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
