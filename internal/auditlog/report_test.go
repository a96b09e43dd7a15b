package auditlog

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/version"
)

// report is a sidecar's answer with some entries.
func testReport() Report {
	b := newTestLog("a", nil)
	appendAllKinds(b, 1)
	r := Report{Name: "n", Zone: "z", Site: "s", Instances: 3, Incarnation: "a", ListAge: -1, State: "shut", Reason: "old",
		Minimum: &version.MinimumVersion{Epoch: 1}, Permit: &version.Permit{Number: 1}}
	r.Version, r.VersionID = b.Version()
	r.Entries, r.Next, r.Oldest = b.EntriesSince(0, 10000)
	return r
}

// Guards against an answer that is taken and can't be, and against an error that does not name the key.
func TestReportKeys(t *testing.T) {
	good, err := json.Marshal(testReport())
	if err != nil {
		t.Fatal(err)
	}
	if r, err := ParseReport(good); err != nil || !reflect.DeepEqual(r, testReport()) {
		t.Fatalf("%+v, %v", r, err)
	}
	for _, c := range []struct{ old, new, says string }{
		{`"name":"n",`, ``, "name is missing"},
		{`"name":"n"`, `"name":""`, "name is"},
		{`"name":"n"`, `"name":"` + strings.Repeat("x", maxNameBytes+1) + `"`, "name is"},
		{`"name":"n"`, `"name":null`, "name is missing"},
		{`"rank":0`, `"rank":-1`, "rank is"},
		{`"instances":3`, `"instances":"3"`, "instances: "},
		{`"instances":3`, `"instances":0`, "instances is"},
		{`"heard_ms":-1`, `"heard_ms":-2`, "heard_ms is"},
		{`"state":"shut"`, `"state":"well"`, "state is"},
		{`"digest":""`, `"digest":"12"`, "version: "},
		{`"ticket":{"no":1`, `"ticket":{"no":-1`, "ticket is"},
		{`"next":`, `"next":-`, "next: "},
		{`"first":1`, `"first":0`, "first is"},
		{`"seq":2`, `"seq":0`, "entries[1]: seq is"},
		{`"kind":"adopted"`, `"kind":""`, "entries[1]: kind is"},
		{`"class":"class0"`, `"class":"` + strings.Repeat("x", maxNameBytes+1) + `"`, "attempts[0] "},
		{`"by":"a"`, `"by":"` + strings.Repeat("x", maxOrderBytes+1) + `"`, "entries[3]: order is"},
		{`"sum":"`, `"sum":"0`, "entries[0]: sum is"},
		{`{"name"`, `{"name`, "report: "},
		{`"why":"old"`, `"why":"` + strings.Repeat("x", MaxReportBytes) + `"`, "bytes"},
	} {
		text := strings.Replace(string(good), c.old, c.new, 1)
		if _, err := ParseReport([]byte(text)); text == string(good) || err == nil || !strings.Contains(err.Error(), c.says) {
			t.Errorf("%.40s: %v", c.new, err)
		}
	}
}

// FuzzReport: whatever a sidecar answers is an error, or a report that is the same once it is written and read again.
func FuzzReport(f *testing.F) {
	good, _ := json.Marshal(testReport())
	f.Add(good)
	f.Add(good[:len(good)/2])
	f.Add([]byte(`{"name":"n","entries":[{"seq":1e3}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		r, err := ParseReport(text)
		if err != nil {
			return
		}
		Check(r.Entries)
		again, err := json.Marshal(r)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := ParseReport(again); len(again) <= MaxReportBytes && (err != nil || !reflect.DeepEqual(got, r)) {
			t.Errorf("%+v\nthen %+v, %v", r, got, err)
		}
	})
}

// FuzzLogFile: whatever two files hold, a book goes on after it, and what it writes then is read again with the same faults.
func FuzzLogFile(f *testing.F) {
	b := newTestLog("a", nil)
	appendAllKinds(b, 1)
	var text []byte
	for _, e := range b.Entries() {
		text = appendLine(text, e)
	}
	f.Add(text, text[:len(text)/2])
	f.Add(text[300:], text[100:])
	f.Add([]byte("{}\n"), []byte(`{"seq":4611686018427387904}`+"\n"))
	f.Fuzz(func(t *testing.T, one, two []byte) {
		d := newMemoryDisk(-1)
		d.files[filePrefix+"1"] = &content{one, one}
		d.files[filePrefix+"2"] = &content{two, two}
		past, faults, err := Load(d)
		if err != nil || !slices.IsSortedFunc(past, bySeq) {
			t.Fatal(err)
		}
		next := newTestLog("the next", past)
		w := newTestWriter(d, next)
		if err := w.write(true); err != nil {
			t.Fatal(err)
		}
		got, after, err := Load(d)
		if e := next.last; err != nil || len(after) < len(faults) || !slices.ContainsFunc(got, func(g Entry) bool { return g.Sum == e.Sum }) {
			t.Errorf("%v, then %v, %v", faults, after, err)
		}
	})
}

// BenchmarkCount is what an attempt costs on a request's path: with 12 hosts and three classes, a flush now and then.
func BenchmarkCount(b *testing.B) {
	for _, nobody := range []bool{true, false} {
		var k *Log
		if !nobody {
			k = newTestLog("a", nil)
		}
		once := func(i int) {
			host := balance.EndpointID(i % 12)
			k.Sent(1, i%3, host, false)
			k.Ended(1, i%3, host, i%64 == 0, false)
		}
		for i := range 36 {
			once(i)
		}
		b.Run(fmt.Sprintf("nobody=%v", nobody), func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				once(i)
			}
		})
		b.Run(fmt.Sprintf("nobody=%v/together", nobody), func(b *testing.B) {
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for i := 0; pb.Next(); i++ {
					once(i)
				}
			})
		})
	}
}

// BenchmarkFlush tells what a window's entry costs, and how many bytes it writes: 12 hosts and 3 classes, or 5,000.
func BenchmarkFlush(b *testing.B) {
	for _, hosts := range []int{12, 5000} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			k := newTestLog("a", nil)
			size := 0
			for b.Loop() {
				for i := range 3 * hosts {
					k.Sent(1, i%3, balance.EndpointID(i/3), false)
				}
				first := k.last.Seq
				k.Flush()
				entries, _, _ := k.EntriesSince(first+1, maxRingBytes)
				size = 0
				for _, e := range entries {
					size += len(appendLine(nil, e))
				}
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}
