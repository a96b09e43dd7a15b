package router

import (
	"runtime/debug"

	"pinelb.example/pinelb/internal/fleet/settings"
)

// heapRatio is the part of limits.memoryMb that Go's runtime may use. The rest is for the program's text, the buffers of sockets and files in memory, which
// count as well.
const heapRatio = 0.7

// LimitMemory makes the garbage collector keep the process below limits.memoryMb, as far as what is in use allows it. It affects the whole process,
// and may be called again with new settings.
func LimitMemory(s *settings.Settings) {
	if s.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(heapRatio * float64(s.Limits.MemoryMB) * bytesPerMB))
	}
}
