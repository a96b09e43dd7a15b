package thriftwire

import "encoding/binary"

// frameLengthSize is the size in bytes of a frame's length, a signed big-endian number that does not count itself.
const frameLengthSize = 4

// Append appends a message in h's form, with its frame if it has one. The body is in h's encoding already, such as one that a
// Reader has returned.
func Append(b []byte, h Head, body []byte) []byte {
	b, start := appendHead(b, h)
	return closeFrame(append(b, body...), start, h)
}

// appendHead appends a head, after a placeholder for the frame's length if there is one, and returns the offset of that.
func appendHead(b []byte, h Head) (_ []byte, start int) {
	start = len(b)
	if h.Form.Framed {
		b = append(b, 0, 0, 0, 0)
	}
	if h.Form.Encoding == Compact {
		return appendCompactHead(b, h), start
	}
	return appendBinaryHead(b, h), start
}

// closeFrame fills in the length of the frame that began at start.
func closeFrame(b []byte, start int, h Head) []byte {
	if h.Form.Framed {
		binary.BigEndian.PutUint32(b[start:], uint32(len(b)-start-frameLengthSize))
	}
	return b
}
