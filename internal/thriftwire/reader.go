package thriftwire

import (
	"encoding/binary"
	"strings"
)

const (
	// initialBufferSize is the first buffer's size in bytes, so that a slow beginning does not grow it in tiny steps.
	initialBufferSize = 512

	// maxIdleBufferSize is how large a buffer a Reader keeps, in bytes, while it holds nothing: enough that common
	// messages need no new one, little enough that some hundred idle connections fit beside the daemon.
	maxIdleBufferSize = 32 << 10

	// nameCacheSize is how many names a Reader remembers, so that the calls of a connection that repeat a few
	// methods cost no new strings.
	nameCacheSize = 4
)

// Reader finds the messages in the bytes of one connection's direction. It keeps no more than Limits.Message and
// a few bytes besides what the last Feed brought, if Next is called until it has no more before the next Feed.
// It is not safe for use by several goroutines at once.
type Reader struct {
	limits    Limits
	form      Form
	formKnown bool
	err       error

	buf   []byte
	start int // of the message that is being read, in buf

	// Of that message, once its head has been read; offsets from start.
	head      Head
	bodyStart int // 0 before
	walker    walker

	nameCache  [nameCacheSize]string
	oldestName int // the name to be forgotten next
}

// NewReader returns a Reader of messages in form. Where form is nil, the first message tells, and the form stays:
// a length and then 0x80 0x01 are framed binary, a length and 0x82 framed compact, 0x80 0x01 unframed binary, 0x82
// unframed compact. Old binary is read only where form says so: it begins with nothing but a length, so that
// most of what was never meant as Thrift would pass for it, too.
func NewReader(limits Limits, form *Form) *Reader {
	r := &Reader{limits: limits}
	if form != nil {
		r.form, r.formKnown = *form, true
	}
	return r
}

// Feed takes bytes that came. b may be used again after it. What Next returned before is no longer valid.
func (r *Reader) Feed(b []byte) {
	if r.err != nil {
		return
	}
	kept := len(r.buf) - r.start
	need := kept + len(b)
	switch {
	case need > cap(r.buf):
		// Double, so that all of the growing is linear, but not beyond what a message may need.
		room := max(need, min(max(2*cap(r.buf), initialBufferSize), r.limits.Message+frameLengthSize))
		grown := make([]byte, kept, room)
		copy(grown, r.buf[r.start:])
		r.buf, r.start = grown, 0
	case len(r.buf)+len(b) > cap(r.buf):
		r.buf, r.start = r.buf[:copy(r.buf, r.buf[r.start:])], 0
	}
	r.buf = append(r.buf, b...)
}

// Next returns the next whole message, !ok where more bytes are needed, or one of this package's errors, and
// then always that one. The Body is valid until the next call of Feed.
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

// Pending returns how many bytes are kept that belong to no message that Next has returned.
func (r *Reader) Pending() int { return len(r.buf) - r.start }

// read goes on with the message that begins b; nil when it is whole, and ends at walk.pos.
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
	whole := min(len(b), r.walker.end)
	err := r.walker.run(b[:whole])
	switch {
	case err == errNeedMore && whole == r.walker.end:
		return r.walker.truncatedError()
	case err == nil && r.form.Framed && r.walker.pos < r.walker.end:
		return ErrTrailingBytes
	}
	return err
}

// begin reads a frame's length and the head, and sets the walker before the body.
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

// find tells a message's form by its first bytes.
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
		return Form{}, ErrUnknownForm // what follows is no part of it
	}
	encoding, err := detectEncoding(b[frameLengthSize:])
	return Form{Encoding: encoding, Framed: true}, err
}

// mark tells an encoding by the bytes that begin its messages.
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

// readFrameSize reads how long a frame is, its length not counted.
func readFrameSize(b []byte, limits Limits) (int, error) {
	n := int32(binary.BigEndian.Uint32(b))
	switch {
	case n < 0:
		return 0, ErrMalformed
	case int(n) <= limits.Message:
		return int(n), nil
	case isPrintable(b[:frameLengthSize]):
		return 0, ErrUnknownForm // 512 MiB and more; rather it is HTTP
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

// name returns the n bytes of a name at p, and where it ends.
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

// intern returns b as a string, one that is remembered if it can.
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

// known tells whether there is such a kind.
func (k Kind) isValid() bool { return k >= Call && k <= Oneway }

// Method takes a multiplexed name apart ("service:method", as apache/thrift's TMultiplexedProtocol writes it, at
// the first colon). The service is "" where the name is not multiplexed.
func (h Head) Method() (service, method string) {
	service, method, found := strings.Cut(h.Name, ":")
	if !found {
		return "", h.Name
	}
	return service, method
}
