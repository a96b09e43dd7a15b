package daemon

import (
	"runtime/debug"
	"sync"

	"pinelb.example/pinelb/internal/downstream"
	"pinelb.example/pinelb/internal/driver"
	"pinelb.example/pinelb/internal/upstream"
)

// resourceLimits divides what the sidecar may use among its processes, while there is more than one. Each process applies its
// part to itself.
type resourceLimits struct {
	memory  int64 // bytes
	sockets int   // for callers and upstream hosts
	pool    *upstream.Pool
	side    *downstream.Manager
	engine  *driver.Driver

	mu             sync.Mutex
	otherProcesses int // of this sidecar, beside this one
}

// addProcesses counts other processes in, or out where n is negative, and applies this one's part.
func (r *resourceLimits) addProcesses(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.otherProcesses += n
	processes := int64(1 + r.otherProcesses)
	debug.SetMemoryLimit(int64(heapFraction * float64(r.memory/processes)))
	r.engine.SetProcesses(int(processes))
	sockets := r.sockets / int(processes)
	r.pool.SetMaxConnections(sockets / 2)
	r.side.SetLimits(r.memory/processes/bodiesDivisor, sockets-sockets/2)
}
