package persistence

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"pinelb.example/pinelb/internal/inflight"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// memoryDisk is a disk that can lose power: what was not synced is then there, there in part or not there.
type memoryDisk struct {
	mu          sync.Mutex
	files       map[string]*[2][]byte // by name: what was synced, and what was written
	syncedNames map[string]*[2][]byte // the directory as it was synced
	stepsLeft   int                   // until all fails; below 0: never
	block       chan struct{}         // syncs wait for it; nil: they don't wait
}

var errPower = errors.New("no power, or no room")

func newMemoryDisk(steps int) *memoryDisk {
	return &memoryDisk{files: map[string]*[2][]byte{}, syncedNames: map[string]*[2][]byte{}, stepsLeft: steps}
}

// step counts a change; the caller holds the lock.
func (m *memoryDisk) step() error {
	if m.stepsLeft == 0 {
		return errPower
	}
	m.stepsLeft--
	return nil
}

func (m *memoryDisk) Create(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.files[name] = &[2][]byte{}
	return &memoryFile{m, m.files[name]}, m.step()
}

func (m *memoryDisk) Read(name string, most int64) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if f := m.files[name]; f != nil {
		return f[1][:min(int(most), len(f[1]))], nil
	}
	return nil, os.ErrNotExist
}

func (m *memoryDisk) Rename(from, to string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.step(); err != nil {
		return err
	}
	m.files[to] = m.files[from]
	delete(m.files, from)
	return nil
}

func (m *memoryDisk) Remove(name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.files, name)
	return m.step()
}

func (m *memoryDisk) Names() ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Sorted(maps.Keys(m.files)), nil
}

func (m *memoryDisk) Sync() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.step(); err != nil {
		return err
	}
	m.syncedNames = maps.Clone(m.files)
	return nil
}

func (m *memoryDisk) Lock(string) (func(), error) { return func() {}, nil }

type memoryFile struct {
	m *memoryDisk
	f *[2][]byte
}

func (o *memoryFile) Write(b []byte) (int, error) {
	o.m.mu.Lock()
	defer o.m.mu.Unlock()
	o.f[1] = append(o.f[1], b...) // some of it may come to the disk in any case
	return len(b), o.m.step()
}

func (o *memoryFile) Sync() error {
	if block := o.m.block; block != nil {
		<-block
	}
	o.m.mu.Lock()
	defer o.m.mu.Unlock()
	if err := o.m.step(); err != nil {
		return err
	}
	o.f[0] = slices.Clone(o.f[1])
	return nil
}

func (o *memoryFile) Close() error { return nil }

// afterPowerCut returns the disk after a power cut: the share of what was not synced that is there, in sixteenths, and whether
// renames that were not synced are.
func (m *memoryDisk) afterPowerCut(sixteenths int, renamed bool) *memoryDisk {
	m.mu.Lock()
	defer m.mu.Unlock()
	out, names := newMemoryDisk(-1), m.syncedNames
	if renamed {
		names = m.files
	}
	for name, f := range names {
		lost := len(f[1]) - len(f[0])
		text := slices.Clone(f[1][:len(f[0])+lost*sixteenths/16])
		out.files[name] = &[2][]byte{text, text}
	}
	out.syncedNames = maps.Clone(out.files)
	return out
}

func testSnapshot(state string) *Snapshot {
	return &Snapshot{Saved: Timestamp{Wall: time.Unix(1000, 0)}, Site: "here", State: json.RawMessage(state)}
}

// Guards against a snapshot that is neither the old nor the new one, wherever the power is cut.
func TestPowerCutAtEveryStep(t *testing.T) {
	for steps := 4; ; steps++ { // the first snapshot takes four
		m := newMemoryDisk(steps)
		if _, err := SaveSnapshot(m, testSnapshot(`"old"`)); err != nil && steps >= 5 {
			t.Fatal(err)
		}
		_, err := SaveSnapshot(m, testSnapshot(`"new"`))
		for part := range 17 {
			for _, renamed := range []bool{true, false} {
				got, _, fault := LoadSnapshot(m.afterPowerCut(part, renamed), Timestamp{Wall: time.Unix(1001, 0)}, "here", time.Minute)
				if steps < 5 && errors.Is(fault, ErrNoSnapshot) {
					continue // the first was not complete yet
				}
				if fault != nil || string(got.State) != `"old"` && string(got.State) != `"new"` {
					t.Fatalf("after %d steps, with %d/16 of the rest: %+v, %v", steps, part, got, fault)
				}
				if err == nil && string(got.State) != `"new"` {
					t.Fatalf("a snapshot that was saved is gone after %d steps", steps)
				}
			}
		}
		if err == nil {
			return
		}
	}
}

