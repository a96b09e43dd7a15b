package decision

import (
	"time"

	"pinelb.example/pinelb/internal/fleet/placement"
)

// router is the placement module of one router, with what it has yet to announce.
type router struct {
	placer      *placement.Placer
	observation *placement.Observation
	stall       *placement.Stall
}

// maxOutputFactor is the maximum output that a request states, over the mean output of its class.
const maxOutputFactor = 2

// placementCall returns a call as a router sees it. The prefixes are in the order of the module, the longest first.
func placementCall(c *call, stride int) *placement.Call {
	prompt := placement.Prompt{
		Units: c.prompt, Output: maxOutputFactor * c.class.Stream.Pieces.Mean * float64(stride), Priority: c.class.Priority,
		MaxEventGap: milliseconds(c.class.Stream.MaxGapMs),
	}
	end := 0.0
	for _, p := range c.parts[:len(c.parts)-1] {
		end += p.tokens
		prompt.Prefixes = append([]placement.Prefix{{Hash: uint32(p.id), Units: end}}, prompt.Prefixes...)
	}
	return &placement.Call{
		Service: c.class.Service, Target: milliseconds(c.class.TargetMs), Spent: milliseconds(1000 * clientDelay), Prompt: prompt,
	}
}

// announce has the other routers learn of a call, and of what its router has observed since its last announcement.
func (w *simulation) announce(c *call, placed *placement.Placement) {
	from := w.routers[c.router]
	observation, stall := from.observation, from.stall
	from.observation, from.stall = nil, nil
	at := w.now + minAnnounceDelay
	if len(w.routers) > batchingRouters {
		at += maxBatchDelay * w.random.Float64()
	}
	prompt := &placementCall(c, w.engineSpec.Stride).Prompt
	w.schedule(at, func() {
		for _, r := range w.routers {
			if r == from {
				continue
			}
			r.placer.RecordRemoteCall(w.clock(), placed.Endpoint.ShortID(), prompt, placed.Units)
			if observation != nil {
				r.placer.RecordRemoteFirstToken(w.clock(), observation)
			}
			if stall != nil {
				r.placer.RecordRemoteStall(stall)
			}
		}
	})
}

// recordFirstToken has a call's router learn from its first token.
func (w *simulation) recordFirstToken(c *call, placed *placement.Placement, sentAt float64) {
	if placed == nil {
		return
	}
	r := w.routers[c.router]
	observation := r.placer.RecordFirstToken(w.clock(), placed, time.Duration((w.now+endpointDelay-sentAt)*float64(time.Second)))
	r.observation = &observation
}

// recordEnd has a call's router learn from the end of its stream.
func (w *simulation) recordEnd(c *call, placed *placement.Placement) {
	if placed == nil {
		return
	}
	r := w.routers[c.router]
	if stall, ok := r.placer.RecordStreamEnd(w.clock(), placed, seconds(c.endAt-c.firstAt), seconds(c.maxStall)); ok {
		r.stall = &stall
	}
	r.placer.Release(placed)
}
