package placement

import "time"

// Prompt describes the tokens that an endpoint reads and writes for a call.
type Prompt struct {
	Units       float64       // tokens to read; 1 where the request does not state them
	Output      float64       // maximum number of tokens to write; 0 where the request does not state it
	Prefixes    []Prefix      // shared with other prompts, the longest first
	Priority    int           // 0 is the most urgent
	MaxEventGap time.Duration // a stream with a longer gap between two events counts as late; 0: no bound
}

// Prefix is a beginning that a prompt shares with other prompts.
type Prefix struct {
	Hash  uint32  // of its text, the same on all routers
	Units float64 // length, from the prompt's beginning
}

// weightUnits returns the weight of a call, in units, for comparison with other calls of its priority.
func (p *Prompt) weightUnits() float64 { return p.Units + unitsPerOutputToken*p.Output }

// unsharedUnits returns the number of units that are in no shared prefix, at least 1.
func (p *Prompt) unsharedUnits() float64 {
	if len(p.Prefixes) == 0 {
		return p.Units
	}
	return max(1, p.Units-p.Prefixes[0].Units)
}

// priorityClass limits a priority to the levels of the Priority header.
func priorityClass(priority int) int { return min(max(priority, 0), priorityLevels-1) }

// work is the amount of computation of a prefill. Attention is computed between each token that is read and all tokens
// before it, so the time grows faster than the length.
type work struct {
	units float64 // tokens that are read
	pairs float64 // millions of pairs of a token that is read and one before it
}

// workOf returns the work of prefilling the last prefilled units of a prompt of total units.
func workOf(prefilled, total float64) work {
	return work{units: prefilled, pairs: prefilled * (2*max(prefilled, total) - prefilled) / 2e6}
}
