package coordinator

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"pinelb.example/pinelb/internal/fleet/register"
	"pinelb.example/pinelb/internal/fleet/replication"
)

const (
	acceptorTickInterval = 100 * time.Millisecond
	maxBatchedMessages   = 256 // further queued messages that are handled with the first one and share its sync
	retryInterval        = 200 * time.Millisecond
)

// AcceptorStatus is a copy of the acceptor's state for other goroutines.
type AcceptorStatus struct {
	Self            replication.Replica
	Config          register.Config
	ReadyEpoch      uint64 // the newest epoch in which the acceptor is ready
	StoredRegisters int    // number of registers
	StoredBytes     int    // size of the registers
	Durable         bool   // the identity in Self may be sent to other machines: it is on disk, or the store is in memory only
}

// acceptorLoop runs the machine's acceptor and writes its state to disk. The changes of a batch of messages are made
// durable by one sync.
type acceptorLoop struct {
	service  *Service
	inbox    chan receivedMessage
	store    *store
	acceptor *register.Acceptor
	outgoing []register.Outgoing // of the current batch: sent after its changes are durable
	changed  []register.Stored   // of the current batch: not written yet

	mu        sync.Mutex
	published AcceptorStatus
}

func newAcceptorLoop(s *Service, store *store) *acceptorLoop {
	l := &acceptorLoop{service: s, inbox: make(chan receivedMessage, inboxSize), store: store}
	l.acceptor = store.build(s.options.Clock(), s.options.State)
	l.publish(false)
	return l
}

func (l *acceptorLoop) deliver(m receivedMessage) { l.service.enqueue(l.inbox, m) }

func (l *acceptorLoop) status() AcceptorStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.published
}

func (l *acceptorLoop) publish(durable bool) {
	h := l.acceptor.HardState()
	status := AcceptorStatus{
		Self: h.Self, Config: h.Config, ReadyEpoch: h.ReadyEpoch, StoredRegisters: l.acceptor.RegisterCount(),
		StoredBytes: l.acceptor.Size(), Durable: durable,
	}
	l.mu.Lock()
	previous := l.published
	l.published = status
	l.mu.Unlock()
	logAcceptorChange(l.service.options.Log, &previous, &status)
}

func (l *acceptorLoop) run(ctx context.Context) {
	defer l.store.close()
	if !l.writeIdentity(ctx) {
		return
	}
	ticker := time.NewTicker(acceptorTickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-l.inbox:
			l.handleBatch(ctx, m)
		case <-ticker.C:
			l.step(ctx, l.acceptor.Tick(l.service.options.Clock()))
			l.flush(ctx)
			l.publishSize()
		}
	}
}

// publishSize publishes the size of the registers, which falls without a write when events are no longer kept.
func (l *acceptorLoop) publishSize() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.published.StoredBytes = l.acceptor.Size()
}

// writeIdentity makes the acceptor's identity and state durable. It retries until the write succeeds, and returns false if ctx
// ends before that. At the start, no message is sent unless it succeeds; after a failed write, see recover.
func (l *acceptorLoop) writeIdentity(ctx context.Context) bool {
	for l.store.log != nil {
		err := l.store.replace(l.acceptor.HardState(), l.acceptor.Snapshot(l.service.options.Clock()))
		if err == nil {
			break
		}
		l.service.Counters.FailedSyncs.Add(1)
		l.service.options.Log.Warn("can't write the log of the registers", zap.Error(err))
		if !sleep(ctx, retryInterval) {
			return false
		}
	}
	l.publish(true)
	return true
}

// handleBatch handles a message and those queued behind it, makes their changes durable by one sync, and then sends the
// replies.
func (l *acceptorLoop) handleBatch(ctx context.Context, first receivedMessage) {
	l.handle(ctx, first)
	for range maxBatchedMessages {
		select {
		case m := <-l.inbox:
			l.handle(ctx, m)
			continue
		default:
		}
		break
	}
	l.flush(ctx)
}

func (l *acceptorLoop) handle(ctx context.Context, m receivedMessage) {
	l.service.queued.Release(m.size)
	l.step(ctx, l.acceptor.Receive(l.service.options.Clock(), m.from, m.message))
}

// step adds the acceptor's output to the batch. A write that replaces the whole state is made durable immediately. So is one
// that changes only the hard state, because flush writes only if there are changed registers.
func (l *acceptorLoop) step(ctx context.Context, out *register.Output) {
	if w := out.Write; w != nil {
		l.changed = append(l.changed, w.Changed...)
		var err error
		switch {
		case w.Replace:
			err = l.replace()
		case len(w.Changed) == 0:
			err = l.append()
		}
		if err != nil {
			l.recover(ctx, err)
			return
		}
	}
	l.outgoing = append(l.outgoing, out.Send...)
}

// flush ends a batch: it makes the remaining changes durable and sends the messages.
func (l *acceptorLoop) flush(ctx context.Context) {
	if len(l.changed) > 0 {
		if err := l.append(); err != nil {
			l.recover(ctx, err)
			return
		}
	}
	nonce := l.acceptor.HardState().Self.Nonce
	for _, outgoing := range l.outgoing {
		l.service.send(outgoing.To, nonce, outgoing.Message)
	}
	l.outgoing = nil
}

// append makes the batch's changes and the hard state durable.
func (l *acceptorLoop) append() error {
	if l.store.log == nil {
		l.changed = nil
		l.publish(true)
		return nil
	}
	if l.store.log.NeedsCompaction() {
		return l.replace()
	}
	l.service.Counters.Syncs.Add(1)
	if err := l.store.append(l.acceptor.HardState(), l.changed); err != nil {
		return err
	}
	l.changed = nil
	l.publish(true)
	return nil
}

// replace makes the whole state durable, including the batch's changes.
func (l *acceptorLoop) replace() error {
	if l.store.log != nil {
		l.service.Counters.Syncs.Add(1)
		if err := l.store.replace(l.acceptor.HardState(), l.acceptor.Snapshot(l.service.options.Clock())); err != nil {
			return err
		}
	}
	l.changed = nil
	l.publish(true)
	return nil
}

// recover handles a failed write. It drops the batch's messages and reloads the acceptor from disk, as after a restart. The
// log may contain records of the failed write that are not durable, so the whole state is written again before recover
// returns, unless ctx ends first. In that case, the acceptor may not have been reloaded, and queued messages may still be
// handled: a further write is one of the whole state, but messages that need no write may be sent without it.
func (l *acceptorLoop) recover(ctx context.Context, cause error) {
	l.service.Counters.FailedSyncs.Add(1)
	l.service.options.Log.Warn("can't write the log of the registers", zap.Error(cause))
	l.outgoing, l.changed = nil, nil
	for {
		err := l.store.reload(&l.service.options)
		if err == nil {
			break
		}
		l.service.options.Log.Warn("can't read the log of the registers", zap.Error(err))
		if !sleep(ctx, retryInterval) {
			return
		}
	}
	l.acceptor = l.store.build(l.service.options.Clock(), l.service.options.State)
	l.publish(false)
	l.writeIdentity(ctx)
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
