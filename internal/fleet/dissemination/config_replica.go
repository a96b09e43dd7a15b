package dissemination

import (
	"errors"
	"time"

	"pinelb.example/pinelb/internal/fleet/config"
)

// ErrNoConfiguration is the error of ServeFetch if this router has no configuration that it can send: it has received none yet, a failed
// Build has emptied its history, or the request is not Packed and no configuration is active.
var ErrNoConfiguration = errors.New("dissemination: no configuration is held")

// ConfigReplica is a router's replica of the configuration, with the last time at which it was confirmed to be the newest.
// The zero value is an empty replica. Its methods are not safe for concurrent use.
type ConfigReplica struct {
	Sequence uint64        // of the last change in Table
	Table    *config.Table // the active configuration; nil: none

	confirmed   confirmation
	unconfirmed confirmation // of a configuration newer than the active one
	history     history
}

// confirmation records that the configuration with a sequence was the newest at a time. The zero value is no confirmation.
type confirmation struct {
	valid    bool
	sequence uint64
	at       time.Duration
}

// ConfirmedAt returns the last known time at which no configuration newer than the active one had been acknowledged; ok is false if no
// such time is known.
func (c *ConfigReplica) ConfirmedAt() (at time.Duration, ok bool) {
	return c.confirmed.at, c.confirmed.valid && c.Table != nil
}

// Confirm records that the configuration with a sequence was the newest at a time. If the active configuration is older, the
// confirmation takes effect when the confirmed configuration or a newer one becomes active.
func (c *ConfigReplica) Confirm(sequence uint64, at time.Duration) {
	if c.Table == nil || c.Sequence < sequence {
		if !c.unconfirmed.valid || c.unconfirmed.at < at {
			c.unconfirmed = confirmation{valid: true, sequence: sequence, at: at}
		}
		return
	}
	if !c.confirmed.valid || c.confirmed.at < at {
		c.confirmed = confirmation{valid: true, sequence: sequence, at: at}
	}
}

// Set activates a configuration if it is newer. change is the encoded change from the previous configuration; nil: not known.
func (c *ConfigReplica) Set(sequence uint64, table *config.Table, change []byte) {
	if c.Table != nil && sequence <= c.Sequence {
		return
	}
	if change == nil || !c.history.append(sequence, newBlob(change)) {
		if c.history.isNewer(sequence) {
			c.history.restart(sequence)
		}
	}
	c.install(sequence, table)
}

func (c *ConfigReplica) install(sequence uint64, table *config.Table) {
	c.Sequence, c.Table = sequence, table
	c.history.trim(sequence)
	if c.unconfirmed.valid && c.unconfirmed.sequence <= sequence {
		pending := c.unconfirmed
		c.unconfirmed = confirmation{}
		c.Confirm(pending.sequence, pending.at)
	}
}

// Received returns the newest sequence that this replica has received, active or not; ok is false if its history is empty.
func (c *ConfigReplica) Received() (sequence uint64, ok bool) { return c.history.last() }

// ageMs returns the milliseconds since the last confirmation, rounded up; confirmed is false if there is none.
func (c *ConfigReplica) ageMs(now time.Duration) (age uint64, confirmed bool) {
	at, confirmed := c.ConfirmedAt()
	if !confirmed {
		return 0, false
	}
	return uint64((now - at + time.Millisecond - 1) / time.Millisecond), true
}

// serveFetch answers another router's request with the changes after the requested sequence if all of them are retained, otherwise with
// the complete configuration. Its error is ErrNoConfiguration or wraps ErrBlob.
func (c *ConfigReplica) serveFetch(now time.Duration, request FetchRequest) (FetchReply, error) {
	var reply FetchReply
	reply.AgeMs, reply.Fresh = c.ageMs(now)
	changes, ok := c.history.since(request.After)
	if request.After == 0 || !ok {
		var err error
		if reply.PackedDocument, changes, err = c.completeHistory(); err != nil {
			return FetchReply{}, err
		}
		reply.KeyPolicy = c.history.keyPolicy
	}
	reply.Sequence, _ = c.history.last()
	reply.PackedChanges = changes
	if request.Packed {
		return reply, nil
	}
	return c.unpack(reply)
}

// completeHistory returns a document and the changes after it. The document is encoded once and then
// sent to all routers that fetch it, until the history no longer retains the changes after it.
func (c *ConfigReplica) completeHistory() (*Blob, []Blob, error) {
	if document, changes, ok := c.history.complete(); ok {
		return document, changes, nil
	}
	if c.Table == nil {
		return nil, nil, ErrNoConfiguration
	}
	c.history.setDocument(c.Sequence, newBlob(c.Table.Document.Encode()), c.Table.Document.KeyPolicy())
	document, changes, ok := c.history.complete()
	if !ok { // a failed Build has emptied the history; trim drops no change after the active configuration
		return nil, nil, ErrNoConfiguration
	}
	return document, changes, nil
}

// unpack converts a reply to the form for earlier builds. They don't support blobs, and accept either changes or a document without
// changes after it.
func (c *ConfigReplica) unpack(reply FetchReply) (FetchReply, error) {
	changes, err := inflateAll(reply.PackedChanges)
	if err != nil {
		return FetchReply{}, err
	}
	plain := FetchReply{Sequence: reply.Sequence, Fresh: reply.Fresh, AgeMs: reply.AgeMs}
	if reply.PackedDocument == nil {
		plain.Changes = changes
		return plain, nil
	}
	if c.Table == nil {
		return FetchReply{}, ErrNoConfiguration
	}
	plain.Sequence, plain.Document, plain.KeyPolicy = c.Sequence, c.Table.Document.Encode(), c.Table.Document.KeyPolicy()
	return plain, nil
}
