package placement

import "time"

// Prompt is what a call has an endpoint read and write.
type Prompt struct {
	Units       float64       // tokens to read, or 1 where the request does not state them
	Output      float64       // tokens that may be written; 0 where the request does not state them
	Prefixes    []Prefix      // shared with other prompts, the longest first
	Priority    int           // 0: the most urgent
	MaxEventGap time.Duration // between events of the stream, beyond which the answer counts as late; 0: no bound
}

// Prefix is a shared beginning of prompts.
type Prefix struct {
	Hash  uint32  // of its text, the same on all routers
	Units float64 // from the prompt's beginning
}

// weightUnits returns what a call weighs beside others of its priority, in units.
func (p *Prompt) weightUnits() float64 { return p.Units + unitsPerOutputToken*p.Output }

// unsharedUnits returns how many units are in no shared prefix, at least 1.
func (p *Prompt) unsharedUnits() float64 {
	if len(p.Prefixes) == 0 {
		return p.Units
	}
	return max(1, p.Units-p.Prefixes[0].Units)
}

// priorityClass returns a priority within the levels of the Priority header.
func priorityClass(priority int) int { return min(max(priority, 0), priorityLevels-1) }

// work is the computation of a prefill: attention is computed between each token that is read and all before it, so that the
// time grows faster than the length.
type work struct {
	units float64 // tokens that are read
	pairs float64 // millions of pairs of a token that is read and one before it
}

// workOf returns the prefill of the last read units of a prompt with all units.
func workOf(read, all float64) work {
	return work{units: read, pairs: read * (2*max(read, all) - read) / 2e6}
}
