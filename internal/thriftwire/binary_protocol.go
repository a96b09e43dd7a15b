package thriftwire

import "encoding/binary"

// The binary protocol (doc/specs/thrift-binary-protocol.md): big endian, types in a byte, sizes in 4.

// binaryVersion is in the first two bytes of a strict message.
const binaryVersion = 0x8001

// binaryWidths are the widths of values by type.
var binaryWidths = [17]width{
	typeBool: {1, true}, typeByte: {1, true}, typeDouble: {8, true},
	typeI16: {2, true}, typeI32: {4, true}, typeI64: {8, true}, typeUUID: {16, true},
	typeString: {4, false}, typeStruct: {1, false}, typeMap: {6, false}, typeSet: {5, false}, typeList: {5, false},
}

// readBinaryHead reads a head at p, strict or old, and returns where its body begins.
func (r *Reader) readBinaryHead(b []byte, p int) (Head, int, error) {
	h := Head{Form: r.form}
	if r.form.Encoding == Binary {
		// Two bytes show whether the rest is worth waiting for.
		if len(b)-p >= 2 && binary.BigEndian.Uint16(b[p:]) != binaryVersion {
			return h, 0, ErrUnknownForm
		}
		if len(b)-p < 4 {
			return h, 0, errNeedMore
		}
		h.Kind = Kind(b[p+3])
		if !h.Kind.isValid() {
			return h, 0, ErrMalformed
		}
		p += 4
	}
	if len(b)-p < 4 {
		return h, 0, errNeedMore
	}
	n := int32(binary.BigEndian.Uint32(b[p:]))
	if n < 0 && r.form.Encoding == OldBinary {
		return h, 0, ErrUnknownForm // a strict message begins so
	}
	p += 4
	name, p, err := r.readName(b, p, int(n))
	if err != nil {
		return h, 0, err
	}
	if r.form.Encoding == OldBinary {
		if len(b) <= p {
			return h, 0, errNeedMore
		}
		h.Kind = Kind(b[p])
		if !h.Kind.isValid() {
			return h, 0, ErrMalformed
		}
		p++
	}
	if len(b)-p < 4 {
		return h, 0, errNeedMore
	}
	h.Seq = int32(binary.BigEndian.Uint32(b[p:]))
	h.Name = r.internName(name)
	return h, p + 4, nil
}

func readBinaryField(b []byte, p int, f *field) error {
	t := b[p]
	if t == typeStop {
		f.valueStart = p + 1
		return nil
	}
	if int(t) >= len(binaryWidths) || binaryWidths[t].min == 0 {
		return ErrMalformed
	}
	if len(b)-p < 3 {
		return errNeedMore
	}
	f.kind, f.id, f.valueStart = t, int16(binary.BigEndian.Uint16(b[p+1:])), p+3
	return nil
}

func (w *walker) walkBinaryValue(b []byte, p int, t uint8) (int, error) {
	head, per := 0, 1
	switch t {
	case typeString:
		head = 4
	case typeSet, typeList:
		head = 5
	case typeMap:
		head, per = 6, 2
	default:
		return w.skip(p, int(binaryWidths[t].min))
	}
	if len(b)-p < head {
		return 0, errNeedMore
	}
	n := int32(binary.BigEndian.Uint32(b[p+head-4:]))
	if n < 0 {
		return 0, ErrMalformed
	}
	if t == typeString {
		return w.skip(p+head, int(n))
	}
	return w.enterContainer(p+head, int(n), per, b[p], b[p+per-1], &binaryWidths)
}

func appendBinaryHead(b []byte, h Head) []byte {
	if h.Form.Encoding == Binary {
		b = binary.BigEndian.AppendUint32(b, binaryVersion<<16|uint32(h.Kind))
	}
	b = binary.BigEndian.AppendUint32(b, uint32(len(h.Name)))
	b = append(b, h.Name...)
	if h.Form.Encoding == OldBinary {
		b = append(b, byte(h.Kind))
	}
	return binary.BigEndian.AppendUint32(b, uint32(h.Seq))
}

// decodeBinaryNumber decodes a number or a bool.
func decodeBinaryNumber(b []byte, t uint8) int64 {
	switch t {
	case typeBool:
		if b[0] == 1 { // as apache/thrift reads it
			return 1
		}
		return 0
	case typeByte:
		return int64(int8(b[0]))
	case typeI16:
		return int64(int16(binary.BigEndian.Uint16(b)))
	case typeI32:
		return int64(int32(binary.BigEndian.Uint32(b)))
	}
	return int64(binary.BigEndian.Uint64(b))
}
