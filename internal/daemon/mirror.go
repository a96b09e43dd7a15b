package daemon

import (
	"bytes"
	"encoding/json"
	"sync"

	"github.com/rs/zerolog"

	"pinelb.example/pinelb/internal/inflight"
)

const (
	mirrorMost = 2048     // notes that wait; what comes beyond is lost, for no stream waits for the other process
	wordMost   = 32 << 10 // bytes of a line, about
)

// mirror tells another process of changes, some milliseconds behind them.
type mirror struct {
	tell func(line []byte)
	log  zerolog.Logger
	wake chan struct{}
	once sync.Once  // of start
	line sync.Mutex // held while a line is told

	mu      sync.Mutex
	wait    []inflight.Update
	lost    int
	stopped bool
}

func newMirror(tell func(line []byte), log zerolog.Logger) *mirror {
	return &mirror{tell: tell, log: log, wake: make(chan struct{}, 1)}
}

// note takes a change and never waits.
func (m *mirror) note(n inflight.Update) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped || len(m.wait) >= mirrorMost {
		m.lost++
		return
	}
	m.wait = append(m.wait, n)
	m.rouse()
}

func (m *mirror) rouse() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// start begins to tell, once.
func (m *mirror) start() {
	m.once.Do(func() {
		go m.run()
		m.rouse()
	})
}

// stop ends it: no line is told once it has returned, for by then there may be another process in the first one's place.
func (m *mirror) stop() {
	m.mu.Lock()
	m.stopped, m.wait = true, nil
	m.rouse()
	m.mu.Unlock()
	m.line.Lock() // until the one that is being told is over
	defer m.line.Unlock()
}

// put tells a line, unless it has been stopped.
func (m *mirror) put(line []byte) {
	m.line.Lock()
	defer m.line.Unlock()
	m.mu.Lock()
	stopped := m.stopped
	m.mu.Unlock()
	if !stopped {
		m.tell(line)
	}
}

func (m *mirror) run() {
	for range m.wake {
		m.mu.Lock()
		batch, lost, stopped := m.wait, m.lost, m.stopped
		m.wait, m.lost = nil, 0
		m.mu.Unlock()
		if stopped {
			return
		}
		if lost > 0 {
			m.log.Warn().Int("lost", lost).Msg("the other process is not told of some requests")
		}
		for len(batch) > 0 {
			var line []byte
			line, batch = words(batch)
			m.put(line)
		}
	}
}

// words is a line with the first of the notes, and the rest of them. A line is bounded, whatever stands in an id.
func words(notes []inflight.Update) (line []byte, rest []inflight.Update) {
	var b bytes.Buffer
	b.WriteString(`{"Notes":[`)
	text := json.NewEncoder(&b)
	text.SetEscapeHTML(false)
	for len(notes) > 0 && b.Len() < wordMost {
		from := b.Len()
		if err := text.Encode(notes[0]); err != nil || b.Len()-from > wordMost/2 {
			b.Truncate(from) // of a class whose name has kilobytes
		} else {
			b.Truncate(b.Len() - 1) // the end of the line
			b.WriteByte(',')
		}
		notes = notes[1:]
	}
	return append(bytes.TrimSuffix(b.Bytes(), []byte{','}), "]}"...), notes
}