// Guards against an invalid snapshot that is accepted, and against an error that doesn't say why it is not.
func TestInvalidSnapshots(t *testing.T) {
	now := Timestamp{Wall: time.Unix(1060, 0), Boot: "b", Up: time.Hour}
	valid, err := testSnapshot(`{"a":1}`).encode()
	if err != nil {
		t.Fatal(err)
	}
	sameBoot := testSnapshot(`1`)
	sameBoot.Saved = Timestamp{Wall: time.Unix(5000, 0), Boot: "b", Up: time.Hour - time.Minute} // the clock was set back since
	booted, err := sameBoot.encode()
	if err != nil {
		t.Fatal(err)
	}
	flipped := bytes.Clone(valid)
	flipped[len(flipped)-3] ^= 1
	for name, c := range map[string]struct {
		text    []byte
		now     Timestamp
		site    string
		maxAge  time.Duration
		wantErr string
	}{
		"valid":                  {valid, now, "here", time.Hour, ""},
		"set back, same start":   {booted, now, "here", time.Hour, ""},
		"too old":                {valid, now, "here", 59 * time.Second, "1m0s ago"},
		"set back":               {valid, Timestamp{Wall: time.Unix(900, 0)}, "here", time.Hour, "set back"},
		"another site's":         {valid, now, "there", time.Hour, "another site"},
		"cut off":                {valid[:len(valid)-1], now, "here", time.Hour, "cut off"},
		"a bit flipped":          {flipped, now, "here", time.Hour, "has changed"},
		"newer":                  {bytes.Replace(valid, []byte("snapshot 1"), []byte("snapshot 2"), 1), now, "here", time.Hour, "version 2"},
		"empty":                  {nil, now, "here", time.Hour, "not a snapshot"},
		"of another kind":        {[]byte("{}\n"), now, "here", time.Hour, "not a snapshot"},
		"a head without its end": {[]byte("pinelb " + snapshotKind + " 1"), now, "here", time.Hour, "cut off"},
	} {
		m := newMemoryDisk(-1)
		m.files[snapshotName] = &[2][]byte{c.text, c.text}
		s, age, err := LoadSnapshot(m, c.now, c.site, c.maxAge)
		if c.wantErr == "" && (err != nil || age != time.Minute || s == nil) || c.wantErr != "" && (err == nil || !strings.Contains(err.Error(), c.wantErr)) {
			t.Errorf("%s: %+v, %v, %v", name, s, age, err)
		}
	}
}

// newJournaledTable returns a table with a journal on a disk, and what OnFault was called with.
func newJournaledTable(d Disk) (*inflight.Table, *Journal, *[]string) {
	faults := &[]string{}
	table := inflight.New(1000)
	j := &Journal{Disk: d, Table: table, OnFault: func(err error) { *faults = append(*faults, fmt.Sprint(err)) }}
	return table, j, faults
}

// recoverTable returns a fresh table that has read the journals, and their names.
func recoverTable(t interface{ Fatal(...any) }, d Disk, now time.Time) (*inflight.Table, []string) {
	recovered, err := RecoverEffects(d, Timestamp{Wall: now})
	if err != nil {
		t.Fatal(err)
	}
	table := inflight.New(1000)
	table.Apply(now, inflight.Journal, recovered.Notes)
	table.Disconnect(now, inflight.Journal)
	return table, recovered.Files
}

