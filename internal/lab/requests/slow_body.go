package requests

import (
	"io"
	"sync"
	"time"

	"pinelb.example/pinelb/internal/lab/machines"
)

// slowBody is the body of a request in pieces, with a pause before each. The client's transport reads it, on a goroutine of its own.
type slowBody struct {
	recorder *recorder
	pieces   []string
	pause    time.Duration

	mu   sync.Mutex
	next int
	sent time.Duration // when the end was read; 0: it was not
}

func (c *client) newSlowBody(request *Request) *slowBody {
	text := bodyOf(request.ID, request.BodyBytes)
	b := &slowBody{recorder: c.recorder, pause: machines.Between(c.random, minPiecePause, maxPiecePause)}
	length := len(text)/slowBodyPieces + 1
	for at := 0; at < len(text); at += length {
		b.pieces = append(b.pieces, text[at:min(at+length, len(text))])
	}
	return b
}

// Read returns the next piece after a pause. A piece fits into any buffer that a transport reads with.
func (b *slowBody) Read(buffer []byte) (int, error) {
	time.Sleep(b.pause)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.next == len(b.pieces) {
		b.sent = b.recorder.now()
		return 0, io.EOF
	}
	n := copy(buffer, b.pieces[b.next])
	b.pieces[b.next] = b.pieces[b.next][n:]
	if b.pieces[b.next] == "" {
		b.next++
	}
	return n, nil
}

// sentAt returns when the end was read; 0: it was not.
func (b *slowBody) sentAt() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sent
}
