package register

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"pinelb.example/pinelb/internal/fleet/coordination"
	"pinelb.example/pinelb/internal/fleet/replication"
)

// measuredSize returns the size of all registers, counted anew.
func (a *Acceptor) measuredSize() (size int) {
	for name, r := range a.registers {
		size += len(name.ID) + storedOverhead + r.state.Size()
	}
	return size
}

// Guards against a count of the registers' size that drifts from what is stored.
func TestSizeOfAcceptorIsExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		self := replication.Replica{Address: "a:1"}
		a := NewAcceptor(0, InitialHardState(self.Address, 0, []string{self.Address}), nil, testOptions)
		now := time.Duration(0)
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 20).Draw(t, "seconds")) * time.Second
			name := coordination.Name{Kind: coordination.KindGroup, ID: fmt.Sprintf("g%d.", rapid.IntRange(0, 3).Draw(t, "group"))}
			change := &coordination.Change{}
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				a.Tick(now)
				continue
			case 1:
				name.Kind = coordination.KindLock
				change.Lock = &coordination.LockRecord{Fence: uint64(step), Holder: strings.Repeat("h", rapid.IntRange(0, 9).Draw(t, "holder"))}
			default:
				value := strings.Repeat("v", rapid.IntRange(0, 99).Draw(t, "value"))
				change.Group = &coordination.GroupRecord{Revision: 1, Cells: []coordination.Cell{{Key: name.ID + "k", Value: value, Revision: 1}},
					Events: []coordination.Event{{Key: name.ID + "k", Value: value, Revision: 1}}}
			}
			a.Receive(now, self, &Request{Epoch: 1, Accepts: []Accept{{
				Name: name, Version: Version{Ballot: Ballot{Epoch: 1, Round: uint64(step + 1)}, Sequence: 1}, Change: change,
			}}})
			if a.Size() != a.measuredSize() {
				t.Fatalf("size %d, %d are stored", a.Size(), a.measuredSize())
			}
		}
		snapshot := a.Snapshot(now)
		restored := NewAcceptor(now, a.HardState(), [][]Stored{snapshot}, testOptions)
		if restored.Size() != restored.measuredSize() {
			t.Fatalf("size %d after a restart, %d are stored", restored.Size(), restored.measuredSize())
		}
	})
}

func TestSizeEstimateOfEncodedRegisters(t *testing.T) {
	Convey("The estimate is not much below the encoded size", t, func() {
		var registers []Stored
		for i := range 40 {
			value := strings.Repeat("v", 40*i)
			registers = append(registers, Stored{
				Name: coordination.Name{Kind: coordination.KindGroup, ID: fmt.Sprintf("g%d.", i)}, Promised: Ballot{Epoch: 1 << 40, Round: 1 << 40, Proposer: 1 << 60},
				Accepted: Version{Ballot: Ballot{Epoch: 1 << 40, Round: 1 << 40, Proposer: 1 << 60}, Sequence: 1 << 40},
				Change: &coordination.Change{Group: &coordination.GroupRecord{
					Cells:  []coordination.Cell{{Key: "g.k", Value: value, Revision: 1 << 40}},
					Events: []coordination.Event{{Key: "g.k", Value: value, Revision: 1 << 40, AgeMs: 9999}},
				}},
			})
		}
		So(SizeOf(registers), ShouldBeGreaterThan, len(encode(registers))*95/100)
	})
}
