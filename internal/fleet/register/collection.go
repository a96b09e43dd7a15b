package register

import (
	"slices"
	"time"

	"pinelb.example/pinelb/internal/fleet/coordination"
	"pinelb.example/pinelb/internal/fleet/replication"
)

const (
	// maxPieceBytes is the size of a piece, by coordination.Change.Size, beyond which no further register is added to it. With the largest
	// register it stays far below the size of a message that a router accepts.
	maxPieceBytes = 512 << 10
	// minCollectInterval is the time without a reply after which a piece is requested again. It doubles up to maxCollectInterval, since a
	// slow link may still be transferring the piece.
	minCollectInterval = 150 * time.Millisecond
	maxCollectInterval = 600 * time.Millisecond
)

// collection is the state of collecting the registers of one former acceptor, piece by piece.
type collection struct {
	after       *coordination.Name // the last name received; nil: nothing was received
	isComplete  bool               // all pieces were received
	ready       bool               // Collected.Ready of the former acceptor
	nextRequest time.Duration      // 0: the next piece was not requested yet
	interval    time.Duration      // until the request is repeated
}

// collectionFrom returns the collection from a former acceptor, which it begins if there is none.
func (a *Acceptor) collectionFrom(former replication.Replica) *collection {
	c := a.collections[former]
	if c == nil {
		c = &collection{interval: minCollectInterval}
		a.collections[former] = c
	}
	return c
}

// isDue reports whether the next piece is to be requested, for the first time or again.
func (c *collection) isDue(now time.Duration) bool {
	return !c.isComplete && now >= c.nextRequest
}

func (c *collection) recordRequest(now time.Duration) {
	c.nextRequest = now + c.interval
	c.interval = min(2*c.interval, maxCollectInterval)
}

// isNext reports whether a piece is the one that was requested, and not a copy of one before it.
func (c *collection) isNext(m *Collected) bool {
	switch {
	case c.isComplete:
		return false
	case m.After == nil || c.after == nil:
		return m.After == nil && c.after == nil
	}
	return *m.After == *c.after
}

// recordPiece records that a piece was merged: the next one is requested at once.
func (c *collection) recordPiece(m *Collected) {
	c.ready = m.Ready
	c.isComplete = !m.More || len(m.Registers) == 0
	if len(m.Registers) > 0 {
		c.after = &m.Registers[len(m.Registers)-1].Name
	}
	c.nextRequest, c.interval = 0, minCollectInterval
}

// piece returns the registers after a name, but for those of decisions, sorted by name, until they have maxBytes, and whether there are more.
func (a *Acceptor) piece(now time.Duration, after *coordination.Name, maxBytes int) (registers []Stored, more bool) {
	var names []coordination.Name
	for name := range a.registers {
		if name.Kind != coordination.KindDecision && (after == nil || compareNames(name, *after) > 0) {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, compareNames)
	registers = []Stored{}
	size := 0
	for _, name := range names {
		if size >= maxBytes {
			return registers, true
		}
		r := a.registers[name]
		stored := Stored{Name: name, Promised: r.promised, Accepted: r.accepted, Change: r.snapshot(now)}
		size += stored.size()
		registers = append(registers, stored)
	}
	return registers, false
}

// SizeOf returns an estimate of the size of encoded registers, in bytes. It is rarely too low.
func SizeOf(registers []Stored) (size int) {
	for i := range registers {
		size += registers[i].size()
	}
	return size
}

// size returns an estimate of the encoded size, in bytes.
func (s *Stored) size() int { return len(s.Name.ID) + storedOverhead + s.Change.Size() }

// storedOverhead is the size of an encoded register without its name and change, in bytes.
const storedOverhead = 64