// Guards against an effect that WaitDurable has confirmed and that is lost, however often a process is killed or the power cut, in
// the middle of whatever: each time a successor reads what is there, and goes on.
func TestRandomKills(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		confirmed := map[string]bool{}
		run := func(m *memoryDisk, incarnation int) (left *memoryDisk) {
			m.stepsLeft = rapid.IntRange(0, 60).Draw(t, "steps")
			table, names := recoverTable(t, m, now)
			for txn := range confirmed {
				if first, _ := table.Start(now, inflight.ID{Txn: txn, Class: "c", Retention: time.Hour}); first.SentAt.IsZero() {
					t.Fatalf("%s was confirmed and is lost in incarnation %d", txn, incarnation)
				}
				table.Finish(now, txn)
			}
			j := &Journal{Disk: m, Table: table, OnFault: func(error) {}}
			j.Start(names)
			defer j.Close()
			for i := range rapid.IntRange(0, 30).Draw(t, "requests") {
				id := inflight.ID{Txn: fmt.Sprint(incarnation, i), Class: "c", Retention: time.Hour}
				table.Start(now, id)
				n, _ := table.AttemptStarted(now, id.Txn, 1)
				durable := j.WaitDurable()
				ends := rapid.IntRange(0, 3).Draw(t, "ends")
				if ends == 0 { // it never ran
					table.AttemptEnded(id.Txn, n, false)
				} else if durable {
					confirmed[id.Txn] = true
				}
				if ends < 2 {
					table.Finish(now, id.Txn)
				}
			}
			return m.afterPowerCut(rapid.IntRange(0, 16).Draw(t, "part"), rapid.Bool().Draw(t, "renamed"))
		}
		disk := newMemoryDisk(-1)
		for incarnation := range 4 {
			disk = run(disk, incarnation)
		}
	})
}

// Guards against a disk that fails and holds requests up, or is not tried again, or loses what came while it failed.
func TestFailingDisk(t *testing.T) {
	m := newMemoryDisk(-1)
	table, j, faults := newJournaledTable(m)
	j.Start(nil)
	send := func(txn string) {
		table.Start(time.Now(), inflight.ID{Txn: txn, Class: "c", Retention: time.Hour})
		table.AttemptStarted(time.Now(), txn, 1)
	}
	if send("a"); !j.WaitDurable() {
		t.Fatal("a disk that works confirms nothing")
	}
	m.mu.Lock()
	m.stepsLeft = 0
	m.mu.Unlock()
	if send("b"); j.WaitDurable() {
		t.Error("a disk that fails confirms a write")
	}
	if send("c"); j.WaitDurable() {
		t.Error("a disk that has failed confirms a write")
	}
	m.mu.Lock()
	m.stepsLeft = -1
	m.mu.Unlock()
	for !j.WaitDurable() { // it is tried again in a second
		time.Sleep(time.Millisecond)
	}
	j.Close()
	after, _ := recoverTable(t, m.afterPowerCut(0, false), time.Now())
	for _, txn := range []string{"a", "b", "c"} {
		if first, _ := after.Start(time.Now(), inflight.ID{Txn: txn, Class: "c", Retention: time.Hour}); first.SentAt.IsZero() {
			t.Errorf("%s is forgotten", txn)
		}
	}
	if len(*faults) != 2 || (*faults)[1] != "<nil>" || j.TakeMissed() < 2 {
		t.Errorf("told %q", *faults)
	}
}

