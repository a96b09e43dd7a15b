package auditlog

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"reflect"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/persistence"
	"pinelb.example/pinelb/internal/version"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func fixedClock() persistence.Timestamp {
	return persistence.Timestamp{Wall: time.UnixMilli(5000), Up: time.Second}
}

func testNames(class int, host balance.EndpointID) (string, string) {
	return fmt.Sprint("class", class), fmt.Sprint("host-", host)
}

// book is one that goes on from a past.
func newTestLog(incarnation string, past []Entry) *Log {
	b := NewLog(incarnation, "test", past, fixedClock)
	b.Names(testNames)
	return b
}

// list has a book adopt a list.
func adoptList(b *Log, revision int64) {
	b.Change(func(v *version.Version) { v.List.Revision = revision }, "list", func(uint32) {})
}

// busy notes something of each kind.
func appendAllKinds(b *Log, n int) {
	for i := range n {
		adoptList(b, int64(i+1))
		_, under := b.Version()
		b.Sent(under, 0, 7, i%2 == 1)
		b.Ended(under, 0, 7, true, false)
		b.Append(Entry{Kind: VerdictChanged, State: "behind", Reason: "w\xff"})
		order := version.Order{Minimum: version.MinimumVersion{Epoch: uint64(i + 1), By: "a", Builds: []string{}}}
		b.Append(Entry{Kind: Ordered, Order: &order})
	}
	b.Flush()
}

// has are the flaws of faults.
func faultKinds(faults []Fault) (flaws []FaultKind) {
	for _, f := range faults {
		flaws = append(flaws, f.Kind)
	}
	return flaws
}

// Guards against a change to a trail that does not show, and against a whole one that is said not to be.
func TestCheck(t *testing.T) {
	former := newTestLog("a", nil)
	appendAllKinds(former, 4)
	handed := former.Entries()
	next := newTestLog("b", handed)
	appendAllKinds(next, 2)
	appendAllKinds(former, 1) // beside its successor
	n := len(handed)
	both := append(next.Entries(), former.Entries()[n:]...)
	slices.SortStableFunc(both, bySeq)
	change := func(i int, edit func(*Entry)) []Entry {
		out := slices.Clone(handed)
		edit(&out[i])
		return out
	}
	remade := func(i int, edit func(*Entry)) []Entry {
		return change(i, func(e *Entry) { edit(e); e.Sum = checksum(*e) })
	}
	withLoss := slices.Clone(handed)
	e, _, _ := link(handed[n-1], Entry{Incarnation: "a", Kind: Lost, N: 2, UpTo: 6})
	withLoss = append(slices.Delete(withLoss, 4, 6), e)
	for name, c := range map[string]struct {
		entries []Entry
		want    []FaultKind
	}{
		"whole":                        {handed, nil},
		"none":                         {nil, nil},
		"succeeded":                    {next.Entries(), nil},
		"two processes":                {both, nil},
		"older ones dropped":           {handed[3:], nil},
		"one missing":                  {slices.Delete(slices.Clone(handed), 3, 4), []FaultKind{Missing}},
		"a whole life missing":         {append(slices.Clone(handed[:3]), next.Entries()[n:]...), []FaultKind{Missing}},
		"missing, and told so":         {withLoss, nil},
		"missing, and one more":        {slices.Delete(slices.Clone(withLoss), 6, 7), []FaultKind{Missing}},
		"twice":                        {slices.Insert(slices.Clone(handed), 3, handed[2]), []FaultKind{Disordered}},
		"changed":                      {change(3, func(e *Entry) { e.At++ }), []FaultKind{Changed}},
		"another sum":                  {change(3, func(e *Entry) { e.Sum = handed[2].Sum }), []FaultKind{Changed, Unchained}},
		"made anew":                    {remade(3, func(e *Entry) { e.At++ }), []FaultKind{Unchained}},
		"another life's":               {remade(3, func(e *Entry) { e.Incarnation = "x" }), []FaultKind{Unchained, Missing}},
		"the first goes on":            {remade(0, func(e *Entry) { e.Prev = handed[2].Sum }), []FaultKind{Unchained, Unchained}},
		"a later one that goes on":     {remade(0, func(e *Entry) { e.Seq = 2; e.Kind = VerdictChanged })[:1], []FaultKind{Unchained}},
		"a fork from nothing known":    {append(slices.Clone(handed[:3]), remade(3, func(e *Entry) { e.Incarnation, e.Kind, e.Prev = "x", Started, e.Sum })[3]), []FaultKind{Unchained}},
		"another life's begins from 1": {append(slices.Clone(handed), newTestLog("c", nil).Entries()...), nil},
	} {
		if got := faultKinds(Check(c.entries)); !slices.Equal(got, c.want) {
			t.Errorf("%s: %v, not %v", name, Check(c.entries), c.want)
		}
	}
	for i := range handed { // whatever in it is changed
		var e map[string]any
		text, _ := json.Marshal(handed[i])
		_ = json.Unmarshal(text, &e)
		for key := range e {
			with := maps.Clone(e)
			delete(with, key)
			text, _ := json.Marshal(with)
			out := slices.Clone(handed)
			out[i] = Entry{}
			if _ = json.Unmarshal(text, &out[i]); !reflect.DeepEqual(out, handed) && Check(out) == nil {
				t.Errorf("entry %d is whole without %s", i+1, key)
			}
		}
	}
}

