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

// memory is a disk that can lose power: what was not synced is then there, there in part or not there.
type memory struct {
	mu    sync.Mutex
	files map[string]*[2][]byte // by name: what is on the disk for sure, and what has been written
	names map[string]*[2][]byte // the directory as it is on the disk for sure
	steps int                   // until all fails; below 0: never
	block chan struct{}         // syncs wait for it; nil: they don't
}

var errPower = errors.New("no power, or no room")

func newMemory(steps int) *memory {
	return &memory{files: map[string]*[2][]byte{}, names: map[string]*[2][]byte{}, steps: steps}
}

// step counts a change; the caller holds the lock.
func (m *memory) step() error {
	if m.steps == 0 {
		return errPower
	}
	m.steps--
	return nil
}

func (m *memory) Create(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.files[name] = &[2][]byte{}
	return &open{m, m.files[name]}, m.step()
}

func (m *memory) Read(name string, most int64) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if f := m.files[name]; f != nil {
		return f[1][:min(int(most), len(f[1]))], nil
	}
	return nil, os.ErrNotExist
}

func (m *memory) Rename(from, to string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.step(); err != nil {
		return err
	}
	m.files[to] = m.files[from]
	delete(m.files, from)
	return nil
}

func (m *memory) Remove(name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.files, name)
	return m.step()
}

func (m *memory) Names() ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Sorted(maps.Keys(m.files)), nil
}

func (m *memory) Sync() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.step(); err != nil {
		return err
	}
	m.names = maps.Clone(m.files)
	return nil
}

func (m *memory) Lock(string) (func(), error) { return func() {}, nil }

type open struct {
	m *memory
	f *[2][]byte
}

func (o *open) Write(b []byte) (int, error) {
	o.m.mu.Lock()
	defer o.m.mu.Unlock()
	o.f[1] = append(o.f[1], b...) // some of it may come to the disk in any case
	return len(b), o.m.step()
}

