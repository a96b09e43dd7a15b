package coordination

import "strings"

// Kind says what a name stands for. The numbers are part of the protocol and of the files.
type Kind uint8

// The kinds of names.
const (
	KindLock Kind = iota + 1
	KindCounter
	KindGroup    // cells whose keys begin alike up to the first dot; they share one count of revisions
	KindDecision // a value that is set once (package register decides its next acceptors by it)
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

// Name identifies a register.
type Name struct {
	Kind Kind   `cbor:"1,keyasint"`
	ID   string `cbor:"2,keyasint"` // of a group: the keys' common beginning, with its dot
}

func (n Name) String() string { return n.Kind.String() + " " + n.ID }

const groupSeparator = "."

// GroupOf returns the group that a key belongs to: its beginning up to the first dot, dot included. A key without a dot is a group of
// its own.
func GroupOf(key string) string {
	prefix, _, found := strings.Cut(key, groupSeparator)
	if !found {
		return key
	}
	return prefix + groupSeparator
}