// Guards against numbers that come in another order than what is applied under them, against attempts that are counted twice,
// not at all, or under another number, and against a lock that is held where names are asked for.
func TestNumbersUnderConcurrency(t *testing.T) {
	b := NewLog("a", "test", nil, fixedClock)
	b.Names(func(class int, host balance.EndpointID) (string, string) {
		b.Flush() // what gives names may wait for a Change
		return testNames(class, host)
	})
	var applied []uint32 // by whoever has the book's lock
	var current sync.Map
	var wait sync.WaitGroup
	sent := make([]map[uint32]int, 8)
	for g := range 8 {
		sent[g] = map[uint32]int{}
		wait.Go(func() {
			for i := range 40 {
				b.Change(func(v *version.Version) { v.List.Revision, v.File = int64(i), version.Digest(g+1) }, "x", func(under uint32) {
					applied = append(applied, under)
					current.Store("under", under)
				})
				got, _ := current.Load("under")
				under := got.(uint32)
				b.Sent(under, g, balance.EndpointID(i%3), false)
				b.Ended(under, g, balance.EndpointID(i%3), i%2 == 0, i%2 == 1)
				sent[g][under]++
				if i%10 == 0 {
					b.Flush()
				}
			}
		})
	}
	wait.Wait()
	b.Flush()
	entries := b.Entries()
	if !slices.IsSorted(applied) || len(applied) != 320 || Check(entries) != nil {
		t.Fatalf("%d changes, in order %v, %v", len(applied), slices.IsSorted(applied), Check(entries))
	}
	counted, of := map[string]int{}, map[string]int{}
	for _, e := range entries {
		for _, a := range e.Attempts {
			counted[fmt.Sprint(e.VersionID, a.Class)] += a.N
			counted["ended"] += a.Unsent + a.Withdrawn
		}
	}
	for g := range sent {
		for under, n := range sent[g] {
			of[fmt.Sprint(under, "class", g)] += n
			of["ended"] += n
		}
	}
	if !maps.Equal(counted, of) {
		t.Errorf("%d of %d numbers and classes are counted right", len(counted), len(of))
	}
}

// Guards against attempts that are told after what ended them, or in no entry, and against a late one under another number.
func TestCountsPrecedeNextVersion(t *testing.T) {
	b := newTestLog("a", nil)
	adoptList(b, 1)
	b.Sent(1, 0, 7, false)
	adoptList(b, 2)
	b.Sent(2, 0, 7, true)
	b.Ended(1, 0, 7, false, true)
	b.Append(Entry{Kind: Ended})
	said := ""
	for _, e := range b.Entries() {
		said += fmt.Sprintf("%s %d %v %d\n", e.Kind, e.VersionID, e.Attempts, e.Crossed)
	}
	want := "began 0 [] 0\nadopted 1 [] 0\ncounted 1 [{class0 host-7 1 0 0}] 0\nadopted 2 [] 0\n" +
		"counted 1 [{class0 host-7 0 0 1}] 0\ncounted 2 [{class0 host-7 1 0 0}] 1\nended 0 [] 0\n"
	if said != want {
		t.Errorf("%s, not %s", said, want)
	}
}

