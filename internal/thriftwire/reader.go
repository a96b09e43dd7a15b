package thriftwire

import (
	"encoding/binary"
	"strings"
)

const (
	// initialBufferSize is the first buffer's size in bytes, so that a message that comes slowly does not grow it in tiny steps.
	initialBufferSize = 512

	// maxIdleBufferSize is how large a buffer a Reader keeps while it is empty, in bytes: enough that common messages need no
	// new one, little enough for some hundred idle connections.
	maxIdleBufferSize = 32 << 10

	// nameCacheSize is how many names a Reader caches, so that calls of the same few methods allocate no strings.
	nameCacheSize = 4
)

// Reader parses the messages of one direction of a connection. It buffers no more than Limits.Message and a few bytes beside
// what the last Feed brought, if Next is called until it returns !ok before the next Feed. It is not safe for concurrent use.
type Reader struct {
	limits    Limits
	form      Form
	formKnown bool
	err       error

	buf   []byte
	start int // of the message that is being read, in buf

	// Of that message, once its head was read; offsets are from start.
	head      Head
	bodyStart int // 0: the head was not read yet
	walker    walker

	nameCache  [nameCacheSize]string
	oldestName int // index of the name to be replaced next
}

// NewReader returns a Reader of messages in a form. Where form is nil the first message determines it, and it stays: a frame's
// length and then 0x80 0x01 is framed binary, a length and 0x82 framed compact, 0x80 0x01 unframed binary, 0x82 unframed
// compact. Old binary is read only where form says so: it begins with a length alone, so that most of what was never meant as
// Thrift would be taken for it.
func NewReader(limits Limits, form *Form) *Reader {
	r := &Reader{limits: limits}
	if form != nil {
		r.form, r.formKnown = *form, true
	}
	return r
}

// Feed adds bytes that were read; b may be reused afterwards. Bodies that Next has returned are no longer valid.
func (r *Reader) Feed(b []byte) {
	if r.err != nil {
		return
	}
	pending := len(r.buf) - r.start
	need := pending + len(b)
	switch {
	case need > cap(r.buf):
		// Doubling makes all copying linear; a message needs no more than the limit.
		room := max(need, min(max(2*cap(r.buf), initialBufferSize), r.limits.Message+frameLengthSize))
		grown := make([]byte, pending, room)
		copy(grown, r.buf[r.start:])
		r.buf, r.start = grown, 0
	case len(r.buf)+len(b) > cap(r.buf):
		r.buf, r.start = r.buf[:copy(r.buf, r.buf[r.start:])], 0
	}
	r.buf = append(r.buf, b...)
}

// Next returns the next complete message, !ok where more bytes are needed, or one of this package's errors, and then always
// that one.
func (r *Reader) Next() (m Message, ok bool, err error) {
	if r.err != nil {
		return Message{}, false, r.err
	}
	b := r.buf[r.start:]
	switch err := r.readMessage(b); err {
	case nil:
		m = Message{Head: r.head, Body: b[r.bodyStart:r.walker.pos:r.walker.pos]}
		r.start += r.walker.pos
		r.bodyStart = 0
		return m, true, nil
	case errNeedMore:
		if len(b) == 0 {
			r.buf, r.start = r.buf[:0], 0
			if cap(r.buf) > maxIdleBufferSize {
				r.buf = nil
			}
		}
		return Message{}, false, nil
	default:
		r.err, r.buf, r.start = err, nil, 0
		return Message{}, false, err
	}
}

// Form returns the form, once it is known.
func (r *Reader) Form() (Form, bool) { return r.form, r.formKnown }

// Pending returns how many buffered bytes belong to no message that Next has returned.
func (r *Reader) Pending() int { return len(r.buf) - r.start }

// readMessage continues with the message that begins b. It returns nil when the message is complete, ending at walker.pos.
func (r *Reader) readMessage(b []byte) error {
	if !r.formKnown {
		form, err := detectForm(b, r.limits)
		if err != nil {
			return err
		}
		r.form, r.formKnown = form, true
	}
	if r.bodyStart == 0 {
		if err := r.readHead(b); err != nil {
			return err
		}
	}
	available := min(len(b), r.walker.end)
	err := r.walker.run(b[:available])
	switch {
	case err == errNeedMore && available == r.walker.end:
		return r.walker.truncatedError()
	case err == nil && r.form.Framed && r.walker.pos < r.walker.end:
		return ErrTrailingBytes
	}
	return err
}

