package dissemination

import (
	"slices"

	"pinelb.example/pinelb/internal/fleet/config"
)

// maxRetainedChanges is how many recent changes a router retains, so that a router slightly behind can fetch only what it lacks.
const maxRetainedChanges = 64

// history is the encoded configuration that other routers fetch: consecutive changes, and a complete document. It may be newer than the
// active configuration, so that a router can serve a configuration that it has not yet decoded. The zero value is empty.
type history struct {
	initialized bool   // base is set
	base        uint64 // sequence before that of the first change
	changes     []Blob // with the sequences from base+1

	document         *Blob            // complete configuration; nil: not encoded yet
	documentSequence uint64           // of document
	keyPolicy        config.KeyPolicy // of document
}

// last returns the newest sequence in the history; ok is false if the history is empty.
func (h *history) last() (sequence uint64, ok bool) {
	return h.base + uint64(len(h.changes)), h.initialized
}

// isNewer reports whether a sequence is newer than the history.
func (h *history) isNewer(sequence uint64) bool {
	last, ok := h.last()
	return !ok || sequence > last
}

// append adds the change with a sequence. It returns false, and adds nothing, if the sequence does not follow the last one.
func (h *history) append(sequence uint64, change Blob) bool {
	if last, ok := h.last(); !ok || sequence != last+1 {
		return false
	}
	h.changes = append(h.changes, change)
	return true
}

// restart drops all changes and makes a sequence the new base.
func (h *history) restart(sequence uint64) {
	h.initialized, h.base, h.changes = true, sequence, nil
}

// trim drops the oldest changes beyond maxRetainedChanges, but never a change newer than sequence.
func (h *history) trim(sequence uint64) {
	surplus := len(h.changes) - maxRetainedChanges
	if surplus <= 0 || sequence <= h.base {
		return
	}
	surplus = min(surplus, int(sequence-h.base))
	h.base += uint64(surplus)
	h.changes = slices.Clone(h.changes[surplus:])
}

// since returns the changes after a sequence. It returns false if some of them are not retained or the sequence is newer than the last.
func (h *history) since(sequence uint64) ([]Blob, bool) {
	last, ok := h.last()
	if !ok || sequence < h.base || sequence > last {
		return nil, false
	}
	return h.changes[sequence-h.base:], true
}

// setDocument stores the encoded complete configuration with a sequence, and its key policy.
func (h *history) setDocument(sequence uint64, document Blob, keyPolicy config.KeyPolicy) {
	h.document, h.documentSequence, h.keyPolicy = &document, sequence, keyPolicy
}

// complete returns the document and the changes after it; ok is false if there is no document or some of those changes are not retained.
func (h *history) complete() (document *Blob, changes []Blob, ok bool) {
	if h.document == nil {
		return nil, nil, false
	}
	changes, ok = h.since(h.documentSequence)
	return h.document, changes, ok
}

// receive adds the document and the changes of a reply in packed form. It reports whether the last sequence of the history increased.
func (h *history) receive(reply FetchReply) bool {
	if !h.isNewer(reply.Sequence) {
		return false
	}
	documentSequence := reply.Sequence - min(reply.Sequence, uint64(len(reply.PackedChanges)))
	advanced := false
	if reply.PackedDocument != nil && h.isNewer(documentSequence) {
		h.restart(documentSequence)
		h.setDocument(documentSequence, *reply.PackedDocument, reply.KeyPolicy)
		advanced = true
	}
	for i, change := range reply.PackedChanges {
		advanced = h.append(documentSequence+1+uint64(i), change) || advanced
	}
	return advanced
}
