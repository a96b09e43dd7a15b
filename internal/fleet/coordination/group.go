package coordination

import (
	"slices"
	"sort"
	"strings"
	"time"
)

// itemOverhead is the size of a cell or an event without its key and value, in bytes.
const itemOverhead = 48

// group is the state of a group of cells, with the events of its recent puts.
type group struct {
	options  Options
	revision uint64
	floor    uint64 // the last revision whose event has been dropped; 0: none
	cells    map[string]Cell
	events   []timedEvent           // of the revisions after floor, in ascending order
	puts     map[putIdentity]uint64 // the revision of each event
	size     int                    // of all cells and events, in bytes; see itemSize
}

// timedEvent is an event with a time on the local clock.
type timedEvent struct {
	Event
	putAt time.Duration // upper bound of the time of the put, as Event.AgeMs is a lower bound
}

// putIdentity identifies a put and its repetitions: callers use each value only once for a key.
type putIdentity struct{ key, value string }

func newGroup(options Options) *group {
	return &group{options: options, cells: map[string]Cell{}, puts: map[putIdentity]uint64{}}
}

// put sets the value of a key and appends the put to change. A repetition of a put whose revision is still known changes nothing.
func (g *group) put(now time.Duration, op *Operation, change *Change) Result {
	if revision, exists := g.revisionOf(op.Key, op.Value); exists {
		return Result{Outcome: Done, Revision: revision}
	}
	current := g.cells[op.Key].Revision
	if op.IfRevision != nil && *op.IfRevision != current {
		return Result{Outcome: Mismatch, Revision: current}
	}
	g.compact(now)
	if g.size+2*itemSize(op.Key, op.Value) > g.options.MaxGroupBytes || !g.options.hasRoom() {
		return Result{Outcome: Full}
	}
	event := Event{Key: op.Key, Value: op.Value, Revision: g.revision + 1}
	g.add(now, event)
	change.Puts = append(change.Puts, event)
	return Result{Outcome: Done, Revision: event.Revision}
}

// revisionOf returns the revision of an earlier put, if its event is still kept or its value is the current one.
func (g *group) revisionOf(key, value string) (revision uint64, exists bool) {
	if cell, isSet := g.cells[key]; isSet && cell.Value == value {
		return cell.Revision, true
	}
	revision, exists = g.puts[putIdentity{key, value}]
	return revision, exists
}

func (g *group) get(key string) Result {
	cell, exists := g.cells[key]
	if !exists {
		return Result{Outcome: Missing}
	}
	return Result{Outcome: Done, Value: cell.Value, Revision: cell.Revision}
}

// eventsSince returns every put after the revision since, up to the current revision. With since 0 it returns the current revision only.
func (g *group) eventsSince(since uint64) Result {
	switch {
	case since == 0:
		return Result{Outcome: Done, Revision: g.revision}
	case since < g.floor:
		return Result{Outcome: Compacted}
	case since >= g.revision:
		return Result{Outcome: Pending, Revision: g.revision}
	}
	result := Result{Outcome: Done, Revision: g.revision}
	first := sort.Search(len(g.events), func(i int) bool { return g.events[i].Revision > since })
	for _, e := range g.events[first:] {
		result.Events = append(result.Events, e.Event)
	}
	return result
}

// add applies a put, whose revision is the successor of the current one.
func (g *group) add(now time.Duration, put Event) {
	g.compact(now)
	g.setCell(Cell{Key: put.Key, Value: put.Value, Revision: put.Revision})
	g.addEvent(now, put)
	g.revision = put.Revision
}

func (g *group) setCell(c Cell) {
	if previous, exists := g.cells[c.Key]; exists {
		g.size -= itemSize(previous.Key, previous.Value)
	}
	g.cells[c.Key] = c
	g.size += itemSize(c.Key, c.Value)
}

func (g *group) addEvent(now time.Duration, e Event) {
	putAt := now - time.Duration(e.AgeMs)*time.Millisecond
	e.AgeMs = 0
	g.events = append(g.events, timedEvent{Event: e, putAt: putAt})
	g.puts[putIdentity{e.Key, e.Value}] = e.Revision
	g.size += itemSize(e.Key, e.Value)
}

// compact drops the events that are older than Options.History.
func (g *group) compact(now time.Duration) {
	expired := 0
	for expired < len(g.events) && now-g.events[expired].putAt > g.options.History {
		e := &g.events[expired]
		delete(g.puts, putIdentity{e.Key, e.Value})
		g.size -= itemSize(e.Key, e.Value)
		g.floor = e.Revision
		expired++
	}
	if expired > 0 {
		g.events = append(make([]timedEvent, 0, len(g.events)-expired+1), g.events[expired:]...)
	}
}

// record returns the encoded form of the group, with the ages of its events at the time now.
func (g *group) record(now time.Duration) *GroupRecord {
	r := &GroupRecord{Revision: g.revision, Floor: g.floor}
	for _, cell := range g.cells {
		r.Cells = append(r.Cells, cell)
	}
	slices.SortFunc(r.Cells, func(a, b Cell) int { return strings.Compare(a.Key, b.Key) })
	for _, e := range g.events {
		event := e.Event
		event.AgeMs = max(0, (now - e.putAt).Milliseconds())
		r.Events = append(r.Events, event)
	}
	return r
}

// restore replaces the group by a recorded one.
func (g *group) restore(now time.Duration, r *GroupRecord) {
	*g = *newGroup(g.options)
	g.revision, g.floor = r.Revision, r.Floor
	for _, cell := range r.Cells {
		g.setCell(cell)
	}
	for _, e := range r.Events {
		g.addEvent(now, e)
	}
}

// itemSize returns the size of a cell or an event that counts towards Options.MaxGroupBytes.
func itemSize(key, value string) int { return len(key) + len(value) + itemOverhead }
