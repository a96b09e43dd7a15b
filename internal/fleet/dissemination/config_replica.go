package dissemination

import (
	"errors"
	"time"

	"pinelb.example/pinelb/internal/fleet/config"
)

// ErrNoConfiguration is the error of ServeFetch where this router has received no configuration yet.
var ErrNoConfiguration = errors.New("dissemination: no configuration is held")

// ConfigReplica is a router's replica of the configuration, and the last moment at which it was confirmed to be the newest.
// The zero value is empty. Its methods are not safe for concurrent use.
type ConfigReplica struct {
	Sequence uint64        // number of the last change in Table
	Table    *config.Table // the configuration in force; nil: none

	confirmed   confirmation
	unconfirmed confirmation // of a configuration that has been received and is not yet in force
	history     history
}

// confirmation says that the configuration with a sequence was the newest at a moment. The zero value says nothing.
type confirmation struct {
	valid    bool
	sequence uint64
	at       time.Duration
}

// ConfirmedAt returns the last moment at which no newer configuration had been acknowledged. ok is false where none is known.
func (c *ConfigReplica) ConfirmedAt() (at time.Duration, ok bool) {
	return c.confirmed.at, c.confirmed.valid && c.Table != nil
}

// Confirm records that the configuration with this sequence was the newest at a moment. Where this replica is older, that takes effect
// once it is no longer.
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

// Set puts a newer configuration into force. change is the encoded change that led to it from its predecessor; nil: not known.
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

// Received returns the newest sequence that this replica has received, whether in force or not; ok is false where that is none.
func (c *ConfigReplica) Received() (sequence uint64, ok bool) { return c.history.last() }

// ageMs returns the milliseconds since the configuration was last confirmed, rounded up.
func (c *ConfigReplica) ageMs(now time.Duration) (age uint64, confirmed bool) {
	at, confirmed := c.ConfirmedAt()
	if !confirmed {
		return 0, false
	}
	return uint64((now - at + time.Millisecond - 1) / time.Millisecond), true
}

// serveFetch answers another router's request: with the changes that it lacks where all of them are retained, otherwise with the
// complete configuration. Its error is ErrNoConfiguration, or that of a blob.
func (c *ConfigReplica) serveFetch(now time.Duration, request FetchRequest) (FetchReply, error) {
	var reply FetchReply
	reply.AgeMs, reply.Fresh = c.ageMs(now)
	changes, ok := c.history.since(request.After)
	if request.After == 0 || !ok {
		var err error
		if reply.PackedDocument, changes, err = c.completeHistory(); err != nil {
			return FetchReply{}, err
		}
	}
	reply.Sequence, _ = c.history.last()
	reply.PackedChanges = changes
	if request.Packed {
		return reply, nil
	}
	return c.unpack(reply)
}

// completeHistory returns a document and the changes after it. The document is encoded once for all that fetch it.
func (c *ConfigReplica) completeHistory() (*Blob, []Blob, error) {
	if document, changes, ok := c.history.complete(); ok {
		return document, changes, nil
	}
	if c.Table == nil {
		return nil, nil, ErrNoConfiguration
	}
	c.history.setDocument(c.Sequence, newBlob(c.Table.Document.Encode()))
	document, changes, ok := c.history.complete()
	if !ok { // no change after the configuration in force is ever dropped
		return nil, nil, ErrNoConfiguration
	}
	return document, changes, nil
}

// unpack turns a reply into the form of former builds, which know no blobs, and a document only without changes after it.
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
	plain.Sequence, plain.Document = c.Sequence, c.Table.Document.Encode()
	return plain, nil
}
