package thriftwire

import "errors"

// The types of values, as the binary protocol numbers them. Those of the compact protocol are translated.
const (
	typeStop   uint8 = 0
	typeBool   uint8 = 2
	typeByte   uint8 = 3
	typeDouble uint8 = 4
	typeI16    uint8 = 6
	typeI32    uint8 = 8
	typeI64    uint8 = 10
	typeString uint8 = 11
	typeStruct uint8 = 12
	typeMap    uint8 = 13
	typeSet    uint8 = 14
	typeList   uint8 = 15
	typeUUID   uint8 = 16 // bare 16 bytes in both encodings, since apache/thrift v0.20
)

// errNeedMore interrupts a walk where the bytes end: the step is repeated from its beginning when there are more.
var errNeedMore = errors.New("thriftwire: more bytes are needed")

// width is the size of a type's values in an encoding: at least min bytes, and exactly min if fixed. A min of 0 stands for a
// type that does not exist.
type width struct {
	min   uint8
	fixed bool
}

// level is a struct, list, set or map that the walk is in.
type level struct {
	remaining uint32 // values to come, a map's keys included; of a struct always 1
	last      int16  // of a struct: the id of the field before, to which the compact protocol adds
	key, val  uint8  // the types of the elements, equal for a list or set; typeStop for a struct
}

// walker finds the end of a struct without recursion, and continues where the bytes ended before. What is incomplete when they
// end (a field's head with its value's length, 25 bytes at most) is read again, so that a body that comes byte by byte still
// costs linear time. The contents of strings and of lists of fixed width are skipped at once: pos may then be beyond the bytes
// that have come, though never beyond end.
//
// It differs from apache/thrift v0.25.0 (ReadMessageBegin and Skip in lib/go/thrift) in:
//
//	                                                       apache          here
//	kind of message outside of 1..4                        passes          ErrMalformed
//	varint of an i16, i32, size or sequence id with        cut to the      ErrMalformed
//	  more than 5 bytes, or with bits beyond the type      type's bits
//	varint of an i64 with bits beyond 64                   cut to 64       ErrMalformed
//	compact field id that a delta takes beyond 32,767      wraps           ErrMalformed
//	more values than Limits.Values                         passes          ErrTooManyValues
//	name longer than Limits.Name                           passes          ErrTooLong
//	strict message where old ones are read, or old where   passes          ErrUnknownForm
//	  strict ones are
//	bytes after the body in the frame                      next message    ErrTrailingBytes
//	nested deeper than 64                                  refuses         Limits.Depth alone decides
//	containers and strings beyond 100 MiB, its default     refuses         Limits.Message alone decides
//
// It does not differ, though one might expect so, in: a level of depth is counted for every value, a number in the body being at
// 2; an empty list, set or map of the binary protocol may state types that do not exist (some writers put 0 there); any byte is
// a bool; any compact byte with a low half of 0 ends a struct; the third byte of a strict head is ignored; varints may end in
// needless zeros.
type walker struct {
	encoding   Encoding
	framed     bool
	pos, end   int // offsets into the bytes
	maxDepth   int
	valuesLeft int // that may still come
	depth      int // number of levels that were entered
	levels     [16]level
	moreLevels []level // those beyond levels
}

// truncatedError is the error for a message that continues beyond end.
func (w *walker) truncatedError() error {
	if w.framed {
		return ErrMalformed
	}
	return ErrTooLong
}

// reset sets the walker to a struct at pos that has to end by end.
func (w *walker) reset(pos, end int, limits Limits) {
	w.pos, w.end, w.maxDepth, w.valuesLeft = pos, end, limits.Depth, limits.Values
	w.depth = 0
	w.enter(level{remaining: 1})
}

// levelAt returns the i-th level, counted from 0.
func (w *walker) levelAt(i int) *level {
	if i < len(w.levels) {
		return &w.levels[i]
	}
	return &w.moreLevels[i-len(w.levels)]
}

// run walks to the struct's end, which pos is then. b ends at the walker's end if not before. Where b is too short the error is
// errNeedMore.
func (w *walker) run(b []byte) error {
	for w.depth > 0 {
		if w.pos >= len(b) {
			return errNeedMore
		}
		if err := w.step(b); err != nil {
			return err
		}
	}
	return nil
}

