package proxy

import "bytes"

// eventSplitter divides a stream of events, so that only whole ones are passed on and their ids are known.
type eventSplitter struct{ partial []byte }

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

func (e *eventSplitter) reset() { e.partial = e.partial[:0] }

func (e *eventSplitter) empty() bool { return len(e.partial) == 0 }

// whole returns the events that are whole with this piece, and sets last to the id of the last of them.
func (e *eventSplitter) complete(piece []byte, last *string) []byte {
	e.partial = append(e.partial, piece...)
	end := bytes.LastIndex(e.partial, eventEnd)
	if end < 0 {
		return nil
	}
	end += len(eventEnd)
	events := bytes.Clone(e.partial[:end])
	e.partial = append(e.partial[:0], e.partial[end:]...)
	if id, found := lastID(events); found {
		*last = id
	}
	return events
}

// lastEventID is the id of the last event that has one.
func lastID(events []byte) (string, bool) {
	for len(events) > 0 {
		start := bytes.LastIndexByte(events[:len(events)-1], '\n') + 1
		line := bytes.TrimRight(events[start:], "\r\n")
		if value, found := bytes.CutPrefix(line, idField); found {
			return string(bytes.TrimSpace(value)), true
		}
		events = events[:start]
	}
	return "", false
}
