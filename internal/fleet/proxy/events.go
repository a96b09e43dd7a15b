package proxy

import "bytes"

// eventSplitter separates server-sent events, so that only complete ones are passed on and their ids are known.
type eventSplitter struct{ partial []byte }

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

func (e *eventSplitter) reset() { e.partial = e.partial[:0] }

// empty reports whether no part of an event is left over.
func (e *eventSplitter) empty() bool { return len(e.partial) == 0 }

// complete returns the events that are complete with a piece, and sets lastID to the id of the last one that has one.
func (e *eventSplitter) complete(piece []byte, lastID *string) []byte {
	e.partial = append(e.partial, piece...)
	end := bytes.LastIndex(e.partial, eventEnd)
	if end < 0 {
		return nil
	}
	end += len(eventEnd)
	events := bytes.Clone(e.partial[:end])
	e.partial = append(e.partial[:0], e.partial[end:]...)
	if id, found := lastEventID(events); found {
		*lastID = id
	}
	return events
}

// lastEventID returns the id of the last event that has one.
func lastEventID(events []byte) (id string, found bool) {
	for len(events) > 0 {
		start := bytes.LastIndexByte(events[:len(events)-1], '\n') + 1
		line := bytes.TrimRight(events[start:], "\r\n")
		if value, isID := bytes.CutPrefix(line, idField); isID {
			return string(bytes.TrimSpace(value)), true
		}
		events = events[:start]
	}
	return "", false
}
