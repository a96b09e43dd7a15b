package placement

import "time"

// Prompt is what a call has an endpoint read and write. Parts are shared prefixes from the longest to the shortest.
type Prompt struct {
	Units       float64 // tokens to read, or 1 where nothing is told
	Output      float64 // tokens that may be written; 0 where nothing is told
	Prefixes    []Prefix
	Priority    int           // 0: the most urgent
	MaxEventGap time.Duration // longest pause between events with which the answer is in time; 0: no bound
}

// Prefix is a shared beginning of prompts.
type Prefix struct {
	Hash  uint32
	Units float64 // from the prompt's beginning
}

// unitsPerOutputToken is how many units of a prompt a token of output counts for in a call's size (RULES, Worth).
const unitsPerOutputToken = 10

// size is what a call is worth beside others of its kind, in units.
func (p *Prompt) weightUnits() float64 { return p.Units + unitsPerOutputToken*p.Output }

// own is how many units are in no shared part.
func (p *Prompt) unsharedUnits() float64 {
	if len(p.Prefixes) == 0 {
		return p.Units
	}
	return max(1, p.Units-p.Prefixes[0].Units)
}

// work is what an endpoint does to read a prompt, or several: attention is computed between each token that is read and
// all before it, so that a prompt's time grows faster than its length.
type work struct {
	units float64 // tokens that are read
	pairs float64 // millions of pairs of a token that is read and one before it
}

// workOf is the reading of the last units of a prompt of a length in all.
func workOf(read, all float64) work {
	return work{units: read, pairs: read * (2*max(read, all) - read) / 2e6}
}