// Guards against a process that takes an order which a former one would not have.
func TestLastOrder(t *testing.T) {
	entry := func(epoch uint64, by, why string) Entry {
		return Entry{Kind: Ordered, Reason: why, Order: &version.Order{Minimum: version.MinimumVersion{Epoch: epoch, By: by}}}
	}
	adopted := Entry{Kind: Adopted, Version: &version.Version{Epoch: 8}}
	for _, c := range []struct {
		entries []Entry
		epoch   uint64
		by      string
	}{
		{nil, 0, ""},
		{[]Entry{entry(5, "a", ""), entry(5, "b", ""), entry(5, "a", ""), entry(4, "c", ""), entry(9, "c", "another site's")}, 5, "b"},
		{[]Entry{entry(5, "b", ""), adopted, entry(7, "c", "")}, 8, ""},
		{[]Entry{adopted, entry(8, "a", "")}, 8, "a"},
	} {
		if epoch, by := LastOrder(c.entries); epoch != c.epoch || by != c.by {
			t.Errorf("%d by %q, not %d by %q", epoch, by, c.epoch, c.by)
		}
	}
}

// Guards against a nil book that does not let changes through.
func TestNilLog(t *testing.T) {
	var b *Log
	under := uint32(9)
	b.Change(func(*version.Version) { t.Error("edited") }, "x", func(u uint32) { under = u })
	b.Sent(1, 2, 3, true)
	b.Ended(1, 2, 3, true, false)
	b.Append(Entry{Kind: Ended})
	b.Flush()
	entries, next, first := b.EntriesSince(0, 100)
	if under != 0 || entries != nil || next != 1 || first != 1 || b.Entries() != nil {
		t.Errorf("%d, %v, %d, %d", under, entries, next, first)
	}
}

// Guards against a ring that grows, that forgets the epoch or the version, against renewals that fill it, against a number for
// what changes nothing, and against an answer beyond its bytes or one that skips an entry.
func TestRing(t *testing.T) {
	b := newTestLog("a", nil)
	adoptList(b, 1)
	order := func(epoch uint64, no int, issued version.Millis, why string) {
		b.Append(Entry{Kind: Ordered, Reason: why, Order: &version.Order{Minimum: version.MinimumVersion{Epoch: epoch, By: "z"},
			Permit: &version.Permit{Number: no, Issued: issued}}})
	}
	for i := range 100 {
		order(7, 0, version.Millis(i), "")
		order(5, 0, version.Millis(i), "older")
		adoptList(b, 1)
	}
	if seq := b.last.Seq; seq != 4 || b.versionID != 1 {
		t.Errorf("renewals make %d entries, number %d", seq, b.versionID)
	}
	order(7, 1, 0, "")
	for i := range 20000 {
		b.Sent(1, i%200, balance.EndpointID(i), false)
		if i%50 == 0 {
			b.Append(Entry{Kind: Stopped, Duration: 3000, Reason: strings.Repeat("x", 10000)})
			b.Flush()
		}
	}
	past := b.Entries()
	next := NewLog("b", "former", past, fixedClock)
	v, _ := next.Version()
	epoch, by := LastOrder(next.Entries())
	hasAdoption := slices.ContainsFunc(past, func(e Entry) bool { return e.Kind == Adopted && e.Version.List.Revision == 1 })
	if b.size > maxRingBytes || past[0].Seq == 1 || Check(next.Entries()) != nil || v.Epoch != 7 || epoch != 7 || by != "z" || !hasAdoption {
		t.Errorf("%d bytes from %d, epochs %d and %d %s, adopted %v", b.size, past[0].Seq, v.Epoch, epoch, by, hasAdoption)
	}
	var got []Entry
	for seq := uint64(0); ; {
		entries, to, first := b.EntriesSince(seq, 50000)
		text, _ := json.Marshal(entries)
		if len(text) > 51000 || first != past[0].Seq {
			t.Fatalf("an answer of %d bytes, first %d", len(text), first)
		}
		if got = append(got, entries...); len(entries) == 0 {
			break
		}
		seq = to
	}
	if !reflect.DeepEqual(got, past) {
		t.Errorf("asked for by parts they are %d entries of %d", len(got), len(past))
	}
}

