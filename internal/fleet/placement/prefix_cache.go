package placement

import (
	"math"
	"time"
)

const (
	prefixTTL         = 30 * time.Second // after its last use a prefix is no longer counted on
	maxCachedPrefixes = 512              // an endpoint
)

// prefixCache are the shared parts that an endpoint is taken to keep, with their last use.
type prefixCache map[uint32]time.Duration

// uncached is how many of a prompt's units have to be read.
func (k prefixCache) uncached(now time.Duration, p *Prompt) float64 {
	for _, prefix := range p.Prefixes {
		if used, known := k[prefix.Hash]; known && now-used < prefixTTL {
			return max(1, p.Units-prefix.Units)
		}
	}
	return p.Units
}

// remember notes that shared parts are kept from now on.
func (k *prefixCache) remember(now time.Duration, prefixes ...uint32) {
	if *k == nil {
		*k = prefixCache{}
	}
	for _, hash := range prefixes {
		(*k)[hash] = now
	}
	if len(*k) > maxCachedPrefixes {
		k.evictOldest()
	}
}

func (k *prefixCache) evictOldest() {
	oldest, at := uint32(0), time.Duration(math.MaxInt64)
	for hash, used := range *k {
		if used < at {
			oldest, at = hash, used
		}
	}
	delete(*k, oldest)
}
