package daemon

import (
	"bytes"
	"encoding/json"
	"sync"

	"github.com/rs/zerolog"

	"pinelb.example/pinelb/internal/inflight"
)

const (
	maxMirrorQueue  = 2048     // notes; those beyond are dropped, for no stream waits for the other process
	maxMessageBytes = 32 << 10 // of a line, about
)

// effectMirror sends changes of effects to another process, some milliseconds behind them. Its goroutine runs from start until
// stop.
type effectMirror struct {
	send    func(line []byte)
	log     zerolog.Logger
	wake    chan struct{}
	once    sync.Once  // of start
	sending sync.Mutex // held while a line is sent

	mu      sync.Mutex
	queue   []inflight.Update
	dropped int
	stopped bool
}

func newEffectMirror(tell func(line []byte), log zerolog.Logger) *effectMirror {
	return &effectMirror{send: tell, log: log, wake: make(chan struct{}, 1)}
}

// enqueue takes a change, and never waits.
func (m *effectMirror) enqueue(n inflight.Update) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped || len(m.queue) >= maxMirrorQueue {
		m.dropped++
		return
	}
	m.queue = append(m.queue, n)
	m.signal()
}

func (m *effectMirror) signal() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// start begins to send, once.
func (m *effectMirror) start() {
	m.once.Do(func() {
		go m.run()
		m.signal()
	})
}

// stop ends the mirror. No line is sent once it has returned, for by then another process may have taken the first one's place.
func (m *effectMirror) stop() {
	m.mu.Lock()
	m.stopped, m.queue = true, nil
	m.signal()
	m.mu.Unlock()
	m.sending.Lock() // waits until the line that is under way has been sent
	defer m.sending.Unlock()
}

// sendUnlessStopped sends a line, unless stop has been called.
func (m *effectMirror) sendUnlessStopped(line []byte) {
	m.sending.Lock()
	defer m.sending.Unlock()
	m.mu.Lock()
	stopped := m.stopped
	m.mu.Unlock()
	if !stopped {
		m.send(line)
	}
}

func (m *effectMirror) run() {
	for range m.wake {
		m.mu.Lock()
		batch, lost, stopped := m.queue, m.dropped, m.stopped
		m.queue, m.dropped = nil, 0
		m.mu.Unlock()
		if stopped {
			return
		}
		if lost > 0 {
			m.log.Warn().Int("lost", lost).Msg("the other process is not told of some requests")
		}
		for len(batch) > 0 {
			var line []byte
			line, batch = encodeNotes(batch)
			m.sendUnlessStopped(line)
		}
	}
}

// encodeNotes returns a line with the first of the notes, and the rest of them. A line is bounded, whatever an id consists of.
func encodeNotes(notes []inflight.Update) (line []byte, rest []inflight.Update) {
	var b bytes.Buffer
	b.WriteString(`{"Notes":[`)
	encoder := json.NewEncoder(&b)
	encoder.SetEscapeHTML(false)
	for len(notes) > 0 && b.Len() < maxMessageBytes {
		start := b.Len()
		if err := encoder.Encode(notes[0]); err != nil || b.Len()-start > maxMessageBytes/2 {
			b.Truncate(start) // a note of a class whose name has kilobytes is dropped
		} else {
			b.Truncate(b.Len() - 1) // the encoder's newline
			b.WriteByte(',')
		}
		notes = notes[1:]
	}
	return append(bytes.TrimSuffix(b.Bytes(), []byte{','}), "]}"...), notes
}
