package main

import (
	"crypto/sha256"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
)

// filler is so many bytes that are alike for all who ask.
type filler struct{ at, n int }

func (f *filler) Read(b []byte) (int, error) {
	if f.at == f.n {
		return 0, io.EOF
	}
	n := min(len(b), f.n-f.at)
	for i := range b[:n] {
		b[i] = byte((f.at + i) * 7 >> 3)
	}
	f.at += n
	return n, nil
}

func sum(r io.Reader) string {
	h := sha256.New()
	n, err := io.Copy(h, r)
	return fmt.Sprintf("%d %x %v", n, h.Sum(nil), err)
}

// peak is how much memory a process has had resident at most, in MB.
func peak(t *testing.T, pid int) (mb int) {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	_, at, _ := strings.Cut(string(text), "VmHWM:")
	if _, err := fmt.Sscan(at, &mb); err != nil {
		t.Fatal(err)
	}
	return mb >> 10
}

// Guards against long bodies and answers that are changed on their way, and against their being held: 1, 10 and 50 of 8 MB
// at once, both ways, take less memory than they would if a quarter of them were.
func TestLongBodiesBothWays(t *testing.T) {
	const size = 8 << 20
	want := sum(&filler{n: size})
	endpoint := listen(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if got := sum(r.Body); r.Method == "POST" && got != want {
			t.Errorf("the host got %.80s, want %.80s", got, want)
		}
		_, _ = io.Copy(w, &filler{n: size})
	}))
	p := start(t, newTestSite(t, host("s-1", endpoint, "Ready"), host("s-2", endpoint, "Ready")).addr)
	p.await(t, "cluster changed")
	for _, many := range []int{1, 10, 50} {
		var wait sync.WaitGroup
		for i := range many {
			wait.Go(func() {
				req, err := http.NewRequest("POST", "http://"+p.addr+"/remake-charge/1", &filler{n: size})
				if err != nil {
					t.Error(err)
					return
				}
				if i%2 == 0 {
					req.ContentLength = size
				}
				req.Close = true
				req.Header.Set("X-Txn", fmt.Sprint(many, "-", i))
				req.Header.Set("X-Remaining-Ms", "60000")
				res, err := http.DefaultClient.Do(req)
				if err != nil {
					t.Error(err)
					return
				}
				defer res.Body.Close()
				if res.StatusCode == 503 && many == 50 { // the limit on what the hosts may have in work
					return
				}
				if got := sum(res.Body); res.StatusCode != 200 || got != want {
					t.Errorf("%d at once: %d, %.80s, want %.80s", many, res.StatusCode, got, want)
				}
			})
		}
		wait.Wait()
		t.Logf("%d at once: %d MB resident at most", many, peak(t, p.cmd.Process.Pid))
	}
	if got := peak(t, p.cmd.Process.Pid); got > 50*2*size>>22 {
		t.Errorf("%d MB were resident", got)
	}
}
