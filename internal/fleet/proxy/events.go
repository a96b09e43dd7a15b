package proxy

import "bytes"

// eventSplitter splits a stream of server-sent events, so that only complete events are relayed and the id of the last relayed
// event is known. Lines end with CRLF, LF or CR, and an event with an empty line (HTML standard, section 9.2.6).
type eventSplitter struct{ partial []byte }

const byteOrderMark = "\uFEFF" // may precede the first line

var idField = []byte("id:")

func (e *eventSplitter) reset() { e.partial = e.partial[:0] }

// empty reports whether no incomplete event is buffered.
func (e *eventSplitter) empty() bool { return len(e.partial) == 0 }

// size returns the bytes that the splitter holds, and a copy of the events that it is about to return.
func (e *eventSplitter) size() int64 { return 2 * int64(cap(e.partial)) }

// exceeds reports whether the incomplete event is larger than a number of bytes.
func (e *eventSplitter) exceeds(size int) bool { return len(e.partial) > size }

// take returns the incomplete event, and forgets it.
func (e *eventSplitter) take() []byte {
	partial := e.partial
	e.partial = nil
	return partial
}

// complete adds a piece of the stream and returns the events that are complete now. If any of them has an id, it sets lastID to
// the last of these ids.
func (e *eventSplitter) complete(piece []byte, lastID *string) []byte {
	e.partial = append(e.partial, piece...)
	end := lastEventEnd(e.partial)
	if end == 0 {
		return nil
	}
	events := bytes.Clone(e.partial[:end])
	e.partial = append(e.partial[:0], e.partial[end:]...)
	if id, found := lastEventID(events); found {
		*lastID = id
	}
	return events
}

// lastEventEnd returns the index after the last empty line; 0: there is none. A line feed at the beginning, which may be the second half of a
// CRLF whose first half ended the event before, counts as an empty line: passing it on changes no event.
func lastEventEnd(stream []byte) (end int) {
	for lineStart := 0; ; {
		length := bytes.IndexAny(stream[lineStart:], "\r\n")
		if length < 0 {
			return end
		}
		next := lineStart + length + 1
		if stream[next-1] == '\r' && next < len(stream) && stream[next] == '\n' {
			next++
		}
		if length == 0 {
			end = next
		}
		lineStart = next
	}
}

// lastEventID returns the id of the last event that has one.
func lastEventID(events []byte) (id string, found bool) {
	for len(events) > 0 {
		start := bytes.LastIndexAny(events[:len(events)-1], "\r\n") + 1
		line := bytes.TrimPrefix(bytes.TrimRight(events[start:], "\r\n"), []byte(byteOrderMark))
		if value, isID := bytes.CutPrefix(line, idField); isID {
			return string(bytes.TrimSpace(value)), true
		}
		events = events[:start]
	}
	return "", false
}
