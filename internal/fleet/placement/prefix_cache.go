package placement

import (
	"math"
	"time"
)

// prefixCache models an endpoint's cache of shared prefixes (its KV cache): it maps the hash of a prefix to the time of its
// last use, for at most maxCachedPrefixes prefixes.
type prefixCache map[uint32]time.Duration

// uncached returns the number of a prompt's units that the endpoint has to prefill, at least 1.
func (c prefixCache) uncached(now time.Duration, p *Prompt) float64 {
	for _, prefix := range p.Prefixes {
		if lastUse, cached := c[prefix.Hash]; cached && now-lastUse < prefixTTL {
			return max(1, p.Units-prefix.Units)
		}
	}
	return p.Units
}

// insert records the use of a prefix. It evicts the least recently used one if there are too many.
func (c *prefixCache) insert(now time.Duration, hash uint32) {
	if *c == nil {
		*c = prefixCache{}
	}
	(*c)[hash] = now
	if len(*c) > maxCachedPrefixes {
		c.evictOldest()
	}
}

func (c *prefixCache) evictOldest() {
	oldest, oldestUse := uint32(0), time.Duration(math.MaxInt64)
	for hash, lastUse := range *c {
		if lastUse < oldestUse {
			oldest, oldestUse = hash, lastUse
		}
	}
	delete(*c, oldest)
}