// Guards against memory that grows with hosts that come and go, and against attempts beyond it that are not counted.
func TestCountLimits(t *testing.T) {
	var c counts
	c.names = testNames
	n := 0
	for i := range 3 * maxCells {
		c.lockedCell(countKey{1, 0, balance.EndpointID(i)}).N++
		c.mu.Unlock()
	}
	size := len(c.cells)
	for _, e := range c.take() {
		if text, _ := json.Marshal(e); len(text) > 2*maxCountsBytes {
			t.Errorf("an entry of %d bytes", len(text))
		}
		for _, a := range e.Attempts {
			n += a.N
		}
	}
	c.take()
	c.take()
	if n != 3*maxCells || size > maxCells+1 || len(c.cells) != 0 {
		t.Errorf("%d counted, %d cells, then %d", n, size, len(c.cells))
	}
}

// disk is one in memory that can lose power, or be full.
type memoryDisk struct {
	mu    sync.Mutex
	files map[string]*content
	sure  map[string]*content // the directory as it outlasts a power cut
	locks map[string]bool     // by other processes
	steps int                 // until all fails; below 0: never
	block chan struct{}       // writes wait for it; nil: they don't
	odd   bool                // the directory can't be synced, and all else works
	made  int                 // files that were begun, or not for want of room
}

type content struct{ sure, text []byte }

func newMemoryDisk(steps int) *memoryDisk {
	return &memoryDisk{files: map[string]*content{}, locks: map[string]bool{}, steps: steps}
}

var errDisk = errors.New("no room, or no power")

func (d *memoryDisk) step() error {
	if d.steps == 0 {
		return errDisk
	}
	d.steps--
	return nil
}

func (d *memoryDisk) Create(name string) (persistence.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.made++
	if err := d.step(); err != nil {
		return nil, err
	}
	d.files[name] = &content{}
	return &memoryFile{d, d.files[name]}, nil
}

func (d *memoryDisk) Read(name string, maxBytes int64) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if f := d.files[name]; f != nil {
		return slices.Clone(f.text[:min(int(maxBytes), len(f.text))]), nil
	}
	return nil, os.ErrNotExist
}

func (d *memoryDisk) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.step(); err != nil {
		return err
	}
	d.files[to] = d.files[from]
	delete(d.files, from)
	return nil
}

func (d *memoryDisk) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.step(); err != nil {
		return err
	}
	delete(d.files, name)
	return nil
}

func (d *memoryDisk) Names() ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Sorted(maps.Keys(d.files)), nil
}

func (d *memoryDisk) Sync() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.step(); err != nil || d.odd {
		return errDisk
	}
	d.sure = maps.Clone(d.files)
	return nil
}

func (d *memoryDisk) Lock(name string) (func(), error) {
	if d.locks[name] {
		return nil, nil
	}
	return func() {}, nil
}

type memoryFile struct {
	d *memoryDisk
	f *content
}

func (o *memoryFile) Write(b []byte) (int, error) {
	if o.d.block != nil {
		<-o.d.block
	}
	o.d.mu.Lock()
	defer o.d.mu.Unlock()
	if err := o.d.step(); err != nil {
		o.f.text = append(o.f.text, b[:len(b)/2]...) // a disk that is full takes what has room
		return len(b) / 2, err
	}
	o.f.text = append(o.f.text, b...)
	return len(b), nil
}

func (o *memoryFile) Sync() error {
	o.d.mu.Lock()
	defer o.d.mu.Unlock()
	if err := o.d.step(); err != nil {
		return err
	}
	o.f.sure = slices.Clone(o.f.text)
	return nil
}

