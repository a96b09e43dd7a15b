package daemon

import (
	"bytes"
	"encoding/json"
	"sync"

	"github.com/rs/zerolog"

	"pinelb.example/pinelb/internal/inflight"
)

const (
	maxMirrorQueue = 2048     // notes that wait; what comes beyond is lost, for no stream waits for the other process
	maxMessageBytes   = 32 << 10 // bytes of a line, about
)

// mirror tells another process of changes, some milliseconds behind them.
type effectMirror struct {
	send func(line []byte)
	log  zerolog.Logger
	wake chan struct{}
	once sync.Once  // of start
	sending sync.Mutex // held while a line is told

	mu      sync.Mutex
	queue    []inflight.Note
	dropped    int
	stopped bool
}

func newEffectMirror(tell func(line []byte), log zerolog.Logger) *effectMirror {
	return &effectMirror{send: tell, log: log, wake: make(chan struct{}, 1)}
}

// note takes a change and never waits.
func (m *effectMirror) enqueue(n inflight.Note) {
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

// start begins to tell, once.
func (m *effectMirror) start() {
	m.once.Do(func() {
		go m.run()
		m.signal()
	})
}

// stop ends it: no line is told once it has returned, for by then there may be another process in the first one's place.
func (m *effectMirror) stop() {
	m.mu.Lock()
	m.stopped, m.queue = true, nil
	m.signal()
	m.mu.Unlock()
	m.sending.Lock() // until the one that is being told is over
	defer m.sending.Unlock()
}

// put tells a line, unless it has been stopped.
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

// words is a line with the first of the notes, and the rest of them. A line is bounded, whatever stands in an id.
func encodeNotes(notes []inflight.Note) (line []byte, rest []inflight.Note) {
	var b bytes.Buffer
	b.WriteString(`{"Notes":[`)
	text := json.NewEncoder(&b)
	text.SetEscapeHTML(false)
	for len(notes) > 0 && b.Len() < maxMessageBytes {
		from := b.Len()
		if err := text.Encode(notes[0]); err != nil || b.Len()-from > maxMessageBytes/2 {
			b.Truncate(from) // of a class whose name has kilobytes
		} else {
			b.Truncate(b.Len() - 1) // the end of the line
			b.WriteByte(',')
		}
		notes = notes[1:]
	}
	return append(bytes.TrimSuffix(b.Bytes(), []byte{','}), "]}"...), notes
}
