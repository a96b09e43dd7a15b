package proxy

import "bytes"

// eventSplitter splits a stream of server-sent events, so that only complete events are relayed and the id of the last relayed
// event is known.
type eventSplitter struct{ partial []byte }

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

func (e *eventSplitter) reset() { e.partial = e.partial[:0] }

// empty reports whether no incomplete event is buffered.
func (e *eventSplitter) empty() bool { return len(e.partial) == 0 }

// complete adds a piece of the stream and returns the events that are complete now. If any of them has an id, it sets lastID to
// the last of these ids.
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
