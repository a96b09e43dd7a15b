package proxy

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
)

// firstBodyBytes is the size up to which a body is allocated at once by its announced length. A longer one grows as it comes, so that a client
// can't take memory by an announcement.
const firstBodyBytes = 64 << 10

// unknownBodyBytes is the first size of a body whose length isn't announced.
const unknownBodyBytes = 4 << 10

// errBodiesFull reports that the bodies of the requests in progress leave no room for another one. The request has not run.
var errBodiesFull = errors.New("proxy: the bodies of the requests in progress are too large together")

// bodyBudget bounds the total size of the bodies of all requests in progress, which stay in memory until the request is answered. It is safe for
// concurrent use.
type bodyBudget struct {
	max  int64 // bytes; 0: unlimited
	used atomic.Int64
}

// reserve counts n more bytes in. It returns false, and does not, if they would exceed the budget.
func (b *bodyBudget) reserve(n int64) bool {
	if used := b.used.Add(n); b.max > 0 && used > b.max {
		b.used.Add(-n)
		return false
	}
	return true
}

func (b *bodyBudget) release(n int64) { b.used.Add(-n) }

// bodyReader reads a request's body within a budget. The caller calls release once the body is not needed any longer.
type bodyReader struct {
	budget   *bodyBudget
	reserved int64 // bytes; the capacity of the body
}

// read reads a body. It stops one byte after maxBody, so that the caller detects a larger body; 0: no bound. It returns errBodiesFull if the budget
// is exceeded.
func (b *bodyReader) read(r *http.Request, maxBody int64) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	var reader io.Reader = r.Body
	if maxBody > 0 {
		reader = io.LimitReader(r.Body, maxBody+1)
	}
	size := int64(unknownBodyBytes)
	if r.ContentLength > 0 {
		size = min(firstBodyBytes, r.ContentLength)
	}
	body, err := b.grow(nil, size)
	for err == nil {
		var n int
		n, err = reader.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		isWhole := r.ContentLength > 0 && int64(len(body)) == r.ContentLength
		if isWhole || err == io.EOF {
			return body, unexpectedEOF(r.ContentLength, len(body))
		}
		if err == nil && len(body) == cap(body) {
			body, err = b.grow(body, b.nextSize(r.ContentLength, int64(cap(body))))
		}
	}
	return body, err
}

// release gives back what the body has reserved.
func (b *bodyReader) release() {
	b.budget.release(b.reserved)
	b.reserved = 0
}

// nextSize returns the size to grow a full body to: twice its present one, but no more than was announced.
func (b *bodyReader) nextSize(announced, size int64) int64 {
	if announced > 0 {
		return min(2*size, announced)
	}
	return 2 * size
}

// grow returns a copy of a body with a larger capacity, for which it reserves bytes.
func (b *bodyReader) grow(body []byte, size int64) ([]byte, error) {
	added := size - int64(cap(body))
	if !b.budget.reserve(added) {
		return body, errBodiesFull
	}
	b.reserved += added
	grown := make([]byte, len(body), size)
	copy(grown, body)
	return grown, nil
}

// unexpectedEOF returns an error if a body ended before its announced length.
func unexpectedEOF(announced int64, length int) error {
	if announced > 0 && int64(length) < announced {
		return io.ErrUnexpectedEOF
	}
	return nil
}
