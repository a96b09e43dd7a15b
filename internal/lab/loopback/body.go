package loopback

import (
	"bytes"
	"encoding/binary"
	"math/rand/v2"
	"strconv"
	"strings"
)

// An answer's body begins with whom it is for and who made it; the rest is drawn from these and its length,
// so that a body with a byte changed, added or left out is told from a whole one.
const (
	bodyHeaderSize = 16 // bytes: id, box, visit
	minBodySize    = bodyHeaderSize + 8
)

// target is the path of a request: its class, as the protocol has it, and its place in the plan.
func requestPath(class string, request int) string { return "/" + class + "/" + strconv.Itoa(request) }

// parseRequestPath reads the place in the plan. The caller checks that there is such a request, and its class.
func parseRequestPath(path string) (request int, ok bool) {
	at := strings.LastIndexByte(path, '/')
	if at < 1 {
		return 0, false
	}
	request, err := strconv.Atoi(path[at+1:])
	return request, err == nil && request >= 0
}

// responseBody is the body of a box's 200 for its nth visit of an id, of size bytes or the fewest that it needs.
func responseBody(txn uint64, box, visit, size int) []byte {
	body := make([]byte, 0, max(size, minBodySize)+7)
	body = binary.BigEndian.AppendUint64(body, txn)
	body = binary.BigEndian.AppendUint32(body, uint32(box))
	body = binary.BigEndian.AppendUint32(body, uint32(visit))
	size = max(size, minBodySize)
	fill := rand.NewPCG(txn, uint64(uint32(box))<<32^uint64(uint32(visit))^uint64(size)<<16)
	for len(body) < size {
		body = binary.LittleEndian.AppendUint64(body, fill.Uint64())
	}
	return body[:size]
}

// verifyBody says which box made a body, and whether it is a whole one for this id.
func verifyBody(txn uint64, body []byte) (box int, ok bool) {
	if len(body) < minBodySize {
		return -1, false
	}
	box = int(binary.BigEndian.Uint32(body[8:]))
	visit := int(binary.BigEndian.Uint32(body[12:]))
	if !bytes.Equal(body, responseBody(txn, box, visit, len(body))) {
		return -1, false
	}
	return box, true
}
