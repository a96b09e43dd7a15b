package dissemination

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
)

const (
	minCompressedBytes = 1 << 10  // what is smaller travels as it is
	maxInflatedBytes   = 32 << 20 // of one blob: as much as a body of the transport
)

// ErrBlob is the error of a blob that can't be inflated, or is larger than any configuration may be.
var ErrBlob = errors.New("dissemination: invalid blob")

// Blob is an encoded change or document, compressed by DEFLATE (RFC 1951) where it is large: a thousand routes take 14 KB in place of
// 260 KB, on links of 10 Mbit/s and in the memory of each router.
type Blob struct {
	Data []byte `cbor:"1,keyasint"`
	Size int    `cbor:"2,keyasint,omitempty"` // bytes that Data inflates to; 0: Data is not compressed
}

// newBlob compresses a text if that is worth it. It retains the text where it is not.
func newBlob(text []byte) Blob {
	if len(text) < minCompressedBytes {
		return Blob{Data: text}
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is valid
	}
	_, _ = w.Write(text) // a buffer takes everything
	_ = w.Close()
	if out.Len() >= len(text) {
		return Blob{Data: text}
	}
	return Blob{Data: out.Bytes(), Size: len(text)}
}

// open returns the text. Its error wraps ErrBlob.
func (b Blob) inflate() ([]byte, error) {
	if b.Size == 0 {
		return b.Data, nil
	}
	if b.Size < 0 || b.Size > maxInflatedBytes {
		return nil, fmt.Errorf("%w: of %d bytes", ErrBlob, b.Size)
	}
	text := make([]byte, b.Size)
	r := flate.NewReader(bytes.NewReader(b.Data))
	if _, err := io.ReadFull(r, text); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBlob, err)
	}
	return text, nil
}

// inflatedSize is the length of the text.
func (b Blob) inflatedSize() int { return max(b.Size, len(b.Data)) }

// inflateAll returns the texts of blobs. Its error wraps ErrBlob.
func inflateAll(blobs []Blob) ([][]byte, error) {
	texts := make([][]byte, 0, len(blobs))
	for _, b := range blobs {
		text, err := b.inflate()
		if err != nil {
			return nil, err
		}
		texts = append(texts, text)
	}
	return texts, nil
}
