// Package decision simulates placement alone: the real placement modules of many routers, or an ideal scheduler that knows the state of
// all engines, against a model of language-model engines, in virtual time. There are no sockets, processes or faults in it. It shows
// how much better full knowledge would place calls than the routers do.
//
// Only the command line of the test lab calls it. All but ReadSite is pure: the same configuration and seed give the same result. Times
// are float64 seconds unless a name ends in Ms.
package decision

import (
	"slices"
)

// EngineSpec is the cost model of an engine with continuous batching, as a site file states it.
type EngineSpec struct {
	MaxBatch     int     `toml:"batch"`                 // requests at once
	StepMs       float64 `toml:"step_ms"`               // of an empty step
	RequestMs    float64 `toml:"step_ms_per_slot"`      // in addition, for each request that decodes
	ContextMs    float64 `toml:"context_ms_per_k"`      // in addition, for each thousand tokens of context of these requests
	TokensPerMs  float64 `toml:"prefill_tokens_per_ms"` // of prefill
	PairsMs      float64 `toml:"pairs_ms_per_m"`        // in addition, for each million pairs of tokens (attention)
	Chunk        int     `toml:"chunk"`                 // maximum of prompt tokens in a step
	Stride       int     `toml:"stride"`                // tokens in an event of the stream
	KVTokens     float64 `toml:"kv_tokens"`             // capacity of the prefix cache
	FirstTokenMs float64 `toml:"first_ms"`              // from the end of the prefill to the first event
}

// millisecond is one, in seconds.
const millisecond = 1e-3

// sequence is a request at an engine.
type sequence struct {
	call         *call
	priority     int
	prefilled    float64 // tokens of the prompt that were cached or have been prefilled
	produced     int
	firstTokenAt float64 // 0: not yet
	lastEventAt  float64
}

// remaining returns the tokens of the prompt that are still to be prefilled.
func (s *sequence) remaining() float64 { return s.call.prompt - s.prefilled }

// engine simulates one endpoint: requests wait, are prefilled in chunks, then decode together, one token a step.
type engine struct {
	spec       *EngineSpec
	cache      prefixCache
	waiting    []*sequence
	prefilling []*sequence
	decoding   []*sequence
	stepEnd    float64 // of the current step; 0: idle
	chunks     []prefillChunk
}

// prefillChunk is the part of a prompt that a step prefills.
type prefillChunk struct {
	sequence *sequence
	tokens   float64
}

// submit queues a call.
func (e *engine) submit(c *call) {
	e.waiting = append(e.waiting, &sequence{call: c, priority: c.class.Priority})
}

// startStep starts a step, if there is work, and sets stepEnd.
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

// prefillMs returns the time that a step spends on a chunk of tokens after those prefilled before.
func (s *EngineSpec) prefillMs(prefilled, tokens float64) float64 {
	return tokens/s.TokensPerMs + s.PairsMs*tokens*(2*prefilled+tokens)/2e6
}

// minFirstTokenTime returns the time to the first token, in seconds, on an engine that is idle otherwise.
func (s *EngineSpec) minFirstTokenTime(prompt, cached float64) float64 {
	tokens := max(1, prompt-cached)
	steps := float64(int((tokens + float64(s.Chunk) - 1) / float64(s.Chunk)))
	return (steps*s.StepMs + s.prefillMs(prompt-tokens, tokens) + s.FirstTokenMs) * millisecond
}

// admit starts the prefill of waiting requests, by priority, as long as the batch has capacity.
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

// finishStep ends the current step. It returns the calls that got their first token, and those that are done.
func (e *engine) finishStep() (first, done []*call) {
	now := e.stepEnd
	decoding := e.decoding[:0]
	for _, s := range e.decoding {
		s.recordToken(now, e.spec.Stride)
		if s.produced >= s.call.output {
			s.call.endAt = now
			done = append(done, s.call)
			continue
		}
		decoding = append(decoding, s)
	}
	e.decoding = decoding
	for _, p := range e.chunks {
		p.sequence.prefilled += p.tokens
	}
	prefilling := e.prefilling[:0]
	for _, s := range e.prefilling {
		if s.remaining() > 0 {
			prefilling = append(prefilling, s)
			continue
		}
		e.cache.add(s.call, e.spec.KVTokens)
		s.firstTokenAt, s.lastEventAt, s.produced = now, now, 1
		s.call.firstAt = now
		first = append(first, s.call)
		e.decoding = append(e.decoding, s)
	}
	e.prefilling = prefilling
	return first, done
}

// recordToken counts a token, and the interval between events.
func (s *sequence) recordToken(now float64, stride int) {
	s.produced++
	if (s.produced-1)%stride == 0 || s.produced == s.call.output {
		s.call.maxStall = max(s.call.maxStall, now-s.lastEventAt)
		s.lastEventAt = now
	}
}

// queuedWork returns the time, in seconds, of the prefill work ahead of a new request of a priority.
func (e *engine) queuedWork(priority int) float64 {
	ms := 0.0
	for _, s := range e.prefilling {
		ms += e.spec.prefillMs(s.prefilled, s.remaining()) + s.remaining()/float64(e.spec.Chunk)*e.spec.StepMs
	}
	for _, s := range e.waiting {
		if s.priority <= priority {
			ms += e.spec.minFirstTokenTime(s.call.prompt, e.cache.cachedTokens(s.call)) / millisecond
		}
	}
	return ms * millisecond
}
