package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// Guards against exit statuses of audits that scripts can't rely on.
func TestAuditStatus(t *testing.T) {
	sidecar := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, `{"name":"a","zone":"z","site":"s","rank":0,"instances":1,"life":"l","now_ms":%d,"under":1,"since_ms":5,"heard_ms":1,
			"version":{"epoch":0,"list":{"from":"ls","revision":3,"digest":"00000000000000aa"},"settings":"","file":"","build":"b"},
			"state":"acts","entries":[],"next":1,"first":1}`, time.Now().UnixMilli())
	}))
	defer sidecar.Close()
	dir := t.TempDir()
	roster := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	one := fmt.Sprintf("[[sidecar]]\nname = \"a\"\naddr = %q\n", sidecar.Listener.Addr())
	well, gone := roster("well", one), roster("gone", "[[sidecar]]\nname = \"b\"\naddr = \"127.0.0.1:1\"\n")
	some, faulty := roster("some", one+"[[sidecar]]\nname = \"b\"\naddr = \"127.0.0.1:1\"\n"), roster("faulty", "[[sidecar]]\nname = 3\n")
	for args, want := range map[string]int{
		well: 0, some: 1, faulty: 2, dir + "/none": 2, gone: 3,
		well + " --build other":                                1,
		well + " --json --watch 1ms --rounds 3":                0,
		well + " --page " + dir + "/page --kept " + dir + "/k": 0,
		well + " --kept " + faulty:                             2,
		well + " --shut-out --raise":                           2,
		well + " --shut-out --watch 1s":                        2,
		well + " --raise --for 2h":                             2,
		well + " --raise --grace 1m":                           2,
		well + " --settings xyz":                               2,
		well + " --share 1.5":                                  2,
	} {
		if got := runCommand(append([]string{"audit", "--within", "10s"}, strings.Fields(args)...), nil); got != want {
			t.Errorf("%s: status %d, want %d", args, got, want)
		}
	}
	if text, err := os.ReadFile(dir + "/page"); err != nil || !strings.Contains(string(text), "1 of 1 up to date") {
		t.Errorf("%v: %d bytes of page", err, len(text))
	}
}
