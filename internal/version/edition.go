package version

import "fmt"

// MaxEpoch is the highest epoch. JSON readers disagree about integers beyond it (RFC 8259, section 6).
const MaxEpoch = 1<<53 - 1

// Edition identifies what is published under one name, everywhere and for ever. Of two, the one with the lower epoch is
// replaced, and of two with one epoch the one whose publisher's name sorts first. The zero edition is none, and less than every
// other.
type Edition struct {
	Epoch uint64 `json:"epoch"`
	By    string `json:"by"` // who published it
}

// Compare returns a number below 0 where e is less than o, 0 where they are equal, and above 0 where e is greater.
func (e Edition) Compare(o Edition) int { return compare(e.Epoch, e.By, o.Epoch, o.By) }

// None reports whether e is the zero edition.
func (e Edition) None() bool { return e == Edition{} }

// String returns the edition as logs and tables show it.
func (e Edition) String() string {
	if e.None() {
		return "none"
	}
	return fmt.Sprintf("%d by %s", e.Epoch, e.By)
}
