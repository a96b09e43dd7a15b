package accesslog

import (
	"bytes"
	"errors"
	"sync"
	"time"
)

const (
	maxQueueBytes      = 256 << 10              // bytes of lines that wait for the sink
	maxLogBytes        = 64 << 10               // bytes more, for the lines of the log itself
	writeInterval      = 20 * time.Millisecond  // between two writes, so that one takes many lines
	retryInterval      = time.Second            // a sink that has failed is tried again
	lossReportInterval = time.Second            // between two lines that tell of losses
	closeTimeout       = 200 * time.Millisecond // a sink that is blocked does not hold up the end beyond this
)

var errSinkBlocked = errors.New("record: the log or file did not take the last lines in time")

// queue hands lines to the one goroutine that writes them, run. Whoever hands them over never waits for the
// sink: what does not fit into the bounds is counted and left out.
type queue struct {
	sink      sink
	perSecond int                   // lines of streams
	preamble  func(b []byte) []byte // what a sink has to begin with: the header and the list of hosts
	now       func() time.Duration  // the start
	onFault   func(err error)       // is told when the sink fails, and with nil when it works again
	wake      chan struct{}         // holds one where there is work
	closing   chan struct{}
	done      chan struct{} // when run has ended

	mu            sync.Mutex
	pending       []byte // whole lines
	needsPreamble bool   // the sink lacks the preamble, or a list
	closed        bool
	currentSecond time.Duration // the last one in which a stream's line came
	linesInSecond int           // of streams in that second
	lost          Loss          // not told yet; From is the first one's time

	// Of run alone.
	spare      []byte // takes turns with wait
	failed     bool
	retryAt    time.Duration // not before, once it has failed
	reportedAt time.Duration // when the last losses were told
}

func newQueue(s sink, perSecond int, preamble func([]byte) []byte, since func() time.Duration, fault func(error)) *queue {
	q := &queue{sink: s, perSecond: perSecond, preamble: preamble, now: since, onFault: fault, needsPreamble: true,
		wake: make(chan struct{}, 1), closing: make(chan struct{}), done: make(chan struct{}), reportedAt: -lossReportInterval}
	q.wake <- struct{}{} // the preamble waits
	return q
}

// stream hands over a stream's line.
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

// list hands over the line of a list of hosts. Where it is lost the whole list is owed.
func (q *queue) addList(line []byte) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.needsPreamble = !q.add(line, maxQueueBytes) || q.needsPreamble
}

// owe has the preamble come again, ahead of what follows.
func (q *queue) requestPreamble() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.needsPreamble = true
	q.add(nil, maxQueueBytes)
}

// Write hands over a line of the log.
func (q *queue) Write(line []byte) (int, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.add(line, maxQueueBytes+maxLogBytes) {
		q.countLost(LostLines{Log: 1})
	}
	return len(line), nil
}

// add takes a line if there is room; the caller holds the lock.
func (q *queue) add(line []byte, most int) bool {
	if q.closed || len(q.pending)+len(line) > most {
		return false
	}
	q.pending = append(q.pending, line...)
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return true
}

// miss counts lines that are lost; the caller holds the lock.
func (q *queue) countLost(n LostLines) {
	if q.lost.LostLines == (LostLines{}) {
		q.lost.From = q.now()
	}
	q.lost.add(n)
}

// close ends run once it has written what waits, so many streams being left out because they are not over. It
// does not wait long for a sink that is blocked.
func (q *queue) close(open int) error {
	q.mu.Lock()
	q.countLost(LostLines{Open: open})
	q.closed = true
	q.mu.Unlock()
	close(q.closing)
	late := time.NewTimer(closeTimeout)
	defer late.Stop()
	select {
	case <-q.done:
		return nil
	case <-late.C:
		return errSinkBlocked
	}
}

// run writes what is handed over until close.
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
		case <-q.closing: // the next round sees it too
		}
	}
	q.sink.close()
}

// flush writes what waits. What the sink does not take is lost, and so is what comes before it is tried again.
func (q *queue) flush(last bool) {
	now := q.now()
	q.mu.Lock()
	batch, owed, lost := q.pending, q.needsPreamble, Loss{}
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
	rest, err := q.write(batch, owed, lost)
	if err != nil {
		q.restore(rest, lost)
		q.retryAt = now + retryInterval
	}
	if failed := err != nil; failed != q.failed {
		q.failed = failed
		q.onFault(err)
	}
}

// write gives the sink a batch, and ahead of it what it lacks. It returns the lines that were not taken whole.
func (q *queue) write(batch []byte, owed bool, lost Loss) ([]byte, error) {
	text, n := batch, 0
	for range 2 { // a file that is full gives way to the next, which begins with the preamble
		fresh, err := q.sink.ready()
		if err != nil {
			return text, err
		}
		var head []byte
		if fresh || owed {
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

// restore counts the lines that the sink did not take, and takes back what it was not told.
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