func (o *open) Sync() error {
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

func (o *open) Close() error { return nil }

// after is the disk after a power cut: the share of what was not synced that is there, in sixteenths, and whether renames
// that were not synced are.
func (m *memory) after(sixteenths int, renamed bool) *memory {
	m.mu.Lock()
	defer m.mu.Unlock()
	out, names := newMemory(-1), m.names
	if renamed {
		names = m.files
	}
	for name, f := range names {
		lost := len(f[1]) - len(f[0])
		text := slices.Clone(f[1][:len(f[0])+lost*sixteenths/16])
		out.files[name] = &[2][]byte{text, text}
	}
	out.names = maps.Clone(out.files)
	return out
}

func snapshot(state string) *Snapshot {
	return &Snapshot{Saved: Clock{Wall: time.Unix(1000, 0)}, Site: "here", State: json.RawMessage(state)}
}

// Guards against a snapshot that is neither the old nor the new one, wherever the power is cut.
func TestPowerCutAtEveryStep(t *testing.T) {
	for steps := 4; ; steps++ { // the first snapshot takes four
		m := newMemory(steps)
		if _, err := Save(m, snapshot(`"old"`)); err != nil && steps >= 5 {
			t.Fatal(err)
		}
		_, err := Save(m, snapshot(`"new"`))
		for part := range 17 {
			for _, renamed := range []bool{true, false} {
				got, _, fault := Load(m.after(part, renamed), Clock{Wall: time.Unix(1001, 0)}, "here", time.Minute)
				if steps < 5 && errors.Is(fault, ErrNone) {
					continue // the first was not whole yet
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

// Guards against a snapshot that is believed and must not be, and against a message that does not say why.
func TestSuspicion(t *testing.T) {
	now := Clock{Wall: time.Unix(1060, 0), Boot: "b", Up: time.Hour}
	whole, err := snapshot(`{"a":1}`).encode()
	if err != nil {
		t.Fatal(err)
	}
	sameBoot := snapshot(`1`)
	sameBoot.Saved = Clock{Wall: time.Unix(5000, 0), Boot: "b", Up: time.Hour - time.Minute} // the clock was set back since
	booted, err := sameBoot.encode()
	if err != nil {
		t.Fatal(err)
	}
	flipped := bytes.Clone(whole)
	flipped[len(flipped)-3] ^= 1
	for name, c := range map[string]struct {
		text   []byte
		now    Clock
		site   string
		oldest time.Duration
		says   string
	}{
		"whole":                  {whole, now, "here", time.Hour, ""},
		"set back, same start":   {booted, now, "here", time.Hour, ""},
		"too old":                {whole, now, "here", 59 * time.Second, "1m0s ago"},
		"set back":               {whole, Clock{Wall: time.Unix(900, 0)}, "here", time.Hour, "set back"},
		"another site's":         {whole, now, "there", time.Hour, "another site"},
		"cut off":                {whole[:len(whole)-1], now, "here", time.Hour, "cut off"},
		"a bit flipped":          {flipped, now, "here", time.Hour, "has changed"},
		"newer":                  {bytes.Replace(whole, []byte("snapshot 1"), []byte("snapshot 2"), 1), now, "here", time.Hour, "version 2"},
		"empty":                  {nil, now, "here", time.Hour, "not a snapshot"},
		"of another kind":        {[]byte("{}\n"), now, "here", time.Hour, "not a snapshot"},
		"a head without its end": {[]byte("pinelb " + kind + " 1"), now, "here", time.Hour, "cut off"},
	} {
		m := newMemory(-1)
		m.files[snapshotName] = &[2][]byte{c.text, c.text}
		s, age, err := Load(m, c.now, c.site, c.oldest)
		if c.says == "" && (err != nil || age != time.Minute || s == nil) || c.says != "" && (err == nil || !strings.Contains(err.Error(), c.says)) {
			t.Errorf("%s: %+v, %v, %v", name, s, age, err)
		}
	}
}

// journaled is a table with a journal on a disk.
func journaled(d Disk) (*inflight.Table, *Journal, *[]string) {
	said := &[]string{}
	table := inflight.New(1000)
	j := &Journal{Disk: d, Table: table, Fault: func(err error) { *said = append(*said, fmt.Sprint(err)) }}
	return table, j, said
}

// reads has a fresh table read the journal.
func reads(t interface{ Fatal(...any) }, d Disk, now time.Time) (*inflight.Table, []string) {
	notes, _, left, _, err := Effects(d, Clock{Wall: now})
	if err != nil {
		t.Fatal(err)
	}
	table := inflight.New(1000)
	table.Apply(now, inflight.Journal, notes)
	table.Disconnect(now, inflight.Journal)
	return table, left
}

// Guards against an effect that was promised to be kept and is not, however often a process is killed or the power cut, in
// the middle of whatever: each time a successor reads what is left, and goes on.
func TestKilledAtRandom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		promised := map[string]bool{}
		live := func(m *memory, life int) (left *memory) {
			m.steps = rapid.IntRange(0, 60).Draw(t, "steps")
			table, names := reads(t, m, now)
			for txn := range promised {
				if first, _ := table.Start(now, inflight.ID{Txn: txn, Class: "c", Retention: time.Hour}); first.SentAt.IsZero() {
					t.Fatalf("%s was promised and is forgotten in life %d", txn, life)
				}
				table.Finish(now, txn)
			}
			j := &Journal{Disk: m, Table: table, Fault: func(error) {}}
			j.Begin(names)
			defer j.Close()
			for i := range rapid.IntRange(0, 30).Draw(t, "requests") {
				id := inflight.ID{Txn: fmt.Sprint(life, i), Class: "c", Retention: time.Hour}
				table.Start(now, id)
				n, _ := table.AttemptStarted(now, id.Txn, 1)
				kept := j.Kept()
				ends := rapid.IntRange(0, 3).Draw(t, "ends")
				if ends == 0 { // it never ran
					table.AttemptEnded(id.Txn, n, false)
				} else if kept {
					promised[id.Txn] = true
				}
				if ends < 2 {
					table.Finish(now, id.Txn)
				}
			}
			return m.after(rapid.IntRange(0, 16).Draw(t, "part"), rapid.Bool().Draw(t, "renamed"))
		}
		disk := newMemory(-1)
		for life := range 4 {
			disk = live(disk, life)
		}
	})
}

// Guards against a disk that fails and holds requests up, or is not tried again, or loses what came while it failed.
func TestFailingDisk(t *testing.T) {
	m := newMemory(-1)
	table, j, said := journaled(m)
	j.Begin(nil)
	send := func(txn string) {
		table.Start(time.Now(), inflight.ID{Txn: txn, Class: "c", Retention: time.Hour})
		table.AttemptStarted(time.Now(), txn, 1)
	}
	if send("a"); !j.Kept() {
		t.Fatal("a disk that works keeps nothing")
	}
	m.mu.Lock()
	m.steps = 0
	m.mu.Unlock()
	if send("b"); j.Kept() {
		t.Error("a disk that fails keeps a promise")
	}
	if send("c"); j.Kept() {
		t.Error("a disk that has failed keeps a promise")
	}
	m.mu.Lock()
	m.steps = -1
	m.mu.Unlock()
	for !j.Kept() { // it is tried again in a second
		time.Sleep(time.Millisecond)
	}
	j.Close()
	after, _ := reads(t, m.after(0, false), time.Now())
	for _, txn := range []string{"a", "b", "c"} {
		if first, _ := after.Start(time.Now(), inflight.ID{Txn: txn, Class: "c", Retention: time.Hour}); first.SentAt.IsZero() {
			t.Errorf("%s is forgotten", txn)
		}
	}
	if len(*said) != 2 || (*said)[1] != "<nil>" || j.Missed() < 2 {
		t.Errorf("told %q", *said)
	}
}

// Guards against a slow disk that holds up every request, not just the first that finds it so, and against changes that
// come faster than it takes them being promised and lost.
func TestSlowDisk(t *testing.T) {
	m := newMemory(-1)
	table, j, _ := journaled(m)
	j.Begin(nil)
	block := make(chan struct{})
	m.block = block
	table.Start(time.Now(), inflight.ID{Txn: "a", Class: "c", Retention: time.Hour})
	table.AttemptStarted(time.Now(), "a", 1)
	if j.Kept() {
		t.Error("a disk that is blocked keeps a promise")
	}
	from := time.Now()
	for range 100 {
		if j.Kept() {
			t.Error("a disk that is blocked keeps a promise")
		}
	}
	if took := time.Since(from); took > 50*keptWithin {
		t.Errorf("a hundred more waited for it: %v", took)
	}
	long := strings.Repeat("x", 600)
	for i := range 10000 { // more than may wait, and than one file takes
		id := inflight.ID{Txn: fmt.Sprint(long, i), Class: "c", Retention: time.Hour}
		table.Start(time.Now(), id)
		table.AttemptStarted(time.Now(), id.Txn, 1)
	}
	close(block)
	for !j.Kept() {
		time.Sleep(time.Millisecond)
	}
	j.Close()
	left, _, _, _, err := Effects(m.after(0, false), Now())
	if err != nil || !slices.ContainsFunc(left, func(n inflight.Update) bool { return n.Txn == fmt.Sprint(long, 9999) }) {
		t.Errorf("the last of 10000 is not in the journal: %d lines, %v", len(left), err)
	}
}

// Guards against a request that a killed process had sent, and that is in no file: a disk that is slow to sync takes writes all
// the same, and the kernel keeps those.
func TestKilledOnASlowDisk(t *testing.T) {
	m := newMemory(-1)
	table, j, _ := journaled(m)
	j.Begin(nil)
	block := make(chan struct{})
	m.mu.Lock()
	m.block = block
	m.mu.Unlock()
	for _, txn := range []string{"a", "b", "c"} {
		id := inflight.ID{Txn: txn, Class: "c", Retention: time.Hour}
		table.Start(time.Now(), id)
		table.AttemptStarted(time.Now(), txn, 1)
		if j.Kept() {
			t.Errorf("a disk that is blocked keeps a promise")
		}
		after, _ := reads(t, m.after(16, true), time.Now()) // it is killed as the request is sent
		if first, _ := after.Start(time.Now(), id); first.SentAt.IsZero() {
			t.Errorf("%s is forgotten", txn)
		}
	}
	close(block)
	for !j.Kept() {
		runtime.Gosched()
	}
	j.Close()
	after, _ := reads(t, m.after(0, false), time.Now())
	for _, txn := range []string{"a", "b", "c"} {
		if first, _ := after.Start(time.Now(), inflight.ID{Txn: txn, Class: "c", Retention: time.Hour}); first.SentAt.IsZero() {
			t.Errorf("%s is promised and forgotten", txn)
		}
	}
}

// Guards against a promise for what did not fit, given while the file that is to have it is not on the disk yet: the steps of
// run are taken one by one.
func TestNoPromiseBeforeTheNextFile(t *testing.T) {
	m := newMemory(-1)
	table, j, _ := journaled(m)
	j.wake, j.next = make(chan struct{}, 1), make(chan struct{})
	j.set(j.begin())
	for i := range 10000 { // more than may wait
		id := inflight.ID{Txn: fmt.Sprint(i), Class: "c", Retention: time.Hour}
		table.Start(time.Now(), id)
		table.AttemptStarted(time.Now(), id.Txn, 1)
	}
	j.set(j.flush())
	block, begun := make(chan struct{}), make(chan error)
	m.block = block
	go func() { begun <- j.begin() }()
	for names := []string{}; len(names) < 2; names, _ = m.Names() {
		runtime.Gosched()
	}
	if j.Kept() {
		t.Error("what is in no file yet is promised")
	}
	close(block)
	if err := <-begun; err != nil || !j.Kept() {
		t.Errorf("once it is there nothing is promised: %v", err)
	}
}

// Guards against journals that grow without end, and against locks and files that the operating system's disk leaves.
func TestRotation(t *testing.T) {
	d := Dir(t.TempDir())
	table, j, said := journaled(d)
	j.Begin(nil)
	long := strings.Repeat("x", 100)
	for i := range 30000 {
		id := inflight.ID{Txn: fmt.Sprint(long, i), Class: "c", Retention: time.Hour}
		table.Start(time.Now(), id)
		table.AttemptStarted(time.Now(), id.Txn, 1)
		table.Finish(time.Now(), id.Txn)
		if i%100 == 0 && !j.Kept() && i > 10000 && j.Missed() > 250 {
			t.Fatal("hardly a promise is kept")
		}
	}
	if _, _, left, alive, err := Effects(d, Now()); err != nil || len(left) > 0 || alive != 1 {
		t.Errorf("while it runs: %q, %d alive, %v", left, alive, err)
	}
	j.Close()
	names, err := d.Names()
	if err != nil || len(names) != 1 || names[0] == journalName+"000000001" || len(*said) > 0 {
		t.Fatalf("%q, %v, %q", names, err, *said)
	}
	info, err := os.Stat(filepath.Join(string(d.(dir)), names[0]))
	if err != nil || info.Size() > journalMost+waitMost {
		t.Errorf("%d bytes, %v", info.Size(), err)
	}
	after, _ := reads(t, d, time.Now())
	if past, _ := after.Counts(); past != 1000 {
		t.Errorf("%d effects are remembered, 1000 at most", past)
	}
}

// Guards against a wall clock that was set back between two processes: an effect's age is what has really passed.
func TestJournalOverASetClock(t *testing.T) {
	then := Clock{Wall: time.Unix(5000, 0), Boot: "b", Up: time.Hour}
	text := appendNote(line(nil, header{then}), inflight.Update{ID: inflight.ID{Txn: "a", Class: "c", Retention: time.Minute},
		Attempt: inflight.Attempt{Endpoint: 1, SentAt: then.Wall.Add(time.Second)}})
	notes, skipped := DecodeJournal(append(text, "0123456789abcdef {}\nhalf a li"...), Clock{Wall: time.Unix(1000, 0), Boot: "b", Up: time.Hour + 10*time.Second})
	if len(notes) != 1 || skipped != 2 || !notes[0].SentAt.Equal(time.Unix(991, 0)) {
		t.Errorf("%+v, %d lines left out", notes, skipped)
	}
}

// FuzzDecode: whatever a file holds is an error, or what was saved.
func FuzzDecode(f *testing.F) {
	whole, _ := snapshot(`{"a":[1,2]}`).encode()
	f.Add(whole)
	f.Add(whole[:20])
	f.Add([]byte("pinelb snapshot 1 5 0000000000000000\n12345"))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := Decode(text)
		if (s == nil) == (err == nil) {
			t.Errorf("%v, %v", s, err)
		}
	})
}

// FuzzJournal: whatever a file holds, a table that hears it holds what it has room for, and goes on.
func FuzzJournal(f *testing.F) {
	note := inflight.Update{ID: inflight.ID{Txn: "a", Class: "c", Key: "k", Retention: time.Minute}, Attempt: inflight.Attempt{Endpoint: 1, SentAt: time.Unix(1000, 0)}}
	whole := appendNote(line(nil, header{Clock{Wall: time.Unix(1000, 0)}}), note)
	f.Add(whole, 3)
	f.Add(whole[:len(whole)-4], 7)
	f.Fuzz(func(t *testing.T, text []byte, at int) {
		if len(text) > 0 { // a line that is whole but for its sum is none
			i := max(0, at) % len(text)
			text = append(line(bytes.Clone(text), json.RawMessage(`{"Txn":"x","Class":"c","At":"9999-01-01T00:00:00Z","Keep":9223372036854775807}`)), text[i:]...)
		}
		notes, _ := DecodeJournal(text, Clock{Wall: time.Unix(2000, 0)})
		table := inflight.New(2)
		table.Apply(time.Unix(2000, 0), inflight.Journal, notes)
		table.Disconnect(time.Unix(2000, 0), inflight.Journal)
		if past, _ := table.Counts(); past > 2 {
			t.Errorf("%d effects of 2 at most", past)
		}
		table.Start(time.Unix(2001, 0), inflight.ID{Txn: "a", Class: "c"})
	})
}
