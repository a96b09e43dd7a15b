package budget

import "strconv"

// ReportHeader goes with an answer, up the chain: how many extra attempts it took, here and below. A server sums up what
// its calls say and passes it on with its own answer, also with a failure: beside that it means that the trouble has been
// tried again already, where least had to be done again, and that nobody above need repeat it.
const ReportHeader = "X-Tried-Again"

// AttemptReport is what such a header says. The zero value is that nothing was said.
type AttemptReport struct {
	Known bool
	Extra int
}

// ParseReport reads the header; what is faulty says nothing.
func ParseReport(header string) AttemptReport {
	n, err := strconv.ParseUint(header, 10, 8)
	return AttemptReport{Known: err == nil, Extra: int(n)}
}

// String is the header; "" where there is nothing to say.
func (t AttemptReport) String() string {
	if !t.Known {
		return ""
	}
	return strconv.Itoa(min(t.Extra, 255))
}

// Add is what two of a server's calls come to. Where one has said nothing, nothing is known of both.
func (t AttemptReport) Add(o AttemptReport) AttemptReport {
	return AttemptReport{t.Known && o.Known, t.Extra + o.Extra}
}
