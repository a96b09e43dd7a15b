package thriftwire

import "errors"

// The types of values. Both encodings are walked in the binary protocol's numbers; compact's are translated.
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

// errMore stops a walk where the bytes end: the step is taken again from its beginning when there are more.
var errMore = errors.New("thriftwire: more bytes are needed")

// width is what a value of a type takes in an encoding: at least min bytes, and exactly so many if fixed. A min
// of 0 stands for a type that does not exist.
type width struct {
	min   uint8
	fixed bool
}

// level is a struct, list, set or map that the walk is in.
type level struct {
	left     uint32 // values to come, of a map keys and values both; of a struct always 1
	last     int16  // of a struct: the id of the field before, to which compact adds
	key, val uint8  // the types of the elements, of a list or set both the same; of a struct typeStop
}

// walker finds the end of a struct without recursion, and goes on where the bytes ended before. What is not
// whole when they end (a field's head with its value's length, 25 bytes at most) is read again, so that a body
// that comes byte by byte still costs linear time. The contents of strings and of lists of fixed width are
// stepped over in one go: pos may then be beyond the bytes that have come, though never beyond end.
//
// Where its verdict is not that of apache/thrift v0.25.0 (ReadMessageBegin and Skip in lib/go/thrift):
//
//	                                                       apache          here
//	kind of message outside of 1..4                        passes          ErrBroken
//	varint of an i16, i32, size or sequence id with        cut to the      ErrBroken
//	  more than 5 bytes, or with bits beyond the type      type's bits
//	varint of an i64 with bits beyond 64                   cut to 64       ErrBroken
//	compact field id that a delta takes beyond 32,767      wraps           ErrBroken
//	more values than Limits.Values                         passes          ErrTooMany
//	name longer than Limits.Name                           passes          ErrTooLong
//	strict message where old ones are read, or old where   passes          ErrForm
//	  strict ones are
//	bytes after the body in the frame                      next message    ErrTrailing
//	nested deeper than 64                                  refuses         Limits.Depth alone decides
//	containers and strings beyond 100 MiB, its default     refuses         Limits.Message alone decides
//
// Alike, though one might expect otherwise: a level of depth is counted for every value, a number in the body
// being at 2; an empty list, set or map of the binary protocol may name types that do not exist (some writers put
// 0 there); any byte is a bool; any compact byte with a low half of 0 ends a struct; the third byte of a strict
// head means nothing; varints may end in needless zeros.
type walker struct {
	encoding Encoding
	framed   bool
	pos, end int // offsets into what is walked
	depth    int
	values   int // that may still come
	at       int // how many levels the walk is in
	room     [16]level
	deeper   []level // those beyond room
}

// beyond says what it means that a message goes on beyond end.
func (w *walker) beyond() error {
	if w.framed {
		return ErrBroken
	}
	return ErrTooLong
}

// begin sets the walker before a struct at pos that has to end by end.
func (w *walker) begin(pos, end int, limits Limits) {
	w.pos, w.end, w.depth, w.values = pos, end, limits.Depth, limits.Values
	w.at = 0
	w.enter(level{left: 1})
}

// level returns the i-th level, counted from 0.
func (w *walker) level(i int) *level {
	if i < len(w.room) {
		return &w.room[i]
	}
	return &w.deeper[i-len(w.room)]
}

// run walks to the struct's end, which is then at pos. b ends at the walker's end if not before. It returns
// errMore where b is too short.
func (w *walker) run(b []byte) error {
	for w.at > 0 {
		if w.pos >= len(b) {
			return errMore
		}
		if err := w.step(b); err != nil {
			return err
		}
	}
	return nil
}

// step walks over one field's head or element, with its value if that is plain. pos has to be within b. When it
// fails with errMore, nothing has changed.
func (w *walker) step(b []byte) error {
	at := w.at - 1 // where value enters a level, this one may move in memory
	top := w.level(at)
	if top.left == 0 {
		w.at--
		return nil
	}
	if top.key != typeStop {
		t := top.key
		if top.left%2 == 1 {
			t = top.val // of a map, in which keys and values take turns
		}
		next, err := w.value(b, w.pos, t)
		if err != nil {
			return err
		}
		w.level(at).left--
		w.pos = next
		return nil
	}

	var f field
	if err := w.field(b, w.pos, top.last, &f); err != nil {
		return err
	}
	if f.kind == typeStop {
		w.pos = f.value
		w.at--
		return nil
	}
	switch {
	case w.at >= w.depth:
		return ErrTooDeep
	case w.values <= 0:
		return ErrTooMany
	}
	w.values--
	next := f.value
	if !f.whole {
		var err error
		if next, err = w.value(b, f.value, f.kind); err != nil {
			if err == errMore {
				w.values++
			}
			return err
		}
	}
	w.level(at).last = f.id
	w.pos = next
	return nil
}

// enter goes one level deeper.
func (w *walker) enter(in level) {
	if w.at-len(w.room) == len(w.deeper) {
		w.deeper = append(w.deeper, level{})
	}
	*w.level(w.at) = in
	w.at++
}

// field is the head of a struct's field.
type field struct {
	kind  uint8 // its value's type; typeStop where the struct ends
	id    int16
	value int  // where its value begins; after a stop, where the struct has ended
	whole bool // the head holds the value: compact's bools
	truth bool // that value
}

// field reads the head at p into f, which is empty. (It is not returned, as copying it costs more than reading.)
func (w *walker) field(b []byte, p int, last int16, f *field) error {
	if w.encoding == Compact {
		return compactField(b, p, last, f)
	}
	return binaryField(b, p, f)
}

// value reads the beginning of a value of type t at p, and returns where to go on: after the value, or in it,
// and then it has entered its level.
func (w *walker) value(b []byte, p int, t uint8) (next int, err error) {
	if t == typeStruct {
		w.enter(level{left: 1})
		return p, nil
	}
	if w.encoding == Compact {
		return w.compactValue(b, p, t)
	}
	return w.binaryValue(b, p, t)
}

// over steps over n bytes from p.
func (w *walker) over(p, n int) (int, error) {
	if n > w.end-p {
		return 0, w.beyond()
	}
	return p + n, nil
}

// open begins a list, set or map of n entries that follow at p, each of per values. Its bounds are checked here
// for all of them: what cannot fit is refused before any of it comes. It is the last thing that is asked of a
// step, as it takes from the values that may come.
func (w *walker) open(p, n, per int, key, val uint8, widths *[17]width) (int, error) {
	if n == 0 {
		return p, nil
	}
	if int(key) >= len(widths) || int(val) >= len(widths) || widths[key].min == 0 || widths[val].min == 0 {
		return 0, ErrBroken
	}
	if n > w.values/per {
		return 0, ErrTooMany
	}
	if w.at+2 > w.depth {
		return 0, ErrTooDeep
	}
	entry := int(widths[key].min)
	if per == 2 {
		entry += int(widths[val].min)
	}
	if n > (w.end-p)/entry {
		return 0, w.beyond()
	}
	w.values -= n * per
	if widths[key].fixed && widths[val].fixed {
		return p + n*entry, nil
	}
	w.enter(level{left: uint32(n * per), key: key, val: val})
	return p, nil
}
