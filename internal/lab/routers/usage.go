package routers

import (
	"fmt"
	"os"
	"syscall"
	"time"
)

// usage is what the process has used so far.
type usage struct {
	cpu              time.Duration
	bytes, datagrams uint64
	replies          uint64 // bytes of replies to calls
}

// usage returns processor time of the process, and bytes and datagrams of its routers, of which none may be lost.
func (f *fleet) usage() usage {
	var self syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &self) // it can't fail with this argument
	u := usage{cpu: time.Duration(self.Utime.Nano() + self.Stime.Nano())}
	for _, r := range f.routers {
		sent, datagrams := r.Sent()
		u.bytes += sent
		u.datagrams += datagrams
		u.replies += r.SentReplies()
	}
	return u
}

// residentMB returns the resident memory of the process in MB (2^20 bytes), or 0 if it is unknown.
func residentMB() float64 {
	text, err := os.ReadFile("/proc/self/statm")
	var size, resident float64
	if err == nil {
		_, err = fmt.Sscan(string(text), &size, &resident)
	}
	if err != nil {
		return 0
	}
	return resident * float64(os.Getpagesize()) / (1 << 20)
}
