package accesslog

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/cluster"
	"pinelb.example/pinelb/internal/config"
	"pinelb.example/pinelb/internal/stream"
)

// nameRetention is how long a host that has gone keeps its name here beyond the longest deadline: streams that it
// had a part in may still be open.
const nameRetention = time.Minute

// Recorder writes a record. It is a stream.Observer and a cluster.Observer, and never keeps either waiting.
type Recorder struct {
	Open func() int // how many streams are not over, asked at Close; nil: not counted

	start         time.Time
	nameRetention time.Duration // the names of hosts that have gone
	out           io.Writer
	log           zerolog.Logger
	queue         *queue

	mu      sync.RWMutex
	eras    []configEra // whose classes streams may still have; the last one is in force
	hosts   map[balance.EndpointID]endpoint
	hasList bool // there has been a list
}

// era is a configuration, and when another one took its place.
type configEra struct {
	*config.Config
	replacedAt time.Duration
}

type endpoint struct {
	cluster.Member
	removedAt time.Duration // when it went; 0 while it is there
}

// New returns a recorder for the sidecar of that configuration. Where the record goes to the log, log is that:
// the lines of the log itself then have to go through Log, or both would break each other up.
func New(c *config.Config, o *config.AccessLog, log io.Writer) *Recorder {
	r := &Recorder{start: time.Now(), nameRetention: nameRetention, out: log, hosts: map[balance.EndpointID]endpoint{}}
	r.setConfigLocked(c)
	var s sink = &fileSink{path: o.Destination, maxBytes: int64(o.MaxBytes) / 2}
	if o.ToStderr() {
		s = &logSink{out: log}
	}
	r.queue = newQueue(s, o.MaxLinesPerSecond, r.preamble, r.since, r.reportFault)
	if o.ToStderr() {
		r.out = r.queue
	}
	return r
}

// SetConfig has the streams that follow stand under another configuration's header. Streams of a class that it lacks may be
// under way, so that its predecessor's still stands before it for a while.
func (r *Recorder) SetConfig(c *config.Config) {
	r.mu.Lock()
	r.setConfigLocked(c)
	r.mu.Unlock()
	r.queue.requestPreamble()
}

// use takes over a configuration; the caller holds the lock, or is alone.
func (r *Recorder) setConfigLocked(c *config.Config) {
	now := r.since()
	if n := len(r.eras); n > 0 {
		r.eras[n-1].replacedAt = now
		r.eras = slices.DeleteFunc(r.eras, func(s configEra) bool { return now-s.replacedAt > r.nameRetention })
	}
	r.eras = append(r.eras, configEra{Config: c})
	for i := range c.Settings.Classes {
		r.nameRetention = max(r.nameRetention, nameRetention+c.Settings.Classes[i].Deadline)
	}
}

// Log is where the log's own lines are to be written. Writing to it never waits where the record goes to the
// log: lines that the log does not take in time are lost and counted.
func (r *Recorder) Log() io.Writer { return r.out }

// Start begins to write. Faults of the file are told to log.
func (r *Recorder) Start(log zerolog.Logger) {
	r.log = log
	go r.queue.run()
}

// Close writes what waits and ends the recorder, which takes nothing from then on; streams that are not over are
// counted as lost. It returns an error after 0.2 s of a log or file that is blocked.
func (r *Recorder) Close() error {
	open := 0
	if r.Open != nil {
		open = r.Open()
	}
	return r.queue.close(open)
}

// Ended records a stream.
func (r *Recorder) Ended(l *stream.Life) {
	line := buffers.Get().(*[]byte)
	r.mu.RLock()
	*line = appendStream((*line)[:0], r.start, l, r.endpointID)
	r.mu.RUnlock()
	r.queue.addStream(*line)
	buffers.Put(line)
}

var buffers = sync.Pool{New: func() any { b := make([]byte, 0, 256); return &b }}

// Listed records a list of discovery's.
func (r *Recorder) Listed(kind balance.ListKind, members []cluster.Member) {
	now := r.since()
	r.mu.Lock()
	listed := map[balance.EndpointID]bool{}
	for _, m := range members {
		if m.State != balance.Gone {
			r.hosts[m.Endpoint] = endpoint{Member: m}
		}
		listed[m.Endpoint] = m.State != balance.Gone
	}
	for id, h := range r.hosts {
		there, named := listed[id]
		switch {
		case h.removedAt > 0 && now-h.removedAt > r.nameRetention:
			delete(r.hosts, id)
		case h.removedAt == 0 && !there && (named || kind != balance.ListDelta):
			h.removedAt = now
			r.hosts[id] = h
		}
	}
	r.hasList = true
	r.mu.Unlock()
	if kind != balance.ListDelta || len(members) > 0 { // a watch that ran out has no news
		r.queue.addList(appendCluster(nil, now, ListKind(kind), members))
	}
}

func (r *Recorder) since() time.Duration { return time.Since(r.start) }

// name is a host's id; the caller holds the lock.
func (r *Recorder) endpointID(id balance.EndpointID) string {
	if h, known := r.hosts[id]; known {
		return h.ID
	}
	return fmt.Sprint("#", id) // by faulty decisions
}

// preamble appends the header and the hosts that are there.
func (r *Recorder) preamble(b []byte) []byte {
	r.mu.RLock()
	defer r.mu.RUnlock()
	now := r.since()
	for i, s := range r.eras {
		if i == len(r.eras)-1 || now-s.replacedAt <= r.nameRetention {
			b = appendStart(b, r.start, s.Config)
		}
	}
	if !r.hasList {
		return b
	}
	there := make([]cluster.Member, 0, len(r.hosts))
	for _, h := range r.hosts {
		if h.removedAt == 0 {
			there = append(there, h.Member)
		}
	}
	slices.SortFunc(there, func(a, b cluster.Member) int { return cmp.Compare(a.ID, b.ID) })
	return appendCluster(b, r.since(), ListCurrent, there)
}

// fault tells the log that the record can't be written, and with nil that it can be again.
func (r *Recorder) reportFault(err error) {
	if err != nil {
		r.log.Warn().Err(err).Msg("the record is not written")
	} else {
		r.log.Info().Msg("the record is written again")
	}
}
