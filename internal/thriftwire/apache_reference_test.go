package thriftwire

import (
	"bytes"
	"context"
	"math"
	"testing"

	"github.com/apache/thrift/lib/go/thrift"
)

var ctx = context.Background()

// apacheProtocol returns apache/thrift's protocol of an encoding, without limits of its own.
func apacheProtocol(e Encoding, mem *thrift.TMemoryBuffer) thrift.TProtocol {
	strict := e == Binary
	conf := &thrift.TConfiguration{
		MaxMessageSize: math.MaxInt32, MaxFrameSize: math.MaxInt32, TBinaryStrictRead: &strict, TBinaryStrictWrite: &strict,
	}
	if e == Compact {
		return thrift.NewTCompactProtocolConf(mem, conf)
	}
	return thrift.NewTBinaryProtocolConf(mem, conf)
}

func inMemory(b []byte) *thrift.TMemoryBuffer {
	return &thrift.TMemoryBuffer{Buffer: bytes.NewBuffer(b)}
}

// apacheSkip walks a message that is in no frame, and returns where its body begins and ends.
func apacheSkip(e Encoding, b []byte) (h Head, body, end int, err error) {
	mem := inMemory(b)
	p := apacheProtocol(e, mem)
	name, kind, seq, err := p.ReadMessageBegin(ctx)
	body = len(b) - mem.Len()
	if err == nil {
		err = thrift.SkipDefaultDepth(ctx, p, thrift.STRUCT)
	}
	if err == nil {
		err = p.ReadMessageEnd(ctx)
	}
	return Head{Form: Form{Encoding: e}, Kind: Kind(kind), Name: name, Seq: seq}, body, len(b) - mem.Len(), err
}

func apacheException(t testing.TB, form Form, body []byte) ApplicationException {
	x := thrift.NewTApplicationException(0, "")
	if err := x.Read(ctx, apacheProtocol(form.Encoding, inMemory(body))); err != nil {
		t.Fatal(err)
	}
	return ApplicationException{x.TypeId(), x.Error()}
}

// choiceReader is a protocol that reads a struct of all types, as its bytes choose them; where they end, it ends. Scalars are
// read from the bytes as in the binary protocol.
type choiceReader struct {
	thrift.TProtocol
	mem    *thrift.TMemoryBuffer
	depth  int
	fields []int // yet to come in each open struct
}

func newChoiceReader(choices []byte) *choiceReader {
	mem := inMemory(choices)
	return &choiceReader{TProtocol: apacheProtocol(Binary, mem), mem: mem}
}

func (c *choiceReader) choose(below int) int {
	b, _ := c.mem.ReadByte() // 0 at the end
	return int(b) % below
}

var apacheTypes = []thrift.TType{thrift.BOOL, thrift.BYTE, thrift.DOUBLE, thrift.I16, thrift.I32, thrift.I64,
	thrift.STRING, thrift.UUID, thrift.STRUCT, thrift.MAP, thrift.SET, thrift.LIST}

// kind chooses a type, a scalar one where it is nested deep already.
func (c *choiceReader) kind() thrift.TType {
	if c.depth > 10 {
		return apacheTypes[c.choose(8)]
	}
	return apacheTypes[c.choose(len(apacheTypes))]
}

func (c *choiceReader) ReadBinary(context.Context) ([]byte, error) {
	return make([]byte, c.choose(256)), nil
}
func (c *choiceReader) ReadListBegin(context.Context) (thrift.TType, int, error) {
	return c.kind(), c.choose(32), nil
}
func (c *choiceReader) ReadMapBegin(context.Context) (key, val thrift.TType, n int, err error) {
	return c.kind(), c.kind(), c.choose(8), nil
}
func (c *choiceReader) ReadStructBegin(context.Context) (string, error) {
	c.fields = append(c.fields, c.choose(8))
	return "", nil
}
func (c *choiceReader) ReadFieldBegin(context.Context) (string, thrift.TType, int16, error) {
	fieldsLeft := &c.fields[len(c.fields)-1]
	if *fieldsLeft--; *fieldsLeft < 0 {
		c.fields = c.fields[:len(c.fields)-1]
		return "", thrift.STOP, 0, nil
	}
	return "", c.kind(), int16(int8(c.choose(256))) << c.choose(9), nil // small ids and large ones
}
func (c *choiceReader) ReadStructEnd(context.Context) error { return nil }

