package loopback

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/apache/thrift/lib/go/thrift"

	"pinelb.example/pinelb/internal/lab/scenario"
)

// thriftForm is a form of Thrift's messages. They are read and written by Apache Thrift's own library and not by the sidecar's
// codec, so that a mistake in that one shows.
type thriftForm struct {
	compact bool // otherwise binary, strict
	framed  bool // each message after its length
}

// thriftForms are the forms by the names of the scenario's protocols.
var thriftForms = map[string]thriftForm{
	"thrift-framed-binary":  {framed: true},
	"thrift-framed-compact": {framed: true, compact: true},
	"thrift-binary":         {},
	"thrift-compact":        {compact: true},
}

// The fields of a call's arguments, and of its result.
const (
	argTxn       = scenario.ThriftTransactionIDField // string, 16 hexadecimal digits
	argKey       = scenario.ThriftKeyField           // string, 32 hexadecimal digits; of keyed classes alone
	argRemaining = scenario.ThriftRemainingField     // i32, ms
	argRequest   = 4                                 // i32, the index in the plan
	argBody      = 5                                 // binary; of classes with a body
	resultBody   = 0                                 // binary
)

// exceptionRejected is of the sidecar's TApplicationException that says that trying again is harmless.
const exceptionRejected = 100

var errThrift = errors.New("loopback: malformed or unexpected Thrift message")

// frameHeadSize is the size of a frame's length, in bytes.
const frameHeadSize = 4

// thriftHead is the head of a message.
type thriftHead struct {
	method string
	kind   thrift.TMessageType
	seq    int32
}

var thriftConf = &thrift.TConfiguration{MaxMessageSize: maxRequestSize, MaxContainerSize: 1 << 10,
	TBinaryStrictRead: thrift.BoolPtr(true), TBinaryStrictWrite: thrift.BoolPtr(true)}

func (f thriftForm) protocol(in io.Reader, out io.Writer) thrift.TProtocol {
	transport := &thrift.StreamTransport{Reader: in, Writer: out}
	if f.compact {
		return thrift.NewTCompactProtocolConf(transport, thriftConf)
	}
	return thrift.NewTBinaryProtocolConf(transport, thriftConf)
}

// read reads one message, of which body reads what follows the head. It consumes no byte beyond. Errors are errThrift, wrapped,
// those of the library and those of in.
func (f thriftForm) read(in *bufio.Reader, body func(head thriftHead, p thrift.TProtocol) error) error {
	var from io.Reader = in
	frame := io.LimitedReader{R: in}
	if f.framed {
		var size [frameHeadSize]byte
		if _, err := io.ReadFull(in, size[:]); err != nil {
			return err
		}
		if frame.N = int64(int32(binary.BigEndian.Uint32(size[:]))); frame.N <= 0 || frame.N > maxResponseSize {
			return fmt.Errorf("%w: a frame of %d bytes", errThrift, frame.N)
		}
		from = &frame
	}
	p := f.protocol(from, nil)
	method, kind, seq, err := p.ReadMessageBegin(context.Background())
	if err != nil {
		return err
	}
	if err := body(thriftHead{method, kind, seq}, p); err != nil {
		return err
	}
	if frame.N > 0 {
		return fmt.Errorf("%w: %d bytes too many in its frame", errThrift, frame.N)
	}
	return nil
}

// write appends a message, of which body writes what follows the head.
func (f thriftForm) write(out []byte, head thriftHead, body func(w thriftWriter)) []byte {
	start := len(out)
	if f.framed {
		out = append(out, make([]byte, frameHeadSize)...)
	}
	b := bytes.NewBuffer(out)
	p := f.protocol(nil, b)
	_ = p.WriteMessageBegin(context.Background(), head.method, head.kind, head.seq)
	body(thriftWriter{p})
	out = b.Bytes()
	if f.framed {
		binary.BigEndian.PutUint32(out[start:], uint32(len(out)-start-frameHeadSize))
	}
	return out
}

// thriftWriter writes structs to memory, where no write fails.
type thriftWriter struct{ thrift.TProtocol }

// fields writes a struct whose fields writeFields writes.
func (w thriftWriter) fields(writeFields func()) {
	ctx := context.Background()
	_ = w.WriteStructBegin(ctx, "")
	writeFields()
	_ = w.WriteFieldStop(ctx)
	_ = w.WriteStructEnd(ctx)
}

func (w thriftWriter) text(id int16, text string) {
	_ = w.WriteFieldBegin(context.Background(), "", thrift.STRING, id)
	_ = w.WriteString(context.Background(), text)
}

func (w thriftWriter) bytes(id int16, b []byte) {
	_ = w.WriteFieldBegin(context.Background(), "", thrift.STRING, id)
	_ = w.WriteBinary(context.Background(), b)
}

func (w thriftWriter) number(id int16, n int32) {
	_ = w.WriteFieldBegin(context.Background(), "", thrift.I32, id)
	_ = w.WriteI32(context.Background(), n)
}

// exception writes a TApplicationException.
func (w thriftWriter) exception(kind int32, message string) {
	_ = thrift.NewTApplicationException(kind, message).Write(context.Background(), w)
}

// thriftFields reads a struct. readField reads the value of a field that it knows; the others are skipped.
func thriftFields(p thrift.TProtocol, readField func(id int16, kind thrift.TType) (known bool, err error)) error {
	ctx := context.Background()
	if _, err := p.ReadStructBegin(ctx); err != nil {
		return err
	}
	for {
		_, kind, id, err := p.ReadFieldBegin(ctx)
		if err != nil {
			return err
		}
		if kind == thrift.STOP {
			return p.ReadStructEnd(ctx)
		}
		known, err := readField(id, kind)
		if err == nil && !known {
			err = p.Skip(ctx, kind)
		}
		if err != nil {
			return err
		}
	}
}
