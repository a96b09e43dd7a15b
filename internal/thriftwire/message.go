// Package thriftwire reads and writes Thrift messages: the head of each, and where its body ends. It walks a
// body without building it, so that it passes on as it came, byte for byte. It does no I/O; what a peer can
// make it keep or walk is bounded. Source: the Thrift binary and compact protocol specifications of the Apache
// Thrift project (doc/specs), and its framed transport.
package thriftwire

import "errors"

// Encoding is how a message's values are written.
type Encoding uint8

// The encodings.
const (
	Binary    Encoding = iota // strict: the head begins with the version
	OldBinary                 // the head begins with the name's length
	Compact
)

// Form is an encoding and whether each message stands in a frame that tells its length.
type Form struct {
	Encoding Encoding
	Framed   bool
}

// Kind is what a message is.
type Kind uint8

// The kinds, as both encodings number them.
const (
	Call      Kind = 1
	Reply     Kind = 2
	Exception Kind = 3 // its body is a TApplicationException
	Oneway    Kind = 4 // nothing is answered
)

// Head is what stands before a message's body.
type Head struct {
	Form Form
	Kind Kind
	Name string // of the method; multiplexed ones have "service:method"
	Seq  int32
}

// Message is one message. Body is the struct that follows the head, as it came; it may share memory with what
// was read, until the next call of the Reader.
type Message struct {
	Head
	Body []byte
}

// Limits bound what a peer can make a Reader keep and walk.
type Limits struct {
	Message int // bytes of a message, its head included, its frame's length not
	Depth   int // of structs and containers in each other
	Values  int // fields and elements walked in a message, empty ones too
	Name    int // bytes of a method's name
}

// The errors of a Reader. After one of them the bytes that follow mean nothing: the connection is to be closed.
var (
	ErrUnknownForm   = errors.New("thriftwire: no Thrift message begins so, or not one of the form that is read")
	ErrTooLong       = errors.New("thriftwire: the message is too long")
	ErrTooDeep       = errors.New("thriftwire: the message is nested too deep")
	ErrTooManyValues = errors.New("thriftwire: the message has too many values")
	ErrMalformed     = errors.New("thriftwire: the message breaks the protocol")
	ErrTrailingBytes = errors.New("thriftwire: the frame holds more than its message")
)

// Value is a field's value, where it is a number, a flag or a string.
type Value struct {
	Number  int64 // of a bool 0 or 1
	Text    []byte
	IsText  bool
	Present bool
}

// ApplicationException is the body of a message of kind Exception.
type ApplicationException struct {
	Type    int32 // see the Type constants; others are allowed
	Message string
}

// The types that the Apache Thrift project defines.
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
