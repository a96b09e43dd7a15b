// Package decision plays the decision alone: the real placement of many routers, or a scheduler that knows everything,
// before a model of language-model engines, in virtual time. There are no sockets, processes or faults in it. It tells how
// far a decision with full knowledge would get beside the one that routers make.
package decision

import (
	"container/list"
	"slices"
)

// EngineSpec is an engine as a site file states it.
type EngineSpec struct {
	MaxBatch        int     `toml:"batch"`                 // requests at once
	StepMs       float64 `toml:"step_ms"`               // of a step without anything to do
	RequestMs       float64 `toml:"step_ms_per_slot"`      // more a running request
	ContextMs    float64 `toml:"context_ms_per_k"`      // more a thousand tokens that running requests hold
	TokensPerMs  float64 `toml:"prefill_tokens_per_ms"` // of prompts
	PairsMs      float64 `toml:"pairs_ms_per_m"`        // more a million pairs of tokens
	Chunk        int     `toml:"chunk"`                 // tokens of prompts that a step reads at most
	Stride       int     `toml:"stride"`                // tokens an event
	KVTokens     float64 `toml:"kv_tokens"`
	FirstTokenMs float64 `toml:"first_ms"`
}

const millisecond = 1e-3 // seconds

// sequence is a request at an engine.
type sequence struct {
	call     *call
	priority     int
	prefilled     float64 // tokens of the prompt that are kept or have been read
	produced int
	firstTokenAt    float64 // first token; 0: not yet
	lastEventAt   float64 // of the last event
}

func (s *sequence) remaining() float64 { return s.call.prompt - s.prefilled }

// engine is one endpoint.
type engine struct {
	spec    *EngineSpec
	cache    prefixCache
	waiting []*sequence
	prefilling []*sequence
	decoding []*sequence
	stepEnd float64 // of the step under way; 0: it rests
	chunks  []prefillChunk
}

// piece is what a step reads of a prompt.
type prefillChunk struct {
	sequence *sequence
	tokens   float64
}

// submit takes a call.
func (e *engine) submit(c *call) {
	e.waiting = append(e.waiting, &sequence{call: c, priority: c.class.Priority})
}

// begin starts a step at a moment, if there is anything to do, and works out when it ends.
func (e *engine) startStep(now float64) {
	e.admit()
	if len(e.prefilling)+len(e.decoding) == 0 {
		e.stepEnd = 0
		return
	}
	ms := e.spec.StepMs
	for _, s := range e.decoding {
		ms += e.spec.RequestMs + e.spec.ContextMs*(s.call.prompt+float64(s.produced))/1000
	}
	budget := float64(e.spec.Chunk)
	e.chunks = e.chunks[:0]
	for _, s := range e.prefilling {
		tokens := min(budget, s.remaining())
		if tokens <= 0 {
			continue
		}
		budget -= tokens
		e.chunks = append(e.chunks, prefillChunk{s, tokens})
		ms += e.spec.prefillMs(s.prefilled, tokens)
	}
	e.stepEnd = now + ms*millisecond
}

// prefillMs is how long a piece of a prompt takes after what was read of it.
func (s *EngineSpec) prefillMs(read, tokens float64) float64 {
	return tokens/s.TokensPerMs + s.PairsMs*tokens*(2*read+tokens)/2e6
}

// alone is how many seconds a prompt takes to its first token on an engine that does nothing else.
func (s *EngineSpec) minFirstTokenTime(prompt, kept float64) float64 {
	tokens := max(1, prompt-kept)
	steps := float64(int((tokens + float64(s.Chunk) - 1) / float64(s.Chunk)))
	return (steps*s.StepMs + s.prefillMs(prompt-tokens, tokens) + s.FirstTokenMs) * millisecond
}

// admit lets waiting requests in, the most urgent first.
func (e *engine) admit() {
	slices.SortStableFunc(e.waiting, func(a, b *sequence) int { return a.priority - b.priority })
	for len(e.waiting) > 0 && len(e.prefilling)+len(e.decoding) < e.spec.MaxBatch {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		s.prefilled = min(e.cache.cachedTokens(s.call), s.call.prompt-1)
		s.call.missedTokens = e.cache.missedTokens(s.call)
		e.prefilling = append(e.prefilling, s)
	}
}

// finish ends the step under way. It returns the calls whose first token came, and those that are over.
func (e *engine) finishStep() (first, over []*call) {
	now := e.stepEnd
	running := e.decoding[:0]
	for _, s := range e.decoding {
		s.recordToken(now, e.spec.Stride)
		if s.produced >= s.call.output {
			s.call.endAt = now
			over = append(over, s.call)
			continue
		}
		running = append(running, s)
	}
	e.decoding = running
	for _, p := range e.chunks {
		p.sequence.prefilled += p.tokens
	}
	reading := e.prefilling[:0]
	for _, s := range e.prefilling {
		if s.remaining() > 0 {
			reading = append(reading, s)
			continue
		}
		e.cache.add(s.call, e.spec.KVTokens)
		s.firstTokenAt, s.lastEventAt, s.produced = now, now, 1
		s.call.firstAt = now
		first = append(first, s.call)
		e.decoding = append(e.decoding, s)
	}
	e.prefilling = reading
	return first, over
}

// token notes that a token was made.
func (s *sequence) recordToken(now float64, stride int) {
	s.produced++
	if (s.produced-1)%stride == 0 || s.produced == s.call.output {
		s.call.maxStall = max(s.call.maxStall, now-s.lastEventAt)
		s.lastEventAt = now
	}
}

// work is how many seconds the prompts take that are read before a new one of a rank.
func (e *engine) queuedWork(rank int) float64 {
	ms := 0.0
	for _, s := range e.prefilling {
		ms += e.spec.prefillMs(s.prefilled, s.remaining()) + s.remaining()/float64(e.spec.Chunk)*e.spec.StepMs
	}
	for _, s := range e.waiting {
		if s.priority <= rank {
			ms += e.spec.minFirstTokenTime(s.call.prompt, e.cache.cachedTokens(s.call)) / millisecond
		}
	}
	return ms * millisecond
}

// prefixCache are the parts of prompts that an engine keeps; those unused for longest give way.
type prefixCache struct {
	entries  map[uint64]*list.Element
	order list.List // of cachedPart, the last used first
	total float64
}

type cachedPart struct {
	id     uint64
	tokens float64
}

// tokens is how much of a prompt's beginning is kept.
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

// missing is how many tokens of shared parts have to be read.
func (k *prefixCache) missedTokens(c *call) float64 {
	sum, broken := 0.0, false
	for _, p := range c.parts[:len(c.parts)-1] {
		if broken = broken || k.entries[p.id] == nil; broken {
			sum += p.tokens
		}
	}
	return sum
}

func (k *prefixCache) add(c *call, most float64) {
	if k.entries == nil {
		k.entries = map[uint64]*list.Element{}
	}
	for _, p := range slices.Backward(c.parts) {
		if element := k.entries[p.id]; element != nil {
			k.order.MoveToFront(element)
			continue
		}
		k.entries[p.id] = k.order.PushFront(cachedPart{p.id, p.tokens})
		k.total += p.tokens
	}
	for k.total > most && k.order.Len() > 0 {
		oldest := k.order.Remove(k.order.Back()).(cachedPart)
		delete(k.entries, oldest.id)
		k.total -= oldest.tokens
	}
}
