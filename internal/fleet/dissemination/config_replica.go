package dissemination

import (
	"errors"
	"time"

	"pinelb.example/pinelb/internal/fleet/config"
)

// maxRetainedChanges is how many of the newest changes a router retains, to bring others up to date that are a little behind.
const maxRetainedChanges = 64

// ErrNoConfiguration is the error of ServeFetch where this router has received no configuration yet.
var ErrNoConfiguration = errors.New("dissemination: no configuration is held")

// ConfigReplica is a router's replica of the configuration, and the last moment at which it was confirmed to be the newest.
// The zero value is empty. Its methods are not safe for concurrent use.
type ConfigReplica struct {
	Sequence uint64        // number of the last change in Table
	Table    *config.Table // nil: no configuration has been received

	confirmed   bool
	confirmedAt time.Duration
	changes     [][]byte // the newest encoded changes, up to Sequence
}

// ConfirmedAt returns the last moment at which no newer configuration had been acknowledged. ok is false where none is known.
func (c *ConfigReplica) ConfirmedAt() (at time.Duration, ok bool) {
	return c.confirmedAt, c.confirmed && c.Table != nil
}

// Confirm records that the configuration with this sequence was the newest at a moment. It has no effect where this replica
// is older than that.
func (c *ConfigReplica) Confirm(sequence uint64, at time.Duration) {
	if c.Table == nil || c.Sequence < sequence {
		return
	}
	if !c.confirmed || c.confirmedAt < at {
		c.confirmed, c.confirmedAt = true, at
	}
}

// Set replaces the configuration by a newer one. change is the encoded change that led to it from its predecessor; nil: not known.
func (c *ConfigReplica) Set(sequence uint64, table *config.Table, change []byte) {
	if c.Table != nil && sequence <= c.Sequence {
		return
	}
	if change != nil && sequence == c.Sequence+1 {
		c.retain(change)
	} else {
		c.changes = nil
	}
	c.Sequence, c.Table = sequence, table
}

func (c *ConfigReplica) retain(change []byte) {
	c.changes = append(c.changes, change)
	if surplus := len(c.changes) - maxRetainedChanges; surplus > 0 {
		c.changes = append([][]byte(nil), c.changes[surplus:]...)
	}
}

// Apply applies the encoded change with this sequence. It returns false where the change's predecessor is missing, and an
// error where the change can't be decoded or does not fit the configuration.
func (c *ConfigReplica) Apply(sequence uint64, encoded []byte) (bool, error) {
	if c.Table == nil || sequence != c.Sequence+1 {
		return false, nil
	}
	change, err := config.DecodeChange(encoded)
	if err != nil {
		return false, err
	}
	state, err := (&config.State{Document: c.Table.Document}).Apply(change)
	if err != nil {
		return false, err
	}
	table, err := config.NewTable(state.Document, c.Table)
	if err != nil {
		return false, err
	}
	c.Set(sequence, table, encoded)
	return true, nil
}

// ageMs returns the milliseconds since the configuration was last confirmed, rounded up.
func (c *ConfigReplica) ageMs(now time.Duration) (age uint64, confirmed bool) {
	at, confirmed := c.ConfirmedAt()
	if !confirmed {
		return 0, false
	}
	return uint64((now - at + time.Millisecond - 1) / time.Millisecond), true
}

// ServeFetch answers another router's request: with the changes that it lacks where all of them are retained, otherwise with the
// complete configuration. Its error is ErrNoConfiguration.
func (c *ConfigReplica) ServeFetch(now time.Duration, request FetchRequest) (FetchReply, error) {
	if c.Table == nil {
		return FetchReply{}, ErrNoConfiguration
	}
	reply := FetchReply{Sequence: c.Sequence}
	reply.AgeMs, reply.Fresh = c.ageMs(now)
	missing := int(c.Sequence - min(c.Sequence, request.After))
	if request.After > 0 && missing <= len(c.changes) {
		reply.Changes = c.changes[len(c.changes)-missing:]
		return reply, nil
	}
	reply.Document = c.Table.Document.Encode()
	return reply, nil
}

// ApplyReply applies another router's reply to a fetch. It returns whether the configuration changed; the error says why a
// document or change in the reply can't be used.
func (c *ConfigReplica) ApplyReply(reply FetchReply) (bool, error) {
	if c.Table != nil && reply.Sequence <= c.Sequence {
		return false, nil
	}
	if reply.Document != nil {
		return c.replaceDocument(reply.Sequence, reply.Document)
	}
	first := reply.Sequence - uint64(len(reply.Changes)) + 1
	changed := false
	for i, change := range reply.Changes {
		applied, err := c.Apply(first+uint64(i), change)
		if err != nil {
			return changed, err
		}
		changed = changed || applied
	}
	return changed, nil
}

func (c *ConfigReplica) replaceDocument(sequence uint64, encoded []byte) (bool, error) {
	document, err := config.ParseDocument(encoded)
	if err != nil {
		return false, err
	}
	table, err := config.NewTable(document, c.Table)
	if err != nil {
		return false, err
	}
	c.Set(sequence, table, nil)
	return true, nil
}