// Guards against a slow disk that holds up every request, not just the first that finds it so, and against changes that
// come faster than it takes them being confirmed and lost.
func TestSlowDisk(t *testing.T) {
	m := newMemoryDisk(-1)
	table, j, _ := newJournaledTable(m)
	j.Start(nil)
	block := make(chan struct{})
	m.block = block
	table.Start(time.Now(), inflight.ID{Txn: "a", Class: "c", Retention: time.Hour})
	table.AttemptStarted(time.Now(), "a", 1)
	if j.WaitDurable() {
		t.Error("a disk that is blocked confirms a write")
	}
	from := time.Now()
	for range 100 {
		if j.WaitDurable() {
			t.Error("a disk that is blocked confirms a write")
		}
	}
	if took := time.Since(from); took > 50*syncTimeout {
		t.Errorf("a hundred more waited for it: %v", took)
	}
	long := strings.Repeat("x", 600)
	for i := range 10000 { // more than may wait, and than one file takes
		id := inflight.ID{Txn: fmt.Sprint(long, i), Class: "c", Retention: time.Hour}
		table.Start(time.Now(), id)
		table.AttemptStarted(time.Now(), id.Txn, 1)
	}
	close(block)
	for !j.WaitDurable() {
		time.Sleep(time.Millisecond)
	}
	j.Close()
	recovered, err := RecoverEffects(m.afterPowerCut(0, false), Now())
	if err != nil || !slices.ContainsFunc(recovered.Notes, func(n inflight.Update) bool { return n.Txn == fmt.Sprint(long, 9999) }) {
		t.Errorf("the last of 10000 is not in the journal: %d lines, %v", len(recovered.Notes), err)
	}
}

// Guards against a request that a killed process had sent, and that is in no file: a disk that is slow to sync takes writes all
// the same, and the kernel keeps those.
func TestKillOnSlowDisk(t *testing.T) {
	m := newMemoryDisk(-1)
	table, j, _ := newJournaledTable(m)
	j.Start(nil)
	block := make(chan struct{})
	m.mu.Lock()
	m.block = block
	m.mu.Unlock()
	for _, txn := range []string{"a", "b", "c"} {
		id := inflight.ID{Txn: txn, Class: "c", Retention: time.Hour}
		table.Start(time.Now(), id)
		table.AttemptStarted(time.Now(), txn, 1)
		if j.WaitDurable() {
			t.Errorf("a disk that is blocked confirms a write")
		}
		after, _ := recoverTable(t, m.afterPowerCut(16, true), time.Now()) // it is killed as the request is sent
		if first, _ := after.Start(time.Now(), id); first.SentAt.IsZero() {
			t.Errorf("%s is forgotten", txn)
		}
	}
	close(block)
	for !j.WaitDurable() {
		runtime.Gosched()
	}
	j.Close()
	after, _ := recoverTable(t, m.afterPowerCut(0, false), time.Now())
	for _, txn := range []string{"a", "b", "c"} {
		if first, _ := after.Start(time.Now(), inflight.ID{Txn: txn, Class: "c", Retention: time.Hour}); first.SentAt.IsZero() {
			t.Errorf("%s is confirmed and lost", txn)
		}
	}
}

// Guards against a confirmation of what did not fit, while the file that is to have it is not on the disk yet: the steps of
// run are taken one by one.
func TestNotDurableBeforeNextFile(t *testing.T) {
	m := newMemoryDisk(-1)
	table, j, _ := newJournaledTable(m)
	j.wake, j.nextSync = make(chan struct{}, 1), make(chan struct{})
	j.setResult(j.rotate())
	for i := range 10000 { // more than may wait
		id := inflight.ID{Txn: fmt.Sprint(i), Class: "c", Retention: time.Hour}
		table.Start(time.Now(), id)
		table.AttemptStarted(time.Now(), id.Txn, 1)
	}
	j.setResult(j.sync())
	block, begun := make(chan struct{}), make(chan error)
	m.block = block
	go func() { begun <- j.rotate() }()
	for names := []string{}; len(names) < 2; names, _ = m.Names() {
		runtime.Gosched()
	}
	if j.WaitDurable() {
		t.Error("what is in no file yet is confirmed")
	}
	close(block)
	if err := <-begun; err != nil || !j.WaitDurable() {
		t.Errorf("once it is there nothing is confirmed: %v", err)
	}
}

