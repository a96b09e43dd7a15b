package daemon

import (
	"encoding/json"
	"slices"
	"time"

	"pinelb.example/pinelb/internal/auditlog"
	"pinelb.example/pinelb/internal/cluster"
	"pinelb.example/pinelb/internal/driver"
	"pinelb.example/pinelb/internal/handover"
	"pinelb.example/pinelb/internal/inflight"
)

const (
	maxNotesBytes     = handover.MaxStateBytes * 3 / 4 // of the effects: a state that is too long is not handed over at all
	noteOverheadBytes = 250                            // of a note beside its names, about
	maxBytesPerChar   = 6                              // of a character of a name: JSON may escape it
)

// processState is what a process leaves to the one after it, in a hand-over or in a snapshot. Classes stand by name, for the two
// may number them differently. The JSON names are those of every release, and stay.
type processState struct {
	Classes           []string         `json:"Classes"`
	Table             cluster.Snapshot `json:"Table"`
	Engine            driver.State     `json:"Engine"`
	Effects           *effectState     `json:"Effects"`             // nil: in a snapshot, or of a release that shares none
	AuditLog          []auditlog.Entry `json:"Trail,omitempty"`     // of a process that is audited, in a hand-over
	PublishedSettings []byte           `json:"Published,omitempty"` // a distributor's settings in force, by settingsstore.Encode; in a hand-over
}

// effectState is what a process knows of requests under way and of their effects.
type effectState struct {
	Notes []inflight.Update `json:"Notes"`
}

// peerMessage is a line between two processes of a sidecar: an operator's call that one of them was given, changes of effects,
// or that the sender accepts such.
type peerMessage struct {
	Endpoint     string            `json:"Name"`
	Cordoned     bool              `json:"Out"`
	CalledAt     int64             `json:"At,omitempty"` // when the call was made: nanoseconds by the machine's clock; 0: unknown
	AcceptsNotes bool              `json:"Takes,omitempty"`
	Notes        []inflight.Update `json:"Notes,omitempty"`
}

// adopt applies the state that a process left age ago. From names its source in the table ("former" or "snapshot"). A list that
// has members replaces the state's own.
func (s *succession) adopt(state []byte, from string, age time.Duration, list cluster.List) (processState, error) {
	var h processState
	if err := json.Unmarshal(state, &h); err != nil {
		return h, err
	}
	h.Table.List.From = from
	if len(list.Members) > 0 {
		h.Table.List = list
	}
	s.table.Restore(h.Table)
	if l := h.Engine.Learned; l != nil {
		var newNumbers []int
		names := s.classNames()
		for _, name := range h.Classes {
			newNumbers = append(newNumbers, slices.Index(names, name))
		}
		l.ReorderClasses(newNumbers, len(names))
		l.Age = age
	}
	s.engine.Restore(h.Engine)
	return h, nil
}

// snapshot returns what this process knows, for the disk: without effects, which the journal has.
func (s *succession) snapshot() processState {
	return processState{Classes: s.classNames(), Table: s.table.Snapshot(), Engine: s.engine.State()}
}

// handoverState returns what this process knows, for a successor, as JSON. Changes of effects from here on are queued until the
// successor announces that it accepts such.
func (s *succession) handoverState() ([]byte, error) {
	next := newEffectMirror(s.sendToSuccessor, s.log)
	s.mu.Lock()
	s.successor = next
	s.mu.Unlock()
	notes := s.effects.Subscribe(inflight.Successor, next.enqueue)
	h := s.snapshot()
	h.Effects = &effectState{Notes: newestNotes(notes, maxNotesBytes)}
	if s.encodePublished != nil {
		h.PublishedSettings = s.encodePublished()
	}
	if s.audit != nil {
		h.AuditLog = s.audit.auditLog.Entries()
	}
	return json.Marshal(h)
}

// newestNotes returns the last of the notes, as many as fit into maxBytes. The first ones are over, the oldest first, so that
// they are the least missed.
func newestNotes(notes []inflight.Update, maxBytes int) []inflight.Update {
	for i := len(notes) - 1; i >= 0; i-- {
		n := &notes[i]
		maxBytes -= noteOverheadBytes + maxBytesPerChar*(len(n.Txn)+len(n.Class)+len(n.Key))
		if maxBytes < 0 {
			return notes[i+1:]
		}
	}
	return notes
}
