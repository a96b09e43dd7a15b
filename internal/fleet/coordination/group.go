package coordination

import (
	"slices"
	"sort"
	"strings"
	"time"
)

// itemOverhead is what a cell or an event takes beside its key and value, in bytes.
const itemOverhead = 48

// group is a group of cells with the events of its last puts.
type group struct {
	options  Options
	revision uint64
	floor    uint64 // the last revision whose event is no longer kept
	cells    map[string]Cell
	events   []timedEvent           // of the revisions after floor, in order
	puts     map[putIdentity]uint64 // the revisions of the events
	bytes    int
}

type timedEvent struct {
	Event
	at time.Duration // or later
}

// putIdentity identifies a put that is repeated: callers never use a value twice.
type putIdentity struct{ key, value string }

func newGroup(options Options) *group {
	return &group{options: options, cells: map[string]Cell{}, puts: map[putIdentity]uint64{}}
}

func (g *group) put(now time.Duration, op *Operation, change *Change) Result {
	if revision, made := g.revisionOf(op.Key, op.Value); made {
		return Result{Outcome: Done, Revision: revision}
	}
	present := g.cells[op.Key].Revision
	if op.IfRevision != nil && *op.IfRevision != present {
		return Result{Outcome: Mismatch, Revision: present}
	}
	g.compact(now)
	if g.bytes+2*itemSize(op.Key, op.Value) > g.options.MaxGroupBytes {
		return Result{Outcome: Full}
	}
	event := Event{Key: op.Key, Value: op.Value, Revision: g.revision + 1}
	g.add(now, event)
	change.Puts = append(change.Puts, event)
	return Result{Outcome: Done, Revision: event.Revision}
}

// revisionOf returns the revision of a put that was made before, as long as its event is kept or its value is the present one.
func (g *group) revisionOf(key, value string) (revision uint64, made bool) {
	if cell, exists := g.cells[key]; exists && cell.Value == value {
		return cell.Revision, true
	}
	revision, made = g.puts[putIdentity{key, value}]
	return revision, made
}

func (g *group) get(key string) Result {
	cell, exists := g.cells[key]
	if !exists {
		return Result{Outcome: Missing}
	}
	return Result{Outcome: Done, Value: cell.Value, Revision: cell.Revision}
}

// eventsSince returns every put after a revision, up to the present one.
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

// add makes a put. Its revision is the one after the present one.
func (g *group) add(now time.Duration, put Event) {
	g.compact(now)
	g.setCell(Cell{Key: put.Key, Value: put.Value, Revision: put.Revision})
	g.addEvent(now, put)
	g.revision = put.Revision
}

func (g *group) setCell(c Cell) {
	if former, exists := g.cells[c.Key]; exists {
		g.bytes -= itemSize(former.Key, former.Value)
	}
	g.cells[c.Key] = c
	g.bytes += itemSize(c.Key, c.Value)
}

func (g *group) addEvent(now time.Duration, e Event) {
	at := now - time.Duration(e.AgeMs)*time.Millisecond
	e.AgeMs = 0
	g.events = append(g.events, timedEvent{Event: e, at: at})
	g.puts[putIdentity{e.Key, e.Value}] = e.Revision
	g.bytes += itemSize(e.Key, e.Value)
}

// compact drops the events that are older than the history.
func (g *group) compact(now time.Duration) {
	old := 0
	for old < len(g.events) && now-g.events[old].at > g.options.History {
		e := &g.events[old]
		delete(g.puts, putIdentity{e.Key, e.Value})
		g.bytes -= itemSize(e.Key, e.Value)
		g.floor = e.Revision
		old++
	}
	if old > 0 {
		g.events = append(make([]timedEvent, 0, len(g.events)-old+1), g.events[old:]...)
	}
}

func (g *group) record(now time.Duration) *GroupRecord {
	r := &GroupRecord{Revision: g.revision, Floor: g.floor}
	for _, cell := range g.cells {
		r.Cells = append(r.Cells, cell)
	}
	slices.SortFunc(r.Cells, func(a, b Cell) int { return strings.Compare(a.Key, b.Key) })
	for _, e := range g.events {
		event := e.Event
		event.AgeMs = max(0, (now - e.at).Milliseconds())
		r.Events = append(r.Events, event)
	}
	return r
}

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

func itemSize(key, value string) int { return len(key) + len(value) + itemOverhead }
