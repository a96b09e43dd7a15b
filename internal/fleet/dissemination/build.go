package dissemination

import (
	"fmt"

	"pinelb.example/pinelb/internal/fleet/config"
)

// maxInlineBuildBytes is the size of changes up to which they are put into force at once. Larger ones take so long to decode that the
// caller does it beside the next steps.
const maxInlineBuildBytes = 16 << 10

// Build is the work of decoding what has been received, so that it can be put into force. It is immutable.
type Build struct {
	sequence uint64        // that it leads to
	previous *config.Table // nil: there is none
	document *Blob         // replaces that of previous; nil: the changes follow on previous
	changes  []Blob
}

// pendingBuild returns the work that remains until all that has been received is in force; nil: none.
func (c *ConfigReplica) pendingBuild() *Build {
	last, ok := c.history.last()
	if !ok || c.Table != nil && c.Sequence >= last {
		return nil
	}
	if c.Table != nil {
		if changes, ok := c.history.since(c.Sequence); ok {
			return &Build{sequence: last, previous: c.Table, changes: changes}
		}
	}
	document, changes, ok := c.history.complete()
	if !ok {
		return nil
	}
	return &Build{sequence: last, previous: c.Table, document: document, changes: changes}
}

// Size is the length of all that has to be decoded.
func (b *Build) Size() int {
	size := 0
	if b.document != nil {
		size = b.document.inflatedSize()
	}
	for _, change := range b.changes {
		size += change.inflatedSize()
	}
	return size
}

// Urgent reports whether the router has no configuration yet, so that nothing else matters more.
func (b *Build) Urgent() bool { return b.previous == nil }

// Table decodes the configuration. It may run on any goroutine; pace may be nil. An error says why something that was received can't be
// used.
func (b *Build) Table(pace config.Pace) (*config.Table, error) {
	document, err := b.baseDocument(pace)
	if err != nil {
		return nil, err
	}
	state := &config.State{Document: document}
	for _, blob := range b.changes {
		if state, err = applyBlob(state, blob, pace); err != nil {
			return nil, err
		}
	}
	return config.NewTablePaced(state.Document, b.previous, pace)
}

func (b *Build) baseDocument(pace config.Pace) (*config.Document, error) {
	if b.document == nil {
		return b.previous.Document, nil
	}
	text, err := b.document.inflate()
	if err != nil {
		return nil, err
	}
	return config.ParseDocumentPaced(text, pace)
}

func applyBlob(state *config.State, blob Blob, pace config.Pace) (*config.State, error) {
	text, err := blob.inflate()
	if err != nil {
		return nil, err
	}
	change, err := config.DecodeChange(text)
	if err != nil {
		return nil, fmt.Errorf("dissemination: %w", err)
	}
	return state.ApplyPaced(change, pace)
}