// choices are for a choiceReader: a struct has its number of fields, then of each its type (as in apacheTypes), id, the
// id's shift and the value; containers begin with their types and size.
var choices = []string{
	"",
	"07 00010001 010200c8 020300 8*40 030400fffe 048508 4*81 05c808 8*7f 060900c8", // scalars
	"06 070100 16*77 080200 02 00010001 06020005 090300 0604 02 01 4*05 02 4*05 090400 0102 01 9*08 0a0500 0502 16*ff" +
		" 0b0600 001f 31*01", // the others
	"04 080100 01 0b0100 0b02 0b02 0801 01 00010001 0500 0901 0909 00 090202 0908 03 0000 00 0b0300 0612 18*03 0a0400 0b00",
}

// messageCorpus has a message of each of the choices, and an exception.
func messageCorpus(t testing.TB, form Form) (out [][]byte) {
	for i, c := range choices {
		h := Head{Form: form, Kind: Kind(1 + i%4), Name: "service:method"[i:], Seq: int32(-i) << 20}
		mem := thrift.NewTMemoryBuffer()
		p := apacheProtocol(form.Encoding, mem)
		_ = p.WriteMessageBegin(ctx, h.Name, thrift.TMessageType(h.Kind), h.Seq)
		copyValue(newChoiceReader(parseHex(t, c)), p, thrift.STRUCT)
		b := mem.Bytes()
		if form.Framed {
			framed := thrift.NewTMemoryBuffer()
			ft := thrift.NewTFramedTransportConf(framed, nil)
			_, _ = ft.Write(b)
			if err := ft.Flush(ctx); err != nil {
				t.Fatal(err)
			}
			b = framed.Bytes()
		}
		out = append(out, b)
	}
	return append(out, AppendException(nil, Head{Form: form, Name: "m"}, ApplicationException{TypeInternalError, "x"}))
}

// copyValue copies a value, and so transforms it to the form in which apache/thrift writes it.
func copyValue(in, out thrift.TProtocol, t thrift.TType) {
	if c, ok := in.(*choiceReader); ok {
		c.depth++
		defer func() { c.depth-- }()
	}
	switch t {
	case thrift.BOOL:
		copyScalar(in.ReadBool, out.WriteBool)
	case thrift.BYTE:
		copyScalar(in.ReadByte, out.WriteByte)
	case thrift.I16:
		copyScalar(in.ReadI16, out.WriteI16)
	case thrift.I32:
		copyScalar(in.ReadI32, out.WriteI32)
	case thrift.I64:
		copyScalar(in.ReadI64, out.WriteI64)
	case thrift.DOUBLE:
		copyScalar(in.ReadDouble, out.WriteDouble)
	case thrift.UUID:
		copyScalar(in.ReadUUID, out.WriteUUID)
	case thrift.STRING:
		copyScalar(in.ReadBinary, out.WriteBinary)
	case thrift.LIST, thrift.SET: // alike in both encodings
		of, n, _ := in.ReadListBegin(ctx)
		_ = out.WriteListBegin(ctx, of, n)
		for range n {
			copyValue(in, out, of)
		}
	case thrift.MAP:
		key, val, n, _ := in.ReadMapBegin(ctx)
		_ = out.WriteMapBegin(ctx, key, val, n)
		for range n {
			copyValue(in, out, key)
			copyValue(in, out, val)
		}
	case thrift.STRUCT:
		_, _ = in.ReadStructBegin(ctx)
		_ = out.WriteStructBegin(ctx, "")
		for {
			_, of, id, _ := in.ReadFieldBegin(ctx)
			if of == thrift.STOP {
				break
			}
			_ = out.WriteFieldBegin(ctx, "", of, id)
			copyValue(in, out, of)
		}
		_ = in.ReadStructEnd(ctx)
		_ = out.WriteFieldStop(ctx)
		_ = out.WriteStructEnd(ctx)
	}
}

func copyScalar[T any](read func(context.Context) (T, error), write func(context.Context, T) error) {
	v, _ := read(ctx)
	_ = write(ctx, v)
}

// transcode returns the body that apache/thrift makes of in.
func transcode(in thrift.TProtocol, e Encoding) []byte {
	mem := thrift.NewTMemoryBuffer()
	copyValue(in, apacheProtocol(e, mem), thrift.STRUCT)
	return mem.Bytes()
}
