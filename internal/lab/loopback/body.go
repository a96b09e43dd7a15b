package loopback

import (
	"bytes"
	"encoding/binary"
	"math/rand/v2"
	"strconv"
	"strings"
)

// The body of a response begins with the request's transaction id, the endpoint and the request's number; the rest is drawn from
// these and the length, so that a body with a byte changed, added or left out fails verifyBody.
const (
	bodyHeaderSize = 16 // bytes: 8 of the id, 4 of the endpoint, 4 of the number
	minBodySize    = bodyHeaderSize + 8
)

// requestPath is the path of a request: its class, and its index in the plan.
func requestPath(class string, request int) string { return "/" + class + "/" + strconv.Itoa(request) }

// parseRequestPath reads the index in the plan. The caller checks that there is such a request, and its class.
func parseRequestPath(path string) (request int, ok bool) {
	slash := strings.LastIndexByte(path, '/')
	if slash < 1 {
		return 0, false
	}
	request, err := strconv.Atoi(path[slash+1:])
	return request, err == nil && request >= 0
}

// responseBody is the body of an endpoint's 200 for its request of that number with a transaction id, of size bytes or minBodySize,
// whichever is more.
func responseBody(transactionID uint64, endpoint, number, size int) []byte {
	body := make([]byte, 0, max(size, minBodySize)+7)
	body = binary.BigEndian.AppendUint64(body, transactionID)
	body = binary.BigEndian.AppendUint32(body, uint32(endpoint))
	body = binary.BigEndian.AppendUint32(body, uint32(number))
	size = max(size, minBodySize)
	fill := rand.NewPCG(transactionID, uint64(uint32(endpoint))<<32^uint64(uint32(number))^uint64(size)<<16)
	for len(body) < size {
		body = binary.LittleEndian.AppendUint64(body, fill.Uint64())
	}
	return body[:size]
}

// verifyBody returns the endpoint that made a body; false if it is not a complete body for this transaction id.
func verifyBody(transactionID uint64, body []byte) (endpoint int, ok bool) {
	if len(body) < minBodySize {
		return -1, false
	}
	endpoint = int(binary.BigEndian.Uint32(body[8:]))
	number := int(binary.BigEndian.Uint32(body[12:]))
	if !bytes.Equal(body, responseBody(transactionID, endpoint, number, len(body))) {
		return -1, false
	}
	return endpoint, true
}