// step walks over one field's head or element, with its value if that is a scalar. pos has to be within b. Where the error is
// errNeedMore, nothing has changed.
func (w *walker) step(b []byte) error {
	at := w.depth - 1 // where walkValue enters a level, top may move in memory
	top := w.levelAt(at)
	if top.remaining == 0 {
		w.depth--
		return nil
	}
	if top.key != typeStop {
		t := top.key
		if top.remaining%2 == 1 {
			t = top.val // of a map, in which keys and values alternate
		}
		next, err := w.walkValue(b, w.pos, t)
		if err != nil {
			return err
		}
		w.levelAt(at).remaining--
		w.pos = next
		return nil
	}

	var f field
	if err := w.readField(b, w.pos, top.last, &f); err != nil {
		return err
	}
	if f.kind == typeStop {
		w.pos = f.valueStart
		w.depth--
		return nil
	}
	switch {
	case w.depth >= w.maxDepth:
		return ErrTooDeep
	case w.valuesLeft <= 0:
		return ErrTooManyValues
	}
	w.valuesLeft--
	next := f.valueStart
	if !f.inline {
		var err error
		if next, err = w.walkValue(b, f.valueStart, f.kind); err != nil {
			if err == errNeedMore {
				w.valuesLeft++
			}
			return err
		}
	}
	w.levelAt(at).last = f.id
	w.pos = next
	return nil
}

// enter goes one level deeper.
func (w *walker) enter(in level) {
	if w.depth-len(w.levels) == len(w.moreLevels) {
		w.moreLevels = append(w.moreLevels, level{})
	}
	*w.levelAt(w.depth) = in
	w.depth++
}

// field is the head of a struct's field.
type field struct {
	kind       uint8 // its value's type; typeStop where the struct ends
	id         int16
	valueStart int  // where its value begins; after a stop, where the struct has ended
	inline     bool // the head contains the value: bools of the compact protocol
	boolValue  bool // that value
}

// readField reads the head at p into f, which is empty. (It is not returned, as copying it costs more than reading it.)
func (w *walker) readField(b []byte, p int, last int16, f *field) error {
	if w.encoding == Compact {
		return readCompactField(b, p, last, f)
	}
	return readBinaryField(b, p, f)
}

// walkValue reads the beginning of a value of type t at p, and returns where to continue: after the value, or in it once its
// level was entered.
func (w *walker) walkValue(b []byte, p int, t uint8) (next int, err error) {
	if t == typeStruct {
		w.enter(level{remaining: 1})
		return p, nil
	}
	if w.encoding == Compact {
		return w.walkCompactValue(b, p, t)
	}
	return w.walkBinaryValue(b, p, t)
}

// skip returns the offset n bytes after p.
func (w *walker) skip(p, n int) (int, error) {
	if n > w.end-p {
		return 0, w.truncatedError()
	}
	return p + n, nil
}

// enterContainer enters a list, set or map of n entries at p, each of per values. It checks the bounds for all of them: what can't
// fit is refused before any of it comes. It has to be the last check of a step, as it reduces valuesLeft.
func (w *walker) enterContainer(p, n, per int, key, val uint8, widths *[17]width) (int, error) {
	if n == 0 {
		return p, nil
	}
	if int(key) >= len(widths) || int(val) >= len(widths) || widths[key].min == 0 || widths[val].min == 0 {
		return 0, ErrMalformed
	}
	if n > w.valuesLeft/per {
		return 0, ErrTooManyValues
	}
	if w.depth+2 > w.maxDepth {
		return 0, ErrTooDeep
	}
	entry := int(widths[key].min)
	if per == 2 {
		entry += int(widths[val].min)
	}
	if n > (w.end-p)/entry {
		return 0, w.truncatedError()
	}
	w.valuesLeft -= n * per
	if widths[key].fixed && widths[val].fixed {
		return p + n*entry, nil
	}
	w.enter(level{remaining: uint32(n * per), key: key, val: val})
	return p, nil
}
