package router

import (
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"pinelb.example/pinelb/internal/fleet/dissemination"
	"pinelb.example/pinelb/internal/fleet/registry"
)

// Endpoints are soft state, announced again and again. When all routers have ended at once, though, the first heartbeats
// take more than a second to come. Machines with disks therefore keep the endpoints' list as a hint for that time.

const (
	hintName  = "endpoints"
	hintEvery = 500 * time.Millisecond // least time between writes
	hintAfter = 150 * time.Millisecond // after the start: by then a router that lives has told what it knows
	hintMost  = 2 * time.Second        // after the start: later the endpoints themselves have spoken
)

// hintFile is the list on the disk.
type hintFile struct {
	path    string
	read    []registry.Endpoint
	offered bool
	version uint64 // of the registry, that was written last
	next    time.Duration

	mu      sync.Mutex
	writing bool
}

// startHints reads what the process before this one has left.
func (r *Router) startHints() {
	if r.settings.DataDir == "" {
		return
	}
	r.hints = &hintFile{path: filepath.Join(r.settings.DataDir, hintName)}
	text, err := os.ReadFile(r.hints.path)
	if err == nil {
		err = cbor.Unmarshal(text, &r.hints.read)
	}
	if err != nil && !os.IsNotExist(err) {
		r.log.Info("the list of endpoints on the disk is of no use", zap.Error(err))
	}
}

// tickHints offers the list once, where nothing else is known, and writes it where it has changed.
func (r *Router) tickHints() {
	h, now := r.hints, r.clock()
	if h == nil || now < hintAfter {
		return
	}
	if !h.offered {
		h.offered = true
		if now < hintMost {
			r.offerHints(h)
		}
	}
	r.mu.Lock()
	version, ready := r.node.Registry.Version(), r.node.Registry.Ready
	if version == h.version || now < h.next || now < hintMost {
		r.mu.Unlock()
		return
	}
	endpoints := ready()
	r.mu.Unlock()
	h.version, h.next = version, now+hintEvery
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.writing {
		h.writing = true
		r.tasks.Go(func() { r.writeHints(h, endpoints) })
	}
}

func (r *Router) offerHints(h *hintFile) {
	r.withNode(func(now time.Duration) *dissemination.Output {
		if len(r.node.Registry.Ready()) > 0 {
			return &dissemination.Output{}
		}
		return r.node.Hint(now, h.read)
	})
	h.read = nil
}

// writeHints replaces the list. A failure costs a hint, no more.
func (r *Router) writeHints(h *hintFile, endpoints []registry.Endpoint) {
	err := replaceFile(h.path, endpoints)
	if err != nil {
		r.log.Debug("the list of endpoints is not written", zap.Error(err))
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.writing = false
}

func replaceFile(path string, value any) error {
	text, err := cbor.Marshal(value)
	if err != nil {
		return err
	}
	fresh := path + ".new"
	file, err := os.Create(fresh)
	if err != nil {
		return err
	}
	_, err = file.Write(text)
	if err == nil {
		err = file.Sync()
	}
	if closing := file.Close(); err == nil {
		err = closing
	}
	if err != nil {
		return err
	}
	if err := os.Rename(fresh, path); err != nil {
		return err
	}
	folder, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	defer folder.Close()
	return folder.Sync()
}