// readHead reads a frame's length and the head, and sets the walker to the beginning of the body.
func (r *Reader) readHead(b []byte) error {
	p, end := 0, r.limits.Message
	r.walker.encoding, r.walker.framed = r.form.Encoding, r.form.Framed
	if r.form.Framed {
		if len(b) < frameLengthSize {
			return errNeedMore
		}
		n, err := readFrameSize(b, r.limits)
		if err != nil {
			return err
		}
		p, end = frameLengthSize, frameLengthSize+n
	}
	b = b[:min(len(b), end)]
	read := r.readBinaryHead
	if r.form.Encoding == Compact {
		read = r.readCompactHead
	}
	h, body, err := read(b, p)
	if err == errNeedMore && len(b) == end {
		return r.walker.truncatedError()
	}
	if err != nil {
		return err
	}
	r.head, r.bodyStart = h, body
	r.walker.reset(body, end, r.limits)
	return nil
}

// detectForm determines a message's form by its first bytes.
func detectForm(b []byte, limits Limits) (Form, error) {
	switch {
	case len(b) == 0:
		return Form{}, errNeedMore
	case b[0] >= 0x80:
		encoding, err := detectEncoding(b)
		return Form{Encoding: encoding}, err
	case len(b) < frameLengthSize:
		return Form{}, errNeedMore
	}
	n, err := readFrameSize(b, limits)
	switch {
	case err != nil:
		return Form{}, err
	case n == 0:
		return Form{}, ErrUnknownForm // no message is that short
	}
	encoding, err := detectEncoding(b[frameLengthSize:])
	return Form{Encoding: encoding, Framed: true}, err
}

// detectEncoding determines an encoding by the first bytes of a message.
func detectEncoding(b []byte) (Encoding, error) {
	switch {
	case len(b) == 0:
		return 0, errNeedMore
	case b[0] == compactID:
		return Compact, nil
	case b[0] != binaryVersion>>8:
		return 0, ErrUnknownForm
	case len(b) == 1:
		return 0, errNeedMore
	case b[1] != binaryVersion&0xff:
		return 0, ErrUnknownForm
	}
	return Binary, nil
}

// readFrameSize reads a frame's length.
func readFrameSize(b []byte, limits Limits) (int, error) {
	n := int32(binary.BigEndian.Uint32(b))
	switch {
	case n < 0:
		return 0, ErrMalformed
	case int(n) <= limits.Message:
		return int(n), nil
	case isPrintable(b[:frameLengthSize]):
		return 0, ErrUnknownForm // a length of 512 MiB and more is more likely to be HTTP
	}
	return 0, ErrTooLong
}

func isPrintable(b []byte) bool {
	for _, c := range b {
		if c < ' ' || c > '~' {
			return false
		}
	}
	return true
}

// readName returns the n bytes of a name at p, and where it ends.
func (r *Reader) readName(b []byte, p, n int) ([]byte, int, error) {
	switch {
	case n < 0:
		return nil, 0, ErrMalformed
	case n > r.limits.Name:
		return nil, 0, ErrTooLong
	case n > len(b)-p:
		return nil, 0, errNeedMore
	}
	return b[p : p+n], p + n, nil
}

// internName returns b as a string, without allocating where the cache has it.
func (r *Reader) internName(b []byte) string {
	for _, s := range r.nameCache {
		if s == string(b) {
			return s
		}
	}
	s := string(b)
	r.nameCache[r.oldestName] = s
	r.oldestName = (r.oldestName + 1) % nameCacheSize
	return s
}

// isValid reports whether there is such a kind.
func (k Kind) isValid() bool { return k >= Call && k <= Oneway }

// Method splits a multiplexed name at its first colon ("service:method", as apache/thrift's TMultiplexedProtocol writes it).
// The service is empty where the name is not multiplexed.
func (h Head) Method() (service, method string) {
	service, method, found := strings.Cut(h.Name, ":")
	if !found {
		return "", h.Name
	}
	return service, method
}
