package thriftwire

import "encoding/binary"

// The field ids of a TApplicationException.
const (
	exceptionMessage int16 = 1
	exceptionType    int16 = 2
)

// AppendException appends a message of kind Exception with h's form, name and sequence id. An empty message is
// left out, as apache/thrift does.
func AppendException(b []byte, h Head, e ApplicationException) []byte {
	h.Kind = Exception
	b, start := appendHead(b, h)
	if h.Form.Encoding == Compact {
		delta := byte(exceptionType)
		if e.Message != "" {
			b = append(b, byte(exceptionMessage)<<4|compactString)
			b = binary.AppendUvarint(b, uint64(len(e.Message)))
			b = append(b, e.Message...)
			delta -= byte(exceptionMessage)
		}
		b = append(b, delta<<4|compactI32)
		b = binary.AppendUvarint(b, uint64(uint32(e.Type<<1)^uint32(e.Type>>31)))
	} else {
		if e.Message != "" {
			b = append(b, typeString, 0, byte(exceptionMessage))
			b = binary.BigEndian.AppendUint32(b, uint32(len(e.Message)))
			b = append(b, e.Message...)
		}
		b = append(b, typeI32, 0, byte(exceptionType))
		b = binary.BigEndian.AppendUint32(b, uint32(e.Type))
	}
	return closeFrame(append(b, typeStop), start, h)
}

// ParseException parses the body of a message of kind Exception. As in apache/thrift, fields that are missing or of another
// type are empty and TypeUnknown, and other fields are skipped. The error is ErrMalformed.
func ParseException(e Encoding, body []byte) (ApplicationException, error) {
	message, err := findLast(e, body, exceptionMessage, 1<<typeString)
	if err != nil {
		return ApplicationException{}, err
	}
	number, err := findLast(e, body, exceptionType, 1<<typeI32)
	if err != nil {
		return ApplicationException{}, err
	}
	return ApplicationException{
		Type:    int32(number.value(e).Number),
		Message: string(message.value(e).Text),
	}, nil
}
