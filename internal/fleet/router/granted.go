package router

import (
	"sync"
	"time"
)

// grantedFor is how long a grant is kept at least, for a question that comes again because the answer was late or lost.
const grantedFor = time.Second

// askKey names a question to the ledger.
type askKey struct {
	from   string
	number uint64
}

// grantedAnswers are the ledger's last grants, so that a question that is repeated is granted once. The zero value is
// empty. Its methods may be called by any goroutine.
type grantedAnswers struct {
	mu            sync.Mutex
	recent, older map[askKey]quotaGrant
	turned        time.Duration // when recent was begun
}

// find returns what a question was answered.
func (g *grantedAnswers) find(now time.Duration, key askKey) (quotaGrant, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.turn(now)
	if grant, found := g.recent[key]; found {
		return grant, true
	}
	grant, found := g.older[key]
	return grant, found
}

// keep notes an answer. A refusal is none: the same question may be granted a moment later.
func (g *grantedAnswers) keep(now time.Duration, key askKey, grant quotaGrant) {
	if grant.Granted <= 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.turn(now)
	g.recent[key] = grant
}

// turn forgets what is old. The caller holds the lock.
func (g *grantedAnswers) turn(now time.Duration) {
	if g.recent != nil && now-g.turned < grantedFor {
		return
	}
	g.older, g.recent = g.recent, map[askKey]quotaGrant{}
	if now-g.turned >= 2*grantedFor {
		g.older = nil
	}
	g.turned = now
}