func (o *memoryFile) Close() error { return nil }

// after is the disk once the power was cut: with the share of what was not synced that is there, in quarters, and the
// directory as it was synced or as it was; or once the process was killed, with all of it.
func (d *memoryDisk) afterPowerCut(quarters int, renamed bool) *memoryDisk {
	out, names := newMemoryDisk(-1), d.sure
	if renamed {
		names = d.files
	}
	for name, f := range names {
		lost := max(0, len(f.text)-len(f.sure))
		text := slices.Clone(f.text[:len(f.text)-lost+lost*quarters/4])
		out.files[name] = &content{text, text}
	}
	out.sure = maps.Clone(out.files)
	return out
}

// writer is a file whose steps are taken one by one.
func newTestWriter(d persistence.Disk, b *Log) *Writer {
	return &Writer{Disk: d, Log: b, OnFault: func(error) {}}
}

// Guards against more than the cut line being lost, wherever a file is cut, against a byte that is changed without a fault,
// and against a next process that does not go on from it.
func TestDamageAtEveryByte(t *testing.T) {
	b := newTestLog("a", nil)
	appendAllKinds(b, 1)
	var text []byte
	entries := b.Entries()
	for _, e := range entries {
		text = appendLine(text, e)
	}
	load := func(text []byte) ([]Entry, []Fault) {
		d := newMemoryDisk(-1)
		d.files[filePrefix+"000000003"] = &content{text, text}
		got, faults, err := Load(d)
		if err != nil {
			t.Fatal(err)
		}
		return got, faults
	}
	for i := range text {
		whole := strings.Count(string(text[:i]), "\n")
		got, faults := load(text[:i])
		if faults != nil || len(got) != whole || whole > 0 && !reflect.DeepEqual(got, entries[:whole]) {
			t.Fatalf("cut after %d bytes: %d entries of %d, %v", i, len(got), whole, faults)
		}
		flipped := slices.Clone(text)
		flipped[i] ^= 1 << (i % 8)
		if got, faults = load(flipped); faults == nil && i < len(text)-1 {
			t.Fatalf("byte %d is flipped and nothing is told", i)
		}
		if i%32 > 0 {
			continue
		}
		next := newTestLog("b", got)
		d := newMemoryDisk(-1)
		d.files[filePrefix+"000000003"] = &content{flipped, flipped}
		if err := newTestWriter(d, next).write(true); err != nil {
			t.Fatal(err)
		}
		after, still, _ := Load(d)
		if after[len(after)-1].Kind != Started || i < len(text)-1 && len(still) < 1 {
			t.Fatalf("byte %d is flipped: the next process has %v after %v", i, still, faults)
		}
	}
}

// Guards against a kill, a power cut or a full disk, at any step, that leaves a hole or loses what was synced; against a new
// process that does not show; and against what the disk did not take not being written later.
func TestDiskFailsAtEveryStep(t *testing.T) {
	for steps := 0; ; steps++ {
		d := newMemoryDisk(-1)
		first := newTestLog("a", nil)
		appendAllKinds(first, 3)
		if err := newTestWriter(d, first).write(true); err != nil {
			t.Fatal(err)
		}
		d.steps = steps
		past, _, _ := Load(d)
		b := newTestLog("b", past)
		f := newTestWriter(d, b)
		sure, failed := past[len(past)-1].Seq, false
		for i := range 3 {
			adoptList(b, int64(100+i))
			if f.lastErr = f.write(i == 0 || f.lastErr != nil); f.lastErr == nil {
				sure = b.last.Seq
			}
			failed = failed || f.lastErr != nil
		}
		for quarters := range 5 {
			for _, renamed := range []bool{false, true} {
				got, faults, err := Load(d.afterPowerCut(quarters, renamed))
				if err != nil || faults != nil || got[len(got)-1].Seq < sure {
					t.Fatalf("%d steps, %d quarters, renamed %v: up to %d of %d, %v, %v", steps, quarters, renamed, got[len(got)-1].Seq, sure, faults, err)
				}
				next := newTestLog("c", got).Entries()
				if e := next[len(next)-1]; e.Kind != Started || e.Incarnation != "c" || Check(next) != nil {
					t.Fatalf("%d steps: the next process begins with %+v", steps, e)
				}
			}
		}
		d.steps = -1 // there is room again
		if err := f.write(f.lastErr != nil); err != nil {
			t.Fatal(err)
		}
		got, faults, _ := Load(d.afterPowerCut(0, false))
		if faults != nil || got[len(got)-1].Sum != b.last.Sum {
			t.Fatalf("%d steps: up to %d of %d once there is room, %v", steps, got[len(got)-1].Seq, b.last.Seq, faults)
		}
		if !failed {
			return
		}
	}
}

