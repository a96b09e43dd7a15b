package decision

// Outcome counts what became of the calls of one class.
type Outcome struct {
	Class        string
	Calls        int
	Impossible   int     // late, and late even alone on an engine with all shared parts cached
	LateFirst    int     // the first token came late for another reason
	Stalled      int     // an interval between events was too long
	MissedTokens float64 // tokens of shared parts that were not cached, first uses included
}

// Late returns the share of calls that are late, 0 to 1.
func (o *Outcome) Late() float64 {
	return float64(o.Impossible+o.LateFirst+o.Stalled) / float64(max(1, o.Calls))
}

// outcomes counts what became of the calls of each class.
func (w *simulation) outcomes(classes []*Class, calls []*call) []Outcome {
	var outcomes []Outcome
	for _, class := range classes {
		outcome := Outcome{Class: class.Name}
		for _, c := range calls {
			if c.class != class {
				continue
			}
			outcome.Calls++
			outcome.MissedTokens += c.missedTokens
			shared := c.prompt - c.parts[len(c.parts)-1].tokens
			target := class.TargetMs * millisecond
			network := 2*clientDelay + 2*endpointDelay
			switch {
			case w.engineSpec.minFirstTokenTime(c.prompt, shared)+network > target:
				outcome.Impossible++
			case c.firstAt-c.sentAt+clientDelay+endpointDelay > target:
				outcome.LateFirst++
			case c.maxStall > class.Stream.MaxGapMs*millisecond:
				outcome.Stalled++
			}
		}
		outcomes = append(outcomes, outcome)
	}
	return outcomes
}
