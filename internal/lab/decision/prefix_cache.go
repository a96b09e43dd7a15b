package decision

import (
	"container/list"
	"slices"
)

// prefixCache is the cache of shared parts of prompts of an engine, with eviction of the least recently used.
type prefixCache struct {
	entries map[uint64]*list.Element
	order   list.List // of cachedPart, the most recently used first
	total   float64   // tokens
}

// cachedPart is an entry of prefixCache.order.
type cachedPart struct {
	id     uint64
	tokens float64
}

// cachedTokens returns the length of a prompt's longest cached prefix.
func (k *prefixCache) cachedTokens(c *call) float64 {
	sum := 0.0
	for _, p := range c.parts {
		if k.entries[p.id] == nil {
			break
		}
		sum += p.tokens
	}
	return sum
}

// missedTokens returns the tokens of shared parts that are not cached, or come after one that is not.
func (k *prefixCache) missedTokens(c *call) float64 {
	sum, missed := 0.0, false
	for _, p := range c.parts[:len(c.parts)-1] {
		if missed = missed || k.entries[p.id] == nil; missed {
			sum += p.tokens
		}
	}
	return sum
}

// add caches the parts of a prompt, and evicts others until the cache has at most capacity tokens.
func (k *prefixCache) add(c *call, capacity float64) {
	if k.entries == nil {
		k.entries = map[uint64]*list.Element{}
	}
	for _, p := range slices.Backward(c.parts) {
		if element := k.entries[p.id]; element != nil {
			k.order.MoveToFront(element)
			continue
		}
		k.entries[p.id] = k.order.PushFront(cachedPart(p))
		k.total += p.tokens
	}
	for k.total > capacity && k.order.Len() > 0 {
		oldest := k.order.Remove(k.order.Back()).(cachedPart)
		delete(k.entries, oldest.id)
		k.total -= oldest.tokens
	}
}
