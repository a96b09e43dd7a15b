package overload

import (
	"errors"
	"io"
)

const (
	firstBodyBytes   = 64 << 10 // size up to which a body is allocated at once by its announced length, so that an announcement takes no memory
	unknownBodyBytes = 4 << 10  // first size of a body whose length isn't announced
)

// ErrNoRoom reports that a body doesn't fit beside what others hold. Its request has not run.
var ErrNoRoom = errors.New("overload: the bodies of the requests in progress are too large together")

// ReadBody reads a body, for which it reserves bytes in the connection's account as it grows. It stops one byte after maxBytes, so that the caller detects a
// larger body; 0: no bound. announced is the length that the client has told; 0 or less: none. Errors are ErrNoRoom, io.ErrUnexpectedEOF if the
// body ended before its announced length, or those of the reader. After a nil error the request counts as received.
func (c *Conn) ReadBody(reader io.Reader, announced, maxBytes int64) ([]byte, error) {
	if maxBytes > 0 {
		reader = io.LimitReader(reader, maxBytes+1)
	}
	size := int64(unknownBodyBytes)
	if announced > 0 {
		size = min(firstBodyBytes, announced)
	}
	body, err := c.grow(nil, size)
	for err == nil {
		var n int
		n, err = reader.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		isWhole := announced > 0 && int64(len(body)) == announced
		if isWhole || err == io.EOF {
			return c.endBody(body, announced)
		}
		if err == nil && len(body) == cap(body) {
			body, err = c.grow(body, nextBodySize(announced, int64(cap(body))))
		}
	}
	return body, err
}

// endBody returns a body that has ended, and an error if that was before its announced length.
func (c *Conn) endBody(body []byte, announced int64) ([]byte, error) {
	if announced > 0 && int64(len(body)) < announced {
		return body, io.ErrUnexpectedEOF
	}
	c.MarkReceived()
	return body, nil
}

// nextBodySize returns the size to grow a full body to: twice its present one, but no more than was announced.
func nextBodySize(announced, size int64) int64 {
	if announced > 0 {
		return min(2*size, announced)
	}
	return 2 * size
}

// grow returns a copy of a body with a larger capacity, for which it reserves bytes.
func (c *Conn) grow(body []byte, size int64) ([]byte, error) {
	if !c.Reserve(size - int64(cap(body))) {
		return body, ErrNoRoom
	}
	grown := make([]byte, len(body), size)
	copy(grown, body)
	return grown, nil
}
