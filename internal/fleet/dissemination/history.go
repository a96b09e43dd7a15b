package dissemination

import "slices"

// maxRetainedChanges is how many of the newest changes a router retains, to bring others up to date that are a little behind.
const maxRetainedChanges = 64

// history is the configuration in its encoded form, as other routers fetch it: a run of changes, and a complete document. It may be ahead of
// the configuration in force, so that a router passes on what it has received before it has decoded it. The zero value is empty.
type history struct {
	initialized bool   // base is set
	base        uint64 // sequence before the first of changes
	changes     []Blob // the newest changes

	document         *Blob  // nil: none is encoded
	documentSequence uint64 // of document
}

// last returns the newest sequence that the history leads to; ok is false where it is empty.
func (h *history) last() (sequence uint64, ok bool) {
	return h.base + uint64(len(h.changes)), h.initialized
}

// isNewer reports whether a sequence is newer than what the history leads to.
func (h *history) isNewer(sequence uint64) bool {
	last, ok := h.last()
	return !ok || sequence > last
}

// append adds the change that leads to a sequence; false: it does not follow the last one.
func (h *history) append(sequence uint64, change Blob) bool {
	if last, ok := h.last(); !ok || sequence != last+1 {
		return false
	}
	h.changes = append(h.changes, change)
	return true
}

// restart drops all changes: the history begins after a sequence.
func (h *history) restart(sequence uint64) {
	h.initialized, h.base, h.changes = true, sequence, nil
}

// trim drops the oldest changes beyond maxRetainedChanges, but none after a sequence.
func (h *history) trim(sequence uint64) {
	surplus := len(h.changes) - maxRetainedChanges
	if surplus <= 0 || sequence <= h.base {
		return
	}
	surplus = min(surplus, int(sequence-h.base))
	h.base += uint64(surplus)
	h.changes = slices.Clone(h.changes[surplus:])
}

// since returns the changes after a sequence; false: some of them are not retained.
func (h *history) since(sequence uint64) ([]Blob, bool) {
	last, ok := h.last()
	if !ok || sequence < h.base || sequence > last {
		return nil, false
	}
	return h.changes[sequence-h.base:], true
}

// setDocument retains the complete configuration with a sequence.
func (h *history) setDocument(sequence uint64, document Blob) {
	h.document, h.documentSequence = &document, sequence
}

// complete returns a document and the changes after it; false: none is encoded that the changes follow.
func (h *history) complete() (document *Blob, changes []Blob, ok bool) {
	if h.document == nil {
		return nil, nil, false
	}
	changes, ok = h.since(h.documentSequence)
	return h.document, changes, ok
}

// receive adds what a reply in packed form brings. It reports whether the history leads to a newer sequence now.
func (h *history) receive(reply FetchReply) bool {
	if !h.isNewer(reply.Sequence) {
		return false
	}
	documentSequence := reply.Sequence - min(reply.Sequence, uint64(len(reply.PackedChanges)))
	advanced := false
	if reply.PackedDocument != nil && h.isNewer(documentSequence) {
		h.restart(documentSequence)
		h.setDocument(documentSequence, *reply.PackedDocument)
		advanced = true
	}
	for i, change := range reply.PackedChanges {
		advanced = h.append(documentSequence+1+uint64(i), change) || advanced
	}
	return advanced
}