// Guards against a disk that is slow or gone and holds changes up, is not tried again, or leaves a hole that is not told; and
// against faults that are told again and again.
func TestSlowAndMissingDisk(t *testing.T) {
	d := newMemoryDisk(-1)
	d.block = make(chan struct{})
	b := newTestLog("a", nil)
	said := []string{}
	f := &Writer{Disk: d, Log: b, OnFault: func(err error) {
		d.mu.Lock()
		defer d.mu.Unlock()
		said = append(said, fmt.Sprint(err))
	}}
	f.Start()
	adoptList(b, 1) // and what follows returns while the first write hangs
	for range 2 * maxRingEntries {
		b.Append(Entry{Kind: Stopped})
	}
	d.mu.Lock()
	d.steps = 0
	d.mu.Unlock()
	close(d.block)
	for d.isMissing(b) { // it fails, and is tried again each second
		d.mu.Lock()
		if d.made > 1 {
			d.steps = -1
		}
		d.mu.Unlock()
		time.Sleep(time.Millisecond)
	}
	b.Append(Entry{Kind: Ended})
	f.Close()
	<-f.done // however busy the machine is
	got, faults, _ := Load(d)
	if e := got[len(got)-1]; faults != nil || e.Kind != Ended || len(said) != 2 || said[1] != "<nil>" {
		t.Errorf("ends with %+v, %v, told %q", e, faults, said)
	}
}

// lacks tells whether a book's last entry is not on the disk.
func (d *memoryDisk) isMissing(b *Log) bool {
	got, _, _ := Load(d)
	entries, _, _ := b.EntriesSince(0, maxRingBytes)
	return len(got) == 0 || got[len(got)-1].Seq < entries[len(entries)-1].Seq
}

// Guards against entries that came to no file while the disk failed, and were dropped, of which nothing is told.
func TestLostEntriesAreReported(t *testing.T) {
	d := newMemoryDisk(-1)
	b := newTestLog("a", nil)
	f := newTestWriter(d, b)
	if err := f.write(true); err != nil {
		t.Fatal(err)
	}
	d.steps = 0
	for i := range 2 * maxRingEntries {
		b.Append(Entry{Kind: Stopped})
		if i%512 == 0 && f.write(true) == nil {
			t.Fatal("a disk that fails takes entries")
		}
	}
	d.steps = -1
	if err := f.write(true); err != nil {
		t.Fatal(err)
	}
	got, faults, _ := Load(d)
	e := got[len(got)-1]
	if faults != nil || e.Kind != Lost || e.N != maxRingEntries || e.UpTo != maxRingEntries+1 {
		t.Errorf("%+v, %v", e, faults)
	}
	if faults = Check(got[:len(got)-1]); !slices.Equal(faultKinds(faults), []FaultKind{Missing}) || faults[0].Count != maxRingEntries {
		t.Errorf("without that entry: %v", faults)
	}
}

