package thriftwire

import "math"

// typeMask is a set of types, one bit each.
type typeMask uint32

// scalarTypes are the types that a Value can hold. A double is no integer and a uuid no text: they are not among them.
const scalarTypes typeMask = 1<<typeBool | 1<<typeByte | 1<<typeI16 | 1<<typeI32 | 1<<typeI64 | 1<<typeString

// Lookup returns the field at a path of field ids, through structs alone, of a body that a Reader has returned. The Value is not
// Present where there is no such field or it is not of a scalar type; its Text shares memory with body.
//
// Where a field is in a struct more than once, the last one counts, as in generated code, which reads each over the one before:
// a client that sends it twice cannot have one value checked here and another one used by the host. Those of a type that can't
// be meant (no struct on the way, nothing scalar at the end) are skipped, as generated code does.
//
// For a body that no Reader has returned the error may be ErrMalformed, and the Value wrong.
func Lookup(e Encoding, body []byte, path []int16) (Value, error) {
	if len(path) == 0 {
		return Value{}, nil
	}
	for _, id := range path[:len(path)-1] {
		f, err := findLast(e, body, id, 1<<typeStruct)
		if err != nil || f.kind == typeStop {
			return Value{}, err
		}
		body = f.bytes
	}
	f, err := findLast(e, body, path[len(path)-1], scalarTypes)
	return f.value(e), err
}

// foundField is a field with the bytes of its value; its kind is typeStop where there is none.
type foundField struct {
	field
	bytes []byte
}

// findLast returns the last field of the struct that begins b with that id and one of those types.
func findLast(e Encoding, b []byte, id int16, of typeMask) (f foundField, err error) {
	w := walker{encoding: e, framed: true}
	w.reset(0, len(b), Limits{Depth: math.MaxInt, Values: math.MaxInt})
	open := foundField{}
	for w.depth > 0 {
		if w.pos >= len(b) {
			return foundField{}, ErrMalformed
		}
		if w.depth == 1 {
			if open.kind != typeStop {
				f, open = open, foundField{}
				f.bytes = b[f.valueStart:w.pos]
			}
			var head field
			if err := w.readField(b, w.pos, w.levels[0].last, &head); err == nil && head.id == id && of&(1<<head.kind) != 0 && head.kind != typeStop {
				open.field = head
			}
		}
		if err := w.step(b); err != nil {
			if err == errNeedMore {
				err = ErrMalformed
			}
			return foundField{}, err
		}
	}
	return f, nil
}

// value decodes the field's value.
func (f foundField) value(e Encoding) Value {
	switch {
	case f.kind == typeStop:
		return Value{}
	case f.kind == typeString:
		n := 4
		if e == Compact {
			_, n = readVarint(f.bytes, 0, 31)
		}
		return Value{Text: f.bytes[n:], IsText: true, Present: true}
	case f.inline && f.boolValue:
		return Value{Number: 1, Present: true}
	case f.inline:
		return Value{Present: true}
	case e == Compact:
		return Value{Number: decodeCompactNumber(f.bytes, f.kind), Present: true}
	}
	return Value{Number: decodeBinaryNumber(f.bytes, f.kind), Present: true}
}
