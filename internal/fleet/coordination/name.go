package coordination

import "strings"

// Kind is the type of the state that a name identifies. The numbers are part of the wire protocol and of the format on disk.
type Kind uint8

// The kinds of names.
const (
	KindLock Kind = iota + 1
	KindCounter
	KindGroup    // cells whose keys have the same prefix up to the first dot; they share one sequence of revisions
	KindDecision // a value that is set once (package register uses it to choose the next set of acceptors)
)

func (k Kind) String() string {
	switch k {
	case KindLock:
		return "lock"
	case KindCounter:
		return "counter"
	case KindGroup:
		return "group"
	case KindDecision:
		return "decision"
	}
	return "unknown"
}

// Name identifies a register, which holds one State.
type Name struct {
	Kind Kind   `cbor:"1,keyasint"`
	ID   string `cbor:"2,keyasint"` // of a group: the common prefix of its keys, see GroupOf
}

func (n Name) String() string { return n.Kind.String() + " " + n.ID }

const groupSeparator = "."

// GroupOf returns the group that a key belongs to: the prefix of the key up to and including the first dot. A key without a dot is a group
// of its own.
func GroupOf(key string) string {
	prefix, _, found := strings.Cut(key, groupSeparator)
	if !found {
		return key
	}
	return prefix + groupSeparator
}
