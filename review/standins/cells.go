package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// applicationClient waits one second for an answer, as the applications do.
var applicationClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 16}}

// call sends one call of an application; status 0: no answer within a second.
func call(method, url string, body any) (int, map[string]any) {
	encoded, _ := json.Marshal(body)
	request, _ := http.NewRequest(method, url, bytes.NewReader(encoded))
	request.Header.Set("Content-Type", "application/json")
	response, err := applicationClient.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	var decoded map[string]any
	_ = json.Unmarshal(text, &decoded)
	return response.StatusCode, decoded
}

// until repeats a call at one machine after the other until it has a clear answer.
func (f *fleet) until(timeout time.Duration, method, path string, body any) (int, map[string]any) {
	end := time.Now().Add(timeout)
	for i := rand.IntN(len(f.machines)); ; i++ {
		status, answer := call(method, "http://"+f.controlOf(f.machines[i%len(f.machines)])+path, body)
		if status == 200 || status == 404 || status == 409 || status == 412 || time.Now().After(end) {
			return status, answer
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// The load: fewer calls than the applications of the locks sites send, to as many keys.
const (
	groups, keysOfGroup = 10, 30
	putsPerSecond       = 65
	keysRead            = 6
)

// fromEnvironment returns a number of the environment, to see from which size or time on the fault comes, or the usual one.
func fromEnvironment(name string, usual int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return usual
}

// cellLoad puts values to keys and keeps what was acknowledged.
type cellLoad struct {
	fleet      *fleet
	valueBytes int

	acknowledged, unclear atomic.Int64

	mu        sync.Mutex
	revisions map[string]float64 // of the last acknowledged put, by key
}

// run puts for the given time.
func (l *cellLoad) run(duration time.Duration) {
	var wait sync.WaitGroup
	begin := time.Now()
	ticker := time.NewTicker(time.Second / putsPerSecond)
	defer ticker.Stop()
	for n := 0; time.Since(begin) < duration; n++ {
		<-ticker.C
		wait.Go(func() { l.put(n) })
	}
	wait.Wait()
	l.fleet.record.printf("applications: %d puts of %d bytes to %d keys in %d groups within %v are acknowledged, %d have no clear answer",
		l.acknowledged.Load(), l.valueBytes, len(l.revisions), groups, time.Since(begin).Round(time.Second), l.unclear.Load())
}

func (l *cellLoad) put(n int) {
	k := fmt.Sprintf("g%d.k%d", n%groups, n/groups%keysOfGroup)
	value := fmt.Sprintf("%016x", rand.Uint64())
	value += strings.Repeat("v", l.valueBytes-len(value))
	status, answer := l.fleet.until(5*time.Second, "POST", "/cells/"+k+"/replace", map[string]any{"value": value})
	revision, ok := answer["revision"].(float64)
	if status != 200 || !ok {
		l.unclear.Add(1)
		return
	}
	l.acknowledged.Add(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.revisions[k] = max(l.revisions[k], revision)
}

// runCells fills keys with values and takes the disk of one machine.
func runCells(e *environment) error {
	f, err := newFleet(e.record, e.root, e.dir, 3, 3, "base,drain,config,coord", "")
	if err != nil {
		return err
	}
	defer f.stopAll()
	if err := f.startAll(); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	if status, _ := f.until(10*time.Second, "POST", "/numbers/n1", map[string]any{}); status != 200 {
		return fmt.Errorf("the coordination service does not start: %d", status)
	}
	load := &cellLoad{fleet: f, valueBytes: fromEnvironment("VALUE_BYTES", 16<<10), revisions: map[string]float64{}}
	load.run(time.Duration(fromEnvironment("LOAD_S", 33)) * time.Second)
	if load.acknowledged.Load() < putsPerSecond*20 {
		return fmt.Errorf("only %d puts are acknowledged", load.acknowledged.Load())
	}
	f.recordUse()
	for _, m := range f.machines {
		f.setBootstrap(m, false)
	}
	if e.trouble {
		if err := f.loseDisk(); err != nil {
			return err
		}
	}
	return load.judge()
}

// loseDisk kills one machine, takes its disk and starts it again. With FAULT=kill_all it kills all and takes no disk, to compare.
func (f *fleet) loseDisk() error {
	if os.Getenv("FAULT") == "kill_all" {
		for _, m := range f.machines {
			f.kill(m)
		}
		time.Sleep(1500 * time.Millisecond)
		return f.startAll()
	}
	m := f.machines[1]
	f.kill(m)
	lost := filepath.Join(f.dir, m.name+".data")
	if err := os.RemoveAll(lost); err != nil {
		return err
	}
	if err := os.MkdirAll(lost, 0o755); err != nil {
		return err
	}
	f.record.printf("disruption: the disk of %s is lost", m.name)
	time.Sleep(1500 * time.Millisecond)
	return f.start(m)
}

// judge reads keys back, and asks for a lock and a number, from recoverS after the return of the machine on.
func (l *cellLoad) judge() error {
	f, back := l.fleet, time.Now()
	time.Sleep(recoverTime)
	answered := 0
	for i := range keysRead {
		k := fmt.Sprintf("g%d.k%d", i%groups, i)
		status, answer := f.until(3*time.Second, "GET", "/cells/"+k+"/read", nil)
		f.record.printf("application: %v after the machine is back: GET /cells/%s/read, for 3 s: %d, revision %v (acknowledged: %v)",
			time.Since(back).Round(time.Millisecond), k, status, answer["revision"], l.revisions[k])
		if status != 200 {
			continue
		}
		answered++
		if answer["revision"].(float64) < l.revisions[k] {
			return fmt.Errorf("%w: key %s falls behind what was acknowledged", errBroken, k)
		}
	}
	lock, _ := f.until(3*time.Second, "POST", "/locks/l1/begin", map[string]any{"holder": "a1.1", "holdMs": 1000})
	number, _ := f.until(3*time.Second, "POST", "/numbers/n1", map[string]any{})
	f.record.printf("application: a lock is asked for, for 3 s: %d; a number: %d", lock, number)
	f.recordUse()
	for _, m := range f.machines {
		f.record.printf("status of %s: %s", m.name, f.coordination(m))
	}
	if answered == keysRead && lock == 200 && number == 200 {
		return nil
	}
	lasted := time.Since(back).Round(time.Second)
	if time.Since(f.record.start) < 85*time.Second {
		f.restartAll()
	}
	return fmt.Errorf("%w: %v after one disk was lost %d of %d keys are read back, a lock gets %d, a number %d", errBroken,
		lasted, answered, keysRead, lock, number)
}

// restartAll records whether a restart of all machines with their disks mends the service. The check doesn't depend on it.
func (f *fleet) restartAll() {
	for _, m := range f.machines {
		f.kill(m)
	}
	for _, m := range f.machines {
		if err := f.start(m); err != nil {
			f.record.printf("%s is not started again: %v", m.name, err)
			return
		}
	}
	time.Sleep(recoverTime)
	number, _ := f.until(3*time.Second, "POST", "/numbers/n1", map[string]any{})
	f.record.printf("application: %v after a restart of all machines with their disks a number is asked for, for 3 s: %d", recoverTime, number)
}

// coordination returns the part of a machine's status that concerns the coordination service.
func (f *fleet) coordination(m *machine) string {
	response, err := applicationClient.Get(fmt.Sprintf("http://%s:%d/status", m.ip, f.internal))
	if err != nil {
		return err.Error()
	}
	defer response.Body.Close()
	var status struct {
		Coordination json.RawMessage `json:"coordination"`
	}
	if err := json.NewDecoder(response.Body).Decode(&status); err != nil {
		return err.Error()
	}
	var compact bytes.Buffer
	_ = json.Compact(&compact, status.Coordination)
	return compact.String()
}

// recordUse records the peak memory and the disk use of each machine.
func (f *fleet) recordUse() {
	for _, m := range f.machines {
		text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.cmd.Process.Pid))
		_, peak, _ := strings.Cut(string(text), "VmHWM:")
		peak, _, _ = strings.Cut(peak, "\n")
		disk := int64(0)
		_ = filepath.Walk(filepath.Join(f.dir, m.name+".data"), func(_ string, info os.FileInfo, err error) error {
			if err == nil && info.Mode().IsRegular() {
				disk += info.Size()
			}
			return nil
		})
		f.record.printf("%s: peak memory %s, disk %.1f MB", m.name, strings.TrimSpace(peak), float64(disk)/1e6)
	}
}
