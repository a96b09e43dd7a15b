package accesslog

import (
	"bytes"
	"errors"
	"sync"
	"time"
)

const (
	maxQueueBytes      = 256 << 10              // of pending lines
	maxLogBytes        = 64 << 10               // in addition, for the log's own lines
	writeInterval      = 20 * time.Millisecond  // between two writes, so that one has many lines
	retryInterval      = time.Second            // after a sink has failed
	lossReportInterval = time.Second            // between two lines about losses
	closeTimeout       = 200 * time.Millisecond // of close, for a sink that is blocked
)

var errSinkBlocked = errors.New("record: the log or file did not take the last lines in time")

// queue passes lines to its goroutine, run, which writes them. Its callers never wait for the sink: lines beyond the bounds are
// counted and left out.
type queue struct {
	sink      sink
	perSecond int                   // lines of streams
	preamble  func(b []byte) []byte // the beginning of a sink: the header and the list of endpoints
	now       func() time.Duration  // since the start
	onFault   func(err error)       // called when the sink fails, and with nil when it works again
	wake      chan struct{}         // has a value when there is work
	closing   chan struct{}
	done      chan struct{} // closed when run has ended

	mu            sync.Mutex
	pending       []byte // complete lines
	needsPreamble bool   // the sink lacks the preamble, or a list
	closed        bool
	currentSecond time.Duration // of the last line of a stream
	linesInSecond int           // of streams, in that second
	lost          Loss          // not reported yet; From is the first one's time

	// Owned by run.
	spare      []byte // swapped with pending
	failed     bool
	retryAt    time.Duration // after a failure
	reportedAt time.Duration // when losses were last reported
}

func newQueue(s sink, perSecond int, preamble func([]byte) []byte, since func() time.Duration, fault func(error)) *queue {
	q := &queue{sink: s, perSecond: perSecond, preamble: preamble, now: since, onFault: fault, needsPreamble: true,
		wake: make(chan struct{}, 1), closing: make(chan struct{}), done: make(chan struct{}), reportedAt: -lossReportInterval}
	q.wake <- struct{}{} // the preamble waits
	return q
}

// addStream takes a stream's line.
func (q *queue) addStream(line []byte) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if now := q.now().Truncate(time.Second); now != q.currentSecond {
		q.currentSecond, q.linesInSecond = now, 0
	}
	if q.linesInSecond++; q.linesInSecond > q.perSecond {
		q.countLost(LostLines{Rate: 1})
	} else if !q.add(line, maxQueueBytes) {
		q.countLost(LostLines{Sink: 1})
	}
}

// addList takes the line of a list of endpoints. Where it is lost the preamble is written again.
func (q *queue) addList(line []byte) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.needsPreamble = !q.add(line, maxQueueBytes) || q.needsPreamble
}

// requestPreamble has the preamble written again, before what follows.
func (q *queue) requestPreamble() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.needsPreamble = true
	q.add(nil, maxQueueBytes)
}

// Write takes a line of the log.
func (q *queue) Write(line []byte) (int, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.add(line, maxQueueBytes+maxLogBytes) {
		q.countLost(LostLines{Log: 1})
	}
	return len(line), nil
}

// add takes a line if there is room; the caller holds mu.
func (q *queue) add(line []byte, maxBytes int) bool {
	if q.closed || len(q.pending)+len(line) > maxBytes {
		return false
	}
	q.pending = append(q.pending, line...)
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return true
}

// countLost counts lines that are lost; the caller holds mu.
func (q *queue) countLost(n LostLines) {
	if q.lost.LostLines == (LostLines{}) {
		q.lost.From = q.now()
	}
	q.lost.add(n)
}

// close ends run once it has written the pending lines; open streams are counted as lost. It waits for a blocked sink for
// closeTimeout at most.
func (q *queue) close(open int) error {
	q.mu.Lock()
	q.countLost(LostLines{Open: open})
	q.closed = true
	q.mu.Unlock()
	close(q.closing)
	timeout := time.NewTimer(closeTimeout)
	defer timeout.Stop()
	select {
	case <-q.done:
		return nil
	case <-timeout.C:
		return errSinkBlocked
	}
}

// run writes what is pending until close.
func (q *queue) run() {
	defer close(q.done)
	pause := time.NewTimer(0)
	defer pause.Stop()
	for closing := false; !closing; {
		select {
		case <-q.wake:
		case <-q.closing:
			closing = true
		}
		q.flush(closing)
		pause.Reset(writeInterval)
		select {
		case <-pause.C:
		case <-q.closing: // the next iteration handles it
		}
	}
	q.sink.close()
}

// flush writes what is pending. What the sink doesn't accept is lost, and so is what comes before it is tried again.
func (q *queue) flush(last bool) {
	now := q.now()
	q.mu.Lock()
	batch, needsPreamble, lost := q.pending, q.needsPreamble, Loss{}
	q.pending, q.needsPreamble = q.spare[:0], false
	if q.lost.LostLines != (LostLines{}) && (last || now-q.reportedAt >= lossReportInterval) {
		lost, q.lost, q.reportedAt = q.lost, Loss{}, now
		lost.Until = now
	}
	q.mu.Unlock()
	q.spare = batch
	if q.failed && now < q.retryAt && !last {
		q.restore(batch, lost)
		return
	}
	rest, err := q.write(batch, needsPreamble, lost)
	if err != nil {
		q.restore(rest, lost)
		q.retryAt = now + retryInterval
	}
	if failed := err != nil; failed != q.failed {
		q.failed = failed
		q.onFault(err)
	}
}

// write writes a batch, with the preamble and the losses that are due before it. It returns the lines that were not written
// completely.
func (q *queue) write(batch []byte, needsPreamble bool, lost Loss) ([]byte, error) {
	text, n := batch, 0
	for range 2 { // a full file is replaced by another one, which begins with the preamble
		isNew, err := q.sink.ready()
		if err != nil {
			return text, err
		}
		var head []byte
		if isNew || needsPreamble {
			head = q.preamble(head)
		}
		if lost.LostLines != (LostLines{}) {
			head = appendLost(head, lost)
		}
		if text = batch; len(head) > 0 {
			text = append(head, batch...)
		}
		if n, err = q.sink.write(text); !errors.Is(err, errFull) {
			return text[bytes.LastIndexByte(text[:n], '\n')+1:], err
		}
	}
	return text, errFull
}

// restore counts the lines that were not written, and keeps the losses that were not reported.
func (q *queue) restore(lines []byte, lost Loss) {
	var n LostLines
	for line := range bytes.Lines(lines) {
		switch {
		case bytes.HasPrefix(line, []byte(prefix+kindStream)):
			n.Sink++
		case !bytes.HasPrefix(line, []byte(prefix)):
			n.Log++
		}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.needsPreamble = true
	q.countLost(n)
	if lost.LostLines != (LostLines{}) {
		q.lost.add(lost.LostLines)
		q.lost.From = lost.From
	}
}
