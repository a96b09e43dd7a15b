// Package thriftwire parses and writes Thrift messages: the head of each, and where its body ends. It walks a body without
// building values, so that a body can be forwarded byte for byte. Source: the specifications of the binary and the compact
// protocol of the Apache Thrift project (doc/specs), and its framed transport.
//
// The package is pure: it does no I/O and has no state beside a Reader's. The frontend (internal/downstream/thrift) and the
// upstream side (internal/upstream) feed it what they read.
//
// Invariants: what a peer can make a Reader buffer or walk is bounded by Limits; parsing takes linear time, however a message
// is split; where its verdict differs from that of Apache Thrift is listed at walker.
package thriftwire

import "errors"

// Encoding is the Thrift protocol in which a message's values are written.
type Encoding uint8

// The encodings.
const (
	Binary    Encoding = iota // strict: the head begins with the version
	OldBinary                 // the head begins with the name's length
	Compact
)

// Form is an encoding, and whether each message is in a frame that states its length.
type Form struct {
	Encoding Encoding
	Framed   bool
}

// Kind is a message's type.
type Kind uint8

// The kinds, as both encodings number them.
const (
	Call      Kind = 1
	Reply     Kind = 2
	Exception Kind = 3 // its body is a TApplicationException
	Oneway    Kind = 4 // it has no reply
)

// Head is what precedes a message's body.
type Head struct {
	Form Form
	Kind Kind
	Name string // of the method; "service:method" where it is multiplexed
	Seq  int32
}

// Message is one message. Body is the struct that follows the head, as it came. It shares memory with the Reader, and is valid
// until the next call of Feed.
type Message struct {
	Head
	Body []byte
}

// Limits bound what a peer can make a Reader buffer and walk.
type Limits struct {
	Message int // bytes of a message with its head, without its frame's length
	Depth   int // of nested structs and containers
	Values  int // fields and elements in a message, empty ones included
	Name    int // bytes of a method's name
}

// The errors of a Reader. After one of them the bytes that follow can't be parsed, and the connection is to be closed.
var (
	ErrUnknownForm   = errors.New("thriftwire: no Thrift message begins so, or not one of the form that is read")
	ErrTooLong       = errors.New("thriftwire: the message is too long")
	ErrTooDeep       = errors.New("thriftwire: the message is nested too deep")
	ErrTooManyValues = errors.New("thriftwire: the message has too many values")
	ErrMalformed     = errors.New("thriftwire: the message breaks the protocol")
	ErrTrailingBytes = errors.New("thriftwire: the frame holds more than its message")
)

// Value is the value of a field that is an integer, a bool or a string.
type Value struct {
	Number  int64 // 0 or 1 of a bool
	Text    []byte
	IsText  bool
	Present bool
}

// ApplicationException is the body of a message of kind Exception.
type ApplicationException struct {
	Type    int32 // one of the Type constants, or an application's own
	Message string
}

// The types of an ApplicationException that the Apache Thrift project defines.
const (
	TypeUnknown        int32 = 0
	TypeUnknownMethod  int32 = 1
	TypeBadMessageType int32 = 2
	TypeWrongMethod    int32 = 3
	TypeBadSequence    int32 = 4
	TypeMissingResult  int32 = 5
	TypeInternalError  int32 = 6
	TypeProtocolError  int32 = 7
)
