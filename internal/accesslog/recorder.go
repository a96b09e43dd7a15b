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

// nameRetention is how long the name of a removed endpoint is kept, beyond the longest deadline: streams with attempts at it
// may still be open.
const nameRetention = time.Minute

// Recorder records streams and lists of endpoints. It implements stream.Observer and cluster.Observer, and never makes them
// wait.
type Recorder struct {
	Open func() int // called by Close: how many streams are open; nil: they aren't counted

	start         time.Time
	nameRetention time.Duration // of removed endpoints
	out           io.Writer
	log           zerolog.Logger
	queue         *queue

	mu      sync.RWMutex
	eras    []configEra // of which streams may still have classes; the last one is in force
	hosts   map[balance.EndpointID]endpoint
	hasList bool // a list was received
}

// configEra is a configuration, and when another one replaced it.
type configEra struct {
	*config.Config
	replacedAt time.Duration
}

type endpoint struct {
	cluster.Member
	removedAt time.Duration // 0: it is there
}

// New returns a recorder for the sidecar with that configuration. Where the lines go to the log, the parameter log is that log:
// its own lines then have to go through Log, or both would interrupt each other.
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

// SetConfig has the following streams recorded under another configuration's header. Streams of classes that it lacks may still
// be open, so that its predecessor's header is written before it for a while.
func (r *Recorder) SetConfig(c *config.Config) {
	r.mu.Lock()
	r.setConfigLocked(c)
	r.mu.Unlock()
	r.queue.requestPreamble()
}

// setConfigLocked is SetConfig's change of state; the caller holds mu, or is alone.
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

// Log returns the writer for the log's own lines. Writing to it never waits where the lines of streams go to the log, too:
// lines that the log doesn't accept in time are lost and counted.
func (r *Recorder) Log() io.Writer { return r.out }

// Start starts to write. Faults of the file are logged.
func (r *Recorder) Start(log zerolog.Logger) {
	r.log = log
	go r.queue.run()
}

// Close writes the pending lines and ends the recorder; open streams are counted as lost. It returns an error if the output
// blocks for 0.2 s.
func (r *Recorder) Close() error {
	open := 0
	if r.Open != nil {
		open = r.Open()
	}
	return r.queue.close(open)
}

// Ended records a stream. It implements stream.Observer.
func (r *Recorder) Ended(l *stream.Record) {
	line := buffers.Get().(*[]byte)
	r.mu.RLock()
	*line = appendStream((*line)[:0], r.start, l, r.endpointID)
	r.mu.RUnlock()
	r.queue.addStream(*line)
	buffers.Put(line)
}

var buffers = sync.Pool{New: func() any { b := make([]byte, 0, 256); return &b }}

// Listed records a list from discovery. It implements cluster.Observer.
func (r *Recorder) Listed(kind balance.ListKind, members []cluster.Member) {
	now := r.since()
	r.mu.Lock()
	listed := map[balance.EndpointID]bool{}
	for _, m := range members {
		if m.State != balance.Removed {
			r.hosts[m.Endpoint] = endpoint{Member: m}
		}
		listed[m.Endpoint] = m.State != balance.Removed
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
	if kind != balance.ListDelta || len(members) > 0 { // a long poll that timed out has no change
		r.queue.addList(appendCluster(nil, now, ListKind(kind), members))
	}
}

func (r *Recorder) since() time.Duration { return time.Since(r.start) }

// endpointID returns an endpoint's id; the caller holds mu.
func (r *Recorder) endpointID(id balance.EndpointID) string {
	if h, known := r.hosts[id]; known {
		return h.ID
	}
	return fmt.Sprint("#", id) // a fault of the engine
}

// preamble appends the header and the endpoints that are there.
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

// reportFault logs that lines can't be written, and with nil that they can be again.
func (r *Recorder) reportFault(err error) {
	if err != nil {
		r.log.Warn().Err(err).Msg("the record is not written")
	} else {
		r.log.Info().Msg("the record is written again")
	}
}
