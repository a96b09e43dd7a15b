package version

import "fmt"

// MaxEpoch is the highest epoch that there may be.
const MaxEpoch = maxEpoch

// Edition tells apart what is published under one name, anywhere and for ever: of two the one of the lower epoch loses, and of
// two of one epoch the one whose publisher's name comes first. The zero edition is none, and loses to every other.
type Edition struct {
	Epoch uint64 `json:"epoch"`
	By    string `json:"by"` // who published it
}

// Compare is below 0 where e loses to o, 0 where they are one, and above 0 where e wins.
func (e Edition) Compare(o Edition) int { return compare(e.Epoch, e.By, o.Epoch, o.By) }

// None tells whether it is no edition.
func (e Edition) None() bool { return e == Edition{} }

// String is the edition as logs and tables have it.
func (e Edition) String() string {
	if e.None() {
		return "none"
	}
	return fmt.Sprintf("%d by %s", e.Epoch, e.By)
}
