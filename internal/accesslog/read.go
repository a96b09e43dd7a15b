package accesslog

import (
	"bufio"
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/tidwall/gjson"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/cluster"
	"pinelb.example/pinelb/internal/config"
	"pinelb.example/pinelb/internal/stream"
)

const (
	maxLineBytes       = 64 << 20 // of a line: a list of endpoints may be long
	maxLinePrefixBytes = 256      // that a log collector may put before a line
)

// Read reads a recording, or the log that it is part of, or several one after the other; rotated files have to come in their
// order. A line that is cut off is counted and left out. An invalid line is an error that names the line and the key, and so
// are a recording without a header, one of another version, and a stream of a class that its header's settings lack.
func Read(in io.Reader) (*Recording, error) {
	r := &reader{out: &Recording{}}
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		r.n++
		if r.out.Truncated { // the cut line wasn't the last one
			r.out.Truncated = false
			r.out.Skipped++
		}
		if err := r.line(lines.Bytes()); err != nil {
			return nil, fmt.Errorf("record: line %d: %w", r.n, err)
		}
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("record: line %d: %w", r.n+1, err)
	}
	if r.run == nil {
		return nil, fmt.Errorf("record: no header in %d lines: nothing was recorded", r.n)
	}
	for _, run := range r.out.Runs { // lists of one time stay in the order in which they were written, and apply
		slices.SortStableFunc(run.Lists, func(a, b EndpointList) int { return cmp.Compare(a.At, b.At) })
		slices.SortStableFunc(run.Streams, func(a, b Stream) int { return cmp.Compare(a.Arrival, b.Arrival) })
	}
	slices.SortStableFunc(r.out.Runs, func(a, b *Run) int { return a.Header.Start.Compare(b.Header.Start) })
	return r.out, nil
}

type reader struct {
	out *Recording
	run *Run // of the last header
	n   int  // lines so far
}

func (r *reader) line(b []byte) error {
	// A log collector may put its time or a name before each line.
	if at := bytes.Index(b[:min(len(b), maxLinePrefixBytes)], []byte(prefix)); at > 0 && b[0] != '{' {
		b = b[at:]
	}
	switch {
	case !bytes.HasPrefix(b, []byte(prefix)):
		if len(b) > 0 && bytes.HasPrefix([]byte(prefix), b) {
			r.out.Truncated = true
		} else if len(b) > 0 {
			r.out.Other++
		}
		return nil
	case !gjson.ValidBytes(b):
		r.out.Truncated = true
		return nil
	}
	f := &lineFields{json: gjson.ParseBytes(b)}
	kind := f.text("rec")
	if kind != kindStart && r.run == nil {
		return errors.New("it stands before any header")
	}
	switch kind {
	case kindStart:
		return r.start(f)
	case kindCluster:
		r.run.Lists = append(r.run.Lists, readCluster(f))
	case kindStream:
		r.run.Streams = append(r.run.Streams, readStream(f, r.run.Header.Settings.ClassNames))
	case kindLost:
		r.run.Losses = append(r.run.Losses, Loss{From: f.ms("t"), Until: f.ms("until"), LostLines: LostLines{
			Rate: f.count("rate"), Sink: f.count("sink"), Log: f.count("log"), Open: f.count("open")}})
	default:
		return fmt.Errorf("rec: %q is unknown", kind)
	}
	return f.err
}

// start takes a header. One that repeats a run's, as each file has it, goes on with that run; its settings may have changed
// meanwhile, and classes that they lack stay known.
func (r *reader) start(f *lineFields) error {
	if v := f.json.Get("v"); v.Num != Version {
		return fmt.Errorf("v: version %s is unknown, %d is read", cmp.Or(v.Raw, "none"), Version)
	}
	h := Header{Name: f.text("name"), Start: time.UnixMilli(0).Add(f.ms("at")).UTC(), Limits: config.Limits{
		Cores: f.number("cores"), MemoryMB: f.count("memory_mb"), Sockets: f.count("sockets")},
		Site: f.json.Get("settings").Raw}
	if f.err != nil {
		return f.err
	}
	var err error
	if h.Settings, err = config.ParseSettings([]byte(h.Site)); err != nil {
		return err
	}
	for _, run := range r.out.Runs {
		if run.Header.Name == h.Name && run.Header.Start.Equal(h.Start) {
			r.run = run
			if h.Site != run.Header.Site {
				h.Settings, err = h.Settings.Renumbered(&run.Header.Settings)
				run.Header.Site, run.Header.Settings = h.Site, h.Settings
			}
			return err
		}
	}
	r.run = &Run{Header: h}
	r.out.Runs = append(r.out.Runs, r.run)
	return nil
}

func readCluster(f *lineFields) EndpointList {
	c := EndpointList{At: f.ms("t"), Kind: ListKind(f.enum("list", lists[:]))}
	for i, v := range f.list("hosts") {
		h := &lineFields{json: v, path: fmt.Sprintf("hosts[%d].", i)}
		c.Hosts = append(c.Hosts, cluster.Member{
			ID: h.text("id"), State: balance.Availability(h.enum("phase", phases[:])), Kind: h.text("kind"),
			Zone: h.text("zone"), Cell: h.count("cell"), Weight: h.number("weight"), UpSince: h.ms("up")})
		f.err = cmp.Or(f.err, h.err)
	}
	return c
}

func readStream(f *lineFields, classes []string) Stream {
	s := Stream{Arrival: f.ms("t"), Class: f.enum("class", classes), TimeLeft: f.ms("left"), Retry: f.flag("again"),
		Body: f.count("body"), Outcome: stream.Outcome(f.enum("end", outcomes[:])), Answered: f.ms("after"),
		RetryAfter: f.ms("retry_after")}
	for i, v := range f.list("tries") {
		parts := v.Array()
		if len(parts) != 4 {
			f.fail(fmt.Sprintf("tries[%d]", i), "must be [host, begin, duration, outcome]")
			break
		}
		a := &lineFields{json: v, path: fmt.Sprintf("tries[%d].", i)}
		s.Attempts = append(s.Attempts, Attempt{Host: a.text("0"), StartedAfter: a.ms("1"), Duration: a.ms("2"),
			Status: balance.Status(a.enum("3", statuses[:]))})
		f.err = cmp.Or(f.err, a.err)
	}
	return s
}
