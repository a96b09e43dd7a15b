package main

import (
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// closedListener is an address of which connections come up only once it has been opened: its queue is full.
type closedListener struct {
	addr string
	file *os.File
}

func newClosedListener(t *testing.T) *closedListener {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	d := &closedListener{file: os.NewFile(uintptr(fd), "door")}
	t.Cleanup(func() { _ = d.file.Close() })
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := unix.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	at, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	d.addr = net.JoinHostPort("127.0.0.1", strconv.Itoa(at.(*unix.SockaddrInet4).Port))
	for { // until nobody comes in any more
		conn, err := net.DialTimeout("tcp", d.addr, 300*time.Millisecond)
		if err != nil {
			return d
		}
		t.Cleanup(func() { conn.Close() })
	}
}

// open has the door answer from now on.
func (d *closedListener) open(t *testing.T, h http.Handler) {
	t.Helper()
	l, err := net.FileListener(d.file)
	if err != nil {
		t.Error(err)
		return
	}
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
}

// hold is how long the first attempt is held up.
const hold = time.Second

// Guards against an attempt that tells its host more time than the client has left, by what passed before it: while its
// connection came up late, and in attempts before it, that were turned away, were reset or got no connection.
func TestRemainingTimeOfAttempts(t *testing.T) {
	const wait, slack = 20 * time.Second, hold / 2 // until the sidecar has read the request, which is on its way
	receivedTimeout := make(chan time.Duration, 4)
	answers := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		left, err := strconv.Atoi(r.Header.Get("X-Remaining-Ms"))
		if err != nil {
			t.Error(err)
		}
		receivedTimeout <- time.Duration(left) * time.Millisecond
		_, _ = io.WriteString(w, "served")
	})
	// Each holds the first attempt until the moment that it returns: what is told later is told after that.
	for name, play := range map[string]func(t *testing.T, sent <-chan struct{}, passed chan<- time.Time) (members []string){
		"a late connection": func(t *testing.T, sent <-chan struct{}, passed chan<- time.Time) []string {
			d := newClosedListener(t)
			afterwards(t, sent, func() {
				passed <- time.Now()
				d.open(t, answers)
			})
			return []string{host("s-1", d.addr, "Ready")}
		},
		"no connection, then another host's": func(t *testing.T, sent <-chan struct{}, passed chan<- time.Time) []string {
			d := newClosedListener(t)
			other := newClosedListener(t)
			afterwards(t, sent, func() {
				passed <- time.Now()
				_ = d.file.Close()
				other.open(t, answers)
			})
			return []string{host("s-1", d.addr, "Ready"), host("s-2", other.addr, "Ready")}
		},
		"turned away late, then served": func(t *testing.T, sent <-chan struct{}, passed chan<- time.Time) []string {
			h := onceThen(passed, answers, func(w http.ResponseWriter) {
				w.Header().Set("X-Turned-Away", "1")
				w.WriteHeader(http.StatusServiceUnavailable)
			})
			return []string{host("s-1", listen(t, h), "Ready"), host("s-2", listen(t, h), "Ready")}
		},
		"reset late, then served": func(t *testing.T, sent <-chan struct{}, passed chan<- time.Time) []string {
			h := onceThen(passed, answers, func(http.ResponseWriter) { panic(http.ErrAbortHandler) })
			return []string{host("s-1", listen(t, h), "Ready"), host("s-2", listen(t, h), "Ready")}
		},
	} {
		t.Run(name, func(t *testing.T) {
			sent, passed := make(chan struct{}), make(chan time.Time, 1)
			p := start(t, newTestSite(t, play(t, sent, passed)...).addr)
			p.await(t, "cluster changed")
			from := time.Now()
			close(sent)
			if _, body := p.call(t, "GET", "/order-status/1", "", "X-Remaining-Ms", strconv.Itoa(int(wait.Milliseconds()))); body != "served" {
				t.Fatalf("answer %q", body)
			}
			if got, available := <-receivedTimeout, wait-(<-passed).Sub(from); got > available+slack {
				t.Errorf("%v were told, %v were left", got, available)
			} else {
				t.Logf("%v were told of %v", got, available)
			}
		})
	}
}

// afterwards does something so long after the request was sent.
func afterwards(t *testing.T, sent <-chan struct{}, do func()) {
	var done sync.WaitGroup
	done.Go(func() {
		select {
		case <-sent:
			time.Sleep(hold)
			do()
		case <-t.Context().Done():
		}
	})
	t.Cleanup(done.Wait)
}

// onceThen holds the first request up and ends it as told; what comes later is for then.
func onceThen(passed chan<- time.Time, then http.Handler, end func(http.ResponseWriter)) http.Handler {
	first := make(chan struct{}, 1)
	first <- struct{}{}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-first:
			time.Sleep(hold)
			passed <- time.Now()
			end(w)
		default:
			then.ServeHTTP(w, r)
		}
	})
}