// Guards against journals that grow without end, and against locks and files that the operating system's disk leaves.
func TestRotation(t *testing.T) {
	d := Dir(t.TempDir())
	table, j, faults := newJournaledTable(d)
	j.Start(nil)
	long := strings.Repeat("x", 100)
	for i := range 30000 {
		id := inflight.ID{Txn: fmt.Sprint(long, i), Class: "c", Retention: time.Hour}
		table.Start(time.Now(), id)
		table.AttemptStarted(time.Now(), id.Txn, 1)
		table.Finish(time.Now(), id.Txn)
		if i%100 == 0 && !j.WaitDurable() && i > 10000 && j.TakeMissed() > 250 {
			t.Fatal("hardly a write is confirmed")
		}
	}
	if r, err := RecoverEffects(d, Now()); err != nil || len(r.Files) > 0 || r.Alive != 1 {
		t.Errorf("while it runs: %q, %d alive, %v", r.Files, r.Alive, err)
	}
	j.Close()
	names, err := d.Names()
	if err != nil || len(names) != 1 || names[0] == journalPrefix+"000000001" || len(*faults) > 0 {
		t.Fatalf("%q, %v, %q", names, err, *faults)
	}
	info, err := os.Stat(filepath.Join(string(d.(directory)), names[0]))
	if err != nil || info.Size() > maxJournalBytes+maxPendingBytes {
		t.Errorf("%d bytes, %v", info.Size(), err)
	}
	after, _ := recoverTable(t, d, time.Now())
	if past, _ := after.Counts(); past != 1000 {
		t.Errorf("%d effects are remembered, 1000 at most", past)
	}
}

// Guards against a wall clock that was set back between two processes: an effect's age is what has really passed.
func TestJournalAfterClockStep(t *testing.T) {
	then := Timestamp{Wall: time.Unix(5000, 0), Boot: "b", Up: time.Hour}
	text := appendNote(appendLine(nil, journalHeader{then}), inflight.Update{ID: inflight.ID{Txn: "a", Class: "c", Retention: time.Minute},
		Attempt: inflight.Attempt{Endpoint: 1, SentAt: then.Wall.Add(time.Second)}})
	notes, skipped := DecodeJournal(append(text, "0123456789abcdef {}\nhalf a li"...), Timestamp{Wall: time.Unix(1000, 0), Boot: "b", Up: time.Hour + 10*time.Second})
	if len(notes) != 1 || skipped != 2 || !notes[0].SentAt.Equal(time.Unix(991, 0)) {
		t.Errorf("%+v, %d lines left out", notes, skipped)
	}
}

// FuzzDecodeSnapshot: whatever a file holds is an error, or what was saved.
func FuzzDecodeSnapshot(f *testing.F) {
	valid, _ := testSnapshot(`{"a":[1,2]}`).encode()
	f.Add(valid)
	f.Add(valid[:20])
	f.Add([]byte("pinelb snapshot 1 5 0000000000000000\n12345"))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := DecodeSnapshot(text)
		if (s == nil) == (err == nil) {
			t.Errorf("%v, %v", s, err)
		}
	})
}

// FuzzDecodeJournal: whatever a file holds, a table that hears it holds what it has room for, and goes on.
func FuzzDecodeJournal(f *testing.F) {
	note := inflight.Update{ID: inflight.ID{Txn: "a", Class: "c", Key: "k", Retention: time.Minute}, Attempt: inflight.Attempt{Endpoint: 1, SentAt: time.Unix(1000, 0)}}
	valid := appendNote(appendLine(nil, journalHeader{Timestamp{Wall: time.Unix(1000, 0)}}), note)
	f.Add(valid, 3)
	f.Add(valid[:len(valid)-4], 7)
	f.Fuzz(func(t *testing.T, text []byte, at int) {
		if len(text) > 0 { // a line that is valid but for its checksum is none
			i := max(0, at) % len(text)
			text = append(appendLine(bytes.Clone(text), json.RawMessage(`{"Txn":"x","Class":"c","At":"9999-01-01T00:00:00Z","Keep":9223372036854775807}`)), text[i:]...)
		}
		notes, _ := DecodeJournal(text, Timestamp{Wall: time.Unix(2000, 0)})
		table := inflight.New(2)
		table.Apply(time.Unix(2000, 0), inflight.Journal, notes)
		table.Disconnect(time.Unix(2000, 0), inflight.Journal)
		if past, _ := table.Counts(); past > 2 {
			t.Errorf("%d effects of 2 at most", past)
		}
		table.Start(time.Unix(2001, 0), inflight.ID{Txn: "a", Class: "c"})
	})
}
