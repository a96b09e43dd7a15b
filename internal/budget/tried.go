package budget

import "strconv"

// TriedHeader goes with an answer, up the chain: how many extra attempts it took, here and below. A server sums up what
// its calls say and passes it on with its own answer, also with a failure: beside that it means that the trouble has been
// tried again already, where least had to be done again, and that nobody above need repeat it.
const TriedHeader = "X-Tried-Again"

// Tried is what such a header says. The zero value is that nothing was said.
type Tried struct {
	Told  bool
	Extra int
}

// ReadTried reads the header; what is faulty says nothing.
func ReadTried(header string) Tried {
	n, err := strconv.ParseUint(header, 10, 8)
	return Tried{Told: err == nil, Extra: int(n)}
}

// String is the header; "" where there is nothing to say.
func (t Tried) String() string {
	if !t.Told {
		return ""
	}
	return strconv.Itoa(min(t.Extra, 255))
}

// And is what two of a server's calls come to. Where one has said nothing, nothing is known of both.
func (t Tried) And(o Tried) Tried { return Tried{t.Told && o.Told, t.Extra + o.Extra} }
