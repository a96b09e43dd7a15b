package coordination

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"pinelb.example/pinelb/internal/lab/machines"
	"pinelb.example/pinelb/internal/lab/machines/machinestest"
)

const (
	floodCore       = 5
	floodCallers    = 32
	floodGroups     = 12
	floodKeys       = 10 // of a group
	floodValueBytes = 16 << 10
	floodTime       = 12 * time.Second
	floodAfterLoss  = 4 * time.Second
)

// flood puts large values as fast as the machines answer, and keeps the revisions that were acknowledged.
type flood struct {
	fleet *fleet
	http  *http.Client

	mu        sync.Mutex
	revisions map[string]uint64 // by key
	statuses  map[int]int
}

// revisionAnswer is the answer to a put or a get.
type revisionAnswer struct {
	Revision uint64 `json:"revision"`
}

// call makes a call at a machine; status 0: no answer.
func (f *flood) call(method, address, path string, body any) (status int, answer revisionAnswer) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return 0, answer
	}
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(encoded))
	if err != nil {
		return 0, answer
	}
	response, err := f.http.Do(request)
	if err != nil {
		return 0, answer
	}
	defer func() { _ = response.Body.Close() }()
	_ = json.NewDecoder(response.Body).Decode(&answer)
	return response.StatusCode, answer
}

// run is one caller, until ctx ends. It turns to the next machine where a put isn't acknowledged.
func (f *flood) run(ctx context.Context, caller int) {
	at := caller
	for n := 0; ctx.Err() == nil; n++ {
		key := fmt.Sprintf("flood%d.k%d", (caller+n)%floodGroups, n%floodKeys)
		value := fmt.Sprintf("%d.%d.", caller, n)
		value += strings.Repeat("v", floodValueBytes-len(value))
		status, answer := f.call(http.MethodPost, f.fleet.machines[at%floodCore].control, "/cells/"+key+"/replace", map[string]string{"value": value})
		f.mu.Lock()
		f.statuses[status]++
		if status == http.StatusOK {
			f.revisions[key] = max(f.revisions[key], answer.Revision)
		}
		f.mu.Unlock()
		if status != http.StatusOK {
			at++
		}
	}
}

// play floods the machines for a time.
func (f *flood) play(t *testing.T, duration time.Duration, during func()) {
	ctx, cancel := context.WithTimeout(t.Context(), duration)
	defer cancel()
	var callers sync.WaitGroup
	for i := range floodCallers {
		callers.Go(func() { f.run(ctx, i) })
	}
	during()
	callers.Wait()
}

// unanswered returns the keys that fall behind what was acknowledged, or aren't answered in time.
func (f *flood) unanswered(ctx context.Context) (keys []string) {
	for key, acknowledged := range f.revisions {
		isAnswered := false
		for at := 0; !isAnswered && ctx.Err() == nil; at++ {
			status, answer := f.call(http.MethodGet, f.fleet.machines[at%floodCore].control, "/cells/"+key+"/read", nil)
			isAnswered = status == http.StatusOK && answer.Revision >= acknowledged
			if !isAnswered && !machines.Pause(ctx, statusInterval) {
				break
			}
		}
		if !isAnswered {
			keys = append(keys, key)
		}
	}
	return keys
}

// TestFloodOfLargeValuesStaysWithinTheLimits guards against processes that are killed for their memory, or fill their disk, while applications put
// more than the registers may hold and disks are lost.
func TestFloodOfLargeValuesStaysWithinTheLimits(t *testing.T) {
	folder := t.TempDir()
	options := Options{Program: machinestest.BuildProgram(t), Folder: folder, Disks: machinestest.Disks(t, memoryFolder)}
	fleet, err := newFleet(&Script{Core: floodCore, GraceS: 8, HistoryS: 20}, options)
	if err != nil {
		t.Fatal(err)
	}
	defer fleet.close()
	if err := fleet.startAll(true); err != nil {
		t.Fatal(err)
	}
	settle, cancel := context.WithTimeout(t.Context(), settleTimeout)
	defer cancel()
	if !fleet.awaitSettled(settle) {
		t.Fatalf("the fleet is not ready; logs in %s", filepath.Clean(folder))
	}
	f := &flood{fleet: fleet, http: &http.Client{Timeout: silence}, revisions: map[string]uint64{}, statuses: map[int]int{}}
	f.play(t, floodTime, func() {})
	f.play(t, floodAfterLoss, func() {
		for _, m := range fleet.machines[:tolerated] {
			m.Kill()
			if err := m.Wipe(); err != nil {
				t.Error(err)
			}
			if err := m.Start(false); err != nil {
				t.Error(err)
			}
		}
	})
	t.Logf("statuses %v, the largest process peaked at %d MB", f.statuses, fleet.peakMemory()>>20)
	if f.statuses[http.StatusOK] < 300 || f.statuses[http.StatusGatewayTimeout] == 0 {
		t.Errorf("the play says nothing: %v", f.statuses)
	}
	for _, fault := range fleet.faults() {
		t.Errorf("%s: %s", machines.FaultRule, fault)
	}
	last, cancelLast := context.WithTimeout(t.Context(), settleTimeout)
	defer cancelLast()
	for _, key := range f.unanswered(last) {
		t.Errorf("LOST: %s is not read back as it was acknowledged", key)
	}
}
