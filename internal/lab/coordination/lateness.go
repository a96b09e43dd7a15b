package coordination

import (
	"context"
	"os"
	"path/filepath"
	"sync"
	"time"

	"pinelb.example/pinelb/internal/lab/machines"
)

const (
	latenessInterval = 10 * time.Millisecond
	syncInterval     = 100 * time.Millisecond
	maxLateness      = 300 * time.Millisecond // of the machine; beyond, times of answers say nothing of the routers
)

// lateness measures how late the machine is itself: pauses that last too long, and syncs of a file beside the routers' disks.
type lateness struct {
	cancel context.CancelFunc
	tasks  sync.WaitGroup
	pauses time.Duration // the most by which a pause was too long
	syncs  time.Duration // the longest sync
}

func startLateness(ctx context.Context, folder string) *lateness {
	l := &lateness{}
	ctx, l.cancel = context.WithCancel(ctx)
	l.tasks.Go(func() {
		for begin := time.Now(); machines.Pause(ctx, latenessInterval); begin = time.Now() {
			l.pauses = max(l.pauses, time.Since(begin)-latenessInterval)
		}
	})
	l.tasks.Go(func() {
		for machines.Pause(ctx, syncInterval) {
			l.syncs = max(l.syncs, timeSync(filepath.Join(folder, "sync")))
		}
	})
	return l
}

// stop ends the measurement; the figures are there then.
func (l *lateness) stop() {
	l.cancel()
	l.tasks.Wait()
}

// isTooBusy reports whether times say nothing of the routers.
func (l *lateness) isTooBusy() bool { return l.pauses > maxLateness || l.syncs > maxLateness }

// timeSync returns how long it takes to make a small file durable; 0 where that fails.
func timeSync(path string) time.Duration {
	file, err := os.Create(path)
	if err != nil {
		return 0
	}
	defer func() { _ = file.Close() }()
	begin := time.Now()
	if _, err := file.WriteString("a record"); err != nil {
		return 0
	}
	if err := file.Sync(); err != nil {
		return 0
	}
	return time.Since(begin)
}
