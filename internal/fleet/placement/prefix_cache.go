package placement

import (
	"math"
	"time"
)

// prefixCache models an endpoint's cache of shared prefixes (its KV cache): the last use of each prefix, by its hash. Its size is
// bounded by maxCachedPrefixes.
type prefixCache map[uint32]time.Duration

// uncached returns how many of a prompt's units have to be prefilled, at least 1.
func (c prefixCache) uncached(now time.Duration, p *Prompt) float64 {
	for _, prefix := range p.Prefixes {
		if used, known := c[prefix.Hash]; known && now-used < prefixTTL {
			return max(1, p.Units-prefix.Units)
		}
	}
	return p.Units
}

// insert records that a prefix is used.
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
	for hash, used := range *c {
		if used < oldestUse {
			oldest, oldestUse = hash, used
		}
	}
	delete(*c, oldest)
}
