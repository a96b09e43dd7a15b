package thriftwire

import (
	"encoding/binary"
	"math"
)

// The compact protocol (doc/specs/thrift-compact-protocol.md): numbers as varints of 7 bits a byte, signed ones
// in zigzag, types in half a byte, field ids as differences, the bools of a field in its type.

const (
	compactID      = 0x82 // the first byte of a message
	compactVersion = 1    // in the low 5 bits of the second; the kind is above

	compactTrue   = 1 // the type of a field that is true
	compactFalse  = 2
	compactI32    = 5
	compactString = 8
	compactLast   = 13 // the highest type that exists
)

// compactTypes translates types to those of the binary protocol; 0 stands for those that do not exist, and for the stop.
var compactTypes = [16]uint8{
	compactTrue: typeBool, compactFalse: typeBool, 3: typeByte, 4: typeI16, compactI32: typeI32, 6: typeI64, 7: typeDouble,
	compactString: typeString, 9: typeList, 10: typeSet, 11: typeMap, 12: typeStruct, compactLast: typeUUID,
}

// compactWidths are the widths of elements by type.
var compactWidths = [17]width{
	typeBool: {1, true}, typeByte: {1, true}, typeDouble: {8, true}, typeUUID: {16, true},
	typeI16: {1, false}, typeI32: {1, false}, typeI64: {1, false},
	typeString: {1, false}, typeStruct: {1, false}, typeMap: {1, false}, typeSet: {1, false}, typeList: {1, false},
}

// readVarint reads a number of up to that many bits at p, in at most 5 bytes (10 for 64 bits), and returns where it ends. next is
// 0 where it is incomplete, and -1 where it has more bytes or bits.
func readVarint(b []byte, p int, bits uint) (v uint64, next int) {
	if p < len(b) && b[p] < 0x80 {
		return uint64(b[p]), p + 1 // as most are
	}
	bytes := 5
	if bits > 32 {
		bytes = 10
	}
	for shift := uint(0); ; shift, p = shift+7, p+1 {
		if p >= len(b) {
			return 0, 0
		}
		low := uint64(b[p] & 0x7f)
		if low != 0 && (shift >= bits || bits-shift < 7 && low>>(bits-shift) != 0) {
			return 0, -1
		}
		v |= low << shift
		if b[p] < 0x80 {
			return v, p + 1
		}
		if bytes--; bytes == 0 {
			return 0, -1
		}
	}
}

// varintError is the error for a next of 0 or -1 that readVarint has returned.
func varintError(next int) error {
	if next < 0 {
		return ErrMalformed
	}
	return errNeedMore
}

// unzigzag decodes 0, 1, 2, 3 as 0, -1, 1, -2.
func unzigzag(v uint64) int64 { return int64(v>>1) ^ -int64(v&1) }

// readCompactHead reads a head at p, and returns where its body begins.
func (r *Reader) readCompactHead(b []byte, p int) (Head, int, error) {
	h := Head{Form: r.form}
	if len(b) > p && b[p] != compactID {
		return h, 0, ErrUnknownForm
	}
	if len(b)-p < 2 {
		return h, 0, errNeedMore
	}
	if b[p+1]&0x1f != compactVersion {
		return h, 0, ErrUnknownForm
	}
	h.Kind = Kind(b[p+1] >> 5)
	if !h.Kind.isValid() {
		return h, 0, ErrMalformed
	}
	seq, q := readVarint(b, p+2, 32)
	if q <= 0 {
		return h, 0, varintError(q)
	}
	h.Seq = int32(uint32(seq))
	n, p := readVarint(b, q, 31)
	if p <= 0 {
		return h, 0, varintError(p)
	}
	name, p, err := r.readName(b, p, int(n))
	if err != nil {
		return h, 0, err
	}
	h.Name = r.internName(name)
	return h, p, nil
}

func readCompactField(b []byte, p int, last int16, f *field) error {
	c := b[p]
	if c&0x0f == 0 {
		f.valueStart = p + 1
		return nil
	}
	f.kind, f.valueStart = compactTypes[c&0x0f], p+1
	if f.kind == typeStop {
		return ErrMalformed
	}
	if delta := int(c >> 4); delta != 0 {
		id := int(last) + delta
		if id > math.MaxInt16 {
			return ErrMalformed
		}
		f.id = int16(id)
	} else {
		id, q := readVarint(b, p+1, 16)
		if q <= 0 {
			return varintError(q)
		}
		f.id, f.valueStart = int16(unzigzag(id)), q
	}
	f.inline, f.boolValue = f.kind == typeBool, c&0x0f == compactTrue
	return nil
}

func (w *walker) walkCompactValue(b []byte, p int, t uint8) (int, error) {
	switch t {
	case typeI16, typeI32, typeI64:
		_, q := readVarint(b, p, integerBits(t))
		if q <= 0 {
			return 0, varintError(q)
		}
		return q, nil
	case typeString:
		n, q := readVarint(b, p, 31)
		if q <= 0 {
			return 0, varintError(q)
		}
		return w.skip(q, int(n))
	case typeSet, typeList:
		if p >= len(b) {
			return 0, errNeedMore
		}
		n, q, c := uint64(b[p]>>4), p+1, b[p]&0x0f
		if n == 15 {
			if n, q = readVarint(b, q, 31); q <= 0 {
				return 0, varintError(q)
			}
		}
		if c > compactLast {
			return 0, ErrMalformed
		}
		return w.enterContainer(q, int(n), 1, compactTypes[c], compactTypes[c], &compactWidths)
	case typeMap:
		n, q := readVarint(b, p, 31)
		if q <= 0 {
			return 0, varintError(q)
		}
		if n == 0 {
			return q, nil // without types
		}
		if q >= len(b) {
			return 0, errNeedMore
		}
		return w.enterContainer(q+1, int(n), 2, compactTypes[b[q]>>4], compactTypes[b[q]&0x0f], &compactWidths)
	}
	return w.skip(p, int(compactWidths[t].min))
}

// integerBits is the size of an integer type in bits.
func integerBits(t uint8) uint {
	switch t {
	case typeI16:
		return 16
	case typeI32:
		return 32
	}
	return 64
}

func appendCompactHead(b []byte, h Head) []byte {
	b = append(b, compactID, compactVersion|byte(h.Kind)<<5)
	b = binary.AppendUvarint(b, uint64(uint32(h.Seq)))
	b = binary.AppendUvarint(b, uint64(len(h.Name)))
	return append(b, h.Name...)
}

// decodeCompactNumber decodes a number, or a bool that is an element.
func decodeCompactNumber(b []byte, t uint8) int64 {
	if t == typeByte {
		return int64(int8(b[0]))
	}
	v, _ := readVarint(b, 0, integerBits(t))
	return unzigzag(v)
}
