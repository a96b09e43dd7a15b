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

// runCells fills keys with values and takes the disk of one machine.
func runCells(e *environment) error {
	const groups, keysOfGroup = 10, 30
	const putsPerSecond = 65
	duration := 33 * time.Second
	if text := os.Getenv("LOAD_S"); text != "" { // to see how the disks fill
		if n, err := strconv.Atoi(text); err == nil {
			duration = time.Duration(n) * time.Second
		}
	}
	const keysRead = 6
	valueBytes := 16 << 10
	if text := os.Getenv("VALUE_BYTES"); text != "" { // to see from which size on
		if n, err := strconv.Atoi(text); err == nil {
			valueBytes = n
		}
	}
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
	var acknowledged, unclear atomic.Int64
	var mu sync.Mutex
	revisions := map[string]float64{} // of the last acknowledged put, by key
	put := func(n int) {
		k := fmt.Sprintf("g%d.k%d", n%groups, n/groups%keysOfGroup)
		value := fmt.Sprintf("%016x", rand.Uint64())
		value += strings.Repeat("v", valueBytes-len(value))
		status, answer := f.until(5*time.Second, "POST", "/cells/"+k+"/replace", map[string]any{"value": value})
		revision, ok := answer["revision"].(float64)
		if status != 200 || !ok {
			unclear.Add(1)
			return
		}
		acknowledged.Add(1)
		mu.Lock()
		defer mu.Unlock()
		revisions[k] = max(revisions[k], revision)
	}
	var wait sync.WaitGroup
	begin := time.Now()
	ticker := time.NewTicker(time.Second / putsPerSecond)
	for n := 0; time.Since(begin) < duration; n++ {
		<-ticker.C
		wait.Go(func() { put(n) })
	}
	wait.Wait()
	ticker.Stop()
	e.record.printf("applications: %d puts of %d bytes to %d keys in %d groups within %v are acknowledged, %d have no clear answer",
		acknowledged.Load(), valueBytes, len(revisions), groups, time.Since(begin).Round(time.Second), unclear.Load())
	if acknowledged.Load() < putsPerSecond*20 {
		return fmt.Errorf("only %d puts are acknowledged", acknowledged.Load())
	}
	f.recordUse()
	for _, m := range f.machines {
		f.setBootstrap(m, false)
	}
	switch {
	case e.trouble && os.Getenv("FAULT") == "kill_all": // to compare: no disk is lost
		for _, m := range f.machines {
			f.kill(m)
		}
		time.Sleep(1500 * time.Millisecond)
		if err := f.startAll(); err != nil {
			return err
		}
	case e.trouble:
		m := f.machines[1]
		f.kill(m)
		lost := f.dir + "/" + m.name + ".data"
		if err := os.RemoveAll(lost); err != nil {
			return err
		}
		if err := os.MkdirAll(lost, 0o755); err != nil {
			return err
		}
		e.record.printf("disruption: the disk of %s is lost", m.name)
		time.Sleep(1500 * time.Millisecond)
		if err := f.start(m); err != nil {
			return err
		}
	}
	back := time.Now()
	time.Sleep(recoverTime)
	answered := 0
	for i := range keysRead {
		k := fmt.Sprintf("g%d.k%d", i%groups, i)
		status, answer := f.until(3*time.Second, "GET", "/cells/"+k+"/read", nil)
		e.record.printf("application: %v after the machine is back: GET /cells/%s/read, for 3 s: %d, revision %v (acknowledged: %v)",
			time.Since(back).Round(time.Millisecond), k, status, answer["revision"], revisions[k])
		if status == 200 {
			answered++
			if answer["revision"].(float64) < revisions[k] {
				return fmt.Errorf("%w: key %s falls behind what was acknowledged", errBroken, k)
			}
		}
	}
	lock, _ := f.until(3*time.Second, "POST", "/locks/l1/begin", map[string]any{"holder": "a1.1", "holdMs": 1000})
	number, _ := f.until(3*time.Second, "POST", "/numbers/n1", map[string]any{})
	e.record.printf("application: a lock is asked for, for 3 s: %d; a number: %d", lock, number)
	f.recordUse()
	for _, m := range f.machines {
		e.record.printf("status of %s: %s", m.name, f.coordination(m))
	}
	if answered < keysRead || lock != 200 || number != 200 {
		lasted := time.Since(back).Round(time.Second)
		f.restartAll()
		return fmt.Errorf("%w: %v after one disk was lost %d of %d keys are read back, a lock gets %d, a number %d", errBroken,
			lasted, answered, keysRead, lock, number)
	}
	return nil
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