// Guards against lives that are forgotten because they were short, against a file of another process that is removed, and
// against a fault anywhere, over lives that end by kills, power cuts and hand-overs.
func TestManyProcesses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newMemoryDisk(-1)
		past, _, _ := Load(d)
		b := newTestLog("0", past)
		f := newTestWriter(d, b)
		kept := map[string]int{} // sums of entries that were synced, by incarnation
		for incarnation := range rapid.IntRange(1, 12).Draw(t, "lives") {
			renew := true
			for i := range rapid.IntRange(0, 5).Draw(t, "notes") {
				adoptList(b, int64(1000*incarnation+i))
				if rapid.Bool().Draw(t, "write") {
					if err := f.write(renew); err != nil {
						t.Fatal(err)
					}
					renew = false
					kept[b.last.Sum] = incarnation
				}
			}
			next := fmt.Sprint(incarnation + 1)
			switch rapid.IntRange(0, 2).Draw(t, "end") {
			case 0:
				d = d.afterPowerCut(4, true)
			case 1:
				d = d.afterPowerCut(rapid.IntRange(0, 4).Draw(t, "quarters"), rapid.Bool().Draw(t, "renamed"))
			case 2: // both write for a while
				d.locks = map[string]bool{f.name: true}
				former := f
				b = newTestLog(next, b.Entries())
				f = newTestWriter(d, b)
				if err := f.write(true); err != nil {
					t.Fatal(err)
				}
				d.locks = map[string]bool{f.name: true}
				former.Log.Append(Entry{Kind: Ended})
				if err := former.write(former.file == nil); err != nil {
					t.Fatal(err)
				}
				kept[former.Log.last.Sum] = incarnation
				d.locks = map[string]bool{}
				continue
			}
			past, faults, _ := Load(d)
			if faults != nil {
				t.Fatalf("after life %d: %v", incarnation, faults)
			}
			b = newTestLog(next, past)
			f = newTestWriter(d, b)
		}
		got, faults, _ := Load(d)
		if faults != nil {
			t.Fatal(faults)
		}
		for sum, incarnation := range kept {
			if !slices.ContainsFunc(got, func(e Entry) bool { return e.Sum == sum }) {
				t.Fatalf("an entry of life %d was kept and is gone", incarnation)
			}
		}
	})
}

// Guards against a disk that is filled by files that are tried again, and against a trail that they push out.
func TestRetriesFillNoDisk(t *testing.T) {
	d := newMemoryDisk(-1)
	b := newTestLog("a", nil)
	f := newTestWriter(d, b)
	if err := f.write(true); err != nil {
		t.Fatal(err)
	}
	d.odd = true
	for range 5 {
		if f.write(true) == nil {
			t.Fatal("a directory that is not synced will do")
		}
	}
	if all, _ := d.Names(); len(all) != 1 {
		t.Errorf("%q", all)
	}
}

// Guards against files that grow or become many, and against locks and files that the operating system's disk leaves.
func TestRotation(t *testing.T) {
	path := t.TempDir()
	d := persistence.Dir(path)
	b := newTestLog("a", nil)
	f := newTestWriter(d, b)
	for i := range 6000 { // 3 MiB
		b.Append(Entry{Kind: Stopped, Reason: strings.Repeat("x", maxTextBytes)})
		if i%100 == 0 {
			if err := f.write(i == 0); err != nil {
				t.Fatal(err)
			}
		}
	}
	got, faults, err := Load(d)
	all, _ := d.Names()
	text, _ := d.Read(all[0], 2*maxFileBytes)
	if len(all) != 2 || len(text) < maxFileBytes || len(text) > maxFileBytes+maxBatchBytes || faults != nil || err != nil || got[0].Seq == 1 {
		t.Errorf("%q, %d bytes in the first, from %d, %v, %v", all, len(text), got[0].Seq, faults, err)
	}
	if unlock, _ := d.Lock(all[1]); unlock != nil {
		t.Error("the file that is written is anybody's")
	}
	f.unlock()
	_ = f.file.Close()
	next := newTestLog("b", got)
	f = newTestWriter(d, next)
	f.Start()
	next.Append(Entry{Kind: Ended})
	f.Close()
	<-f.done // however busy the machine is
	all, _ = d.Names()
	after, faults, err := ReadDir(path)
	if e := after[len(after)-1]; len(all) != 2 || faults != nil || err != nil || e.Kind != Ended || after[0].Seq != got[0].Seq {
		t.Errorf("the next process: %q, from %d to %+v, %v, %v", all, after[0].Seq, e, faults, err)
	}
}
