package dissemination

import (
	"fmt"

	"pinelb.example/pinelb/internal/fleet/config"
)

// maxInlineBuildBytes is the maximum size of a build that runs within the current step. Decoding a larger one would delay the
// following steps, so the caller runs it concurrently with them.
const maxInlineBuildBytes = 16 << 10

// Build decodes received changes or a received document into a configuration that can be activated. It is immutable.
type Build struct {
	sequence  uint64           // of the configuration that it results in
	previous  *config.Table    // the active configuration; nil: none
	document  *Blob            // the changes are applied to it; nil: they are applied to the document of previous
	keyPolicy config.KeyPolicy // of document
	changes   []Blob
}

// pendingBuild returns the build of the newest configuration received; nil: it is already active, or nothing was received.
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
	return &Build{sequence: last, previous: c.Table, document: document, keyPolicy: c.history.keyPolicy, changes: changes}
}

// Size returns the inflated length, in bytes, of everything that Table decodes.
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

// Urgent reports whether the router has no active configuration yet, so that the build should run without pauses.
func (b *Build) Urgent() bool { return b.previous == nil }

// Table decodes the configuration. It may run on any goroutine; pace may be nil. It returns an error if a received blob can't be
// inflated, decoded or applied.
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
	return config.ParseDocumentAfter(b.keyPolicy, text, pace)
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
