package ci

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"
)

// The files under testdata/b772427 were written by the build b772427, before names and shapes were changed: the disks of three
// core routers, a sidecar's snapshot, journal and audit log, a distributor's settings and a record. A newer build has to read
// them and go on from them.
const (
	formerBuild   = "testdata/b772427"
	compatTimeout = 60 * time.Second
	compatPoll    = 20 * time.Millisecond
)

// program builds cmd/pinelb and returns the path of the binary.
var program = sync.OnceValues(func() (string, error) {
	folder, err := os.MkdirTemp("", "pinelb-compat")
	if err != nil {
		return "", err
	}
	path := filepath.Join(folder, "pinelb")
	out, err := exec.Command("go", "build", "-o", path, "../cmd/pinelb").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build: %w: %s", err, out)
	}
	return path, nil
})

func TestMain(m *testing.M) {
	status := m.Run()
	if path, err := program(); err == nil {
		_ = os.RemoveAll(filepath.Dir(path))
	}
	os.Exit(status)
}

// pinelb prepares a run of the program.
func pinelb(t *testing.T, args ...string) *exec.Cmd {
	t.Helper()
	path, err := program()
	if err != nil {
		t.Fatal(err)
	}
	return exec.Command(path, args...)
}

// copyFixture copies a folder of the former build's files to a temporary one.
func copyFixture(t *testing.T, name string) string {
	t.Helper()
	folder := filepath.Join(t.TempDir(), name)
	if err := os.CopyFS(folder, os.DirFS(filepath.Join(formerBuild, name))); err != nil {
		t.Fatal(err)
	}
	return folder
}

// eventually polls until a condition holds.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(compatTimeout); !holds(); time.Sleep(compatPoll) {
		if time.Now().After(deadline) {
			t.Fatalf("not within %v: %s", compatTimeout, what)
		}
	}
}

// request makes an HTTP call and returns its status, 0 where there was no answer, and the body.
func request(method, url, body string, headers map[string]string) (status int, text string) {
	call, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	for name, value := range headers {
		call.Header.Set(name, value)
	}
	response, err := (&http.Client{Timeout: 5 * time.Second}).Do(call)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	read, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(read)
}

// syncBuffer is a buffer that a process may write to while a test reads it.
type syncBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *syncBuffer) Write(text []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(text)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// start starts a process that is killed at the test's end, and returns its standard error.
func start(t *testing.T, command *exec.Cmd) *syncBuffer {
	t.Helper()
	log := &syncBuffer{}
	command.Stderr = log
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait() // killed: its status says nothing
	})
	return log
}

// The addresses at which the former build's routers ran: they are part of the replicas' identities.
const (
	routerNetwork = "127.250.113."
	frontPort     = 18731
	readyPort     = 18732
	controlPort   = 18733
	internalPort  = 18734
)

// startFormerRouter starts a router on a former router's disk.
func startFormerRouter(t *testing.T, number int) {
	t.Helper()
	var seeds []string
	for i := range 3 {
		seeds = append(seeds, fmt.Sprintf("%s%d:%d", routerNetwork, 10+i, controlPort))
	}
	ip := fmt.Sprint(routerNetwork, 10+number)
	folder := copyFixture(t, fmt.Sprint("router-", number))
	settings := filepath.Join(t.TempDir(), "settings.conf")
	text := fmt.Sprintf(`nodeName=%[1]s
ip=%[1]s
zone=z
region=r
zones.z=r
listen.front=%[1]s:%[2]d
listen.ready=%[1]s:%[3]d
listen.control=%[1]s:%[4]d
portRange=%[5]d,%[5]d
seeds=%[6]s
bootstrap=false
countsForQuorum=true
dataDir=%[7]s
faultTolerance.machines=1
bounds.revocationStrict=true
bounds.graceS=3
`, ip, frontPort, readyPort, controlPort, internalPort, strings.Join(seeds, ","), folder)
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	command := pinelb(t, "router")
	command.Env = append(os.Environ(), "PINELB_CONFIG="+settings)
	log := start(t, command)
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(ip, log)
		}
	})
}

func controlURL(number int, path string) string {
	return fmt.Sprintf("http://%s%d:%d%s", routerNetwork, 10+number, controlPort, path)
}

// Guards against a build that can't read the replicated configuration, the endpoint list, the routers' list or the learned state
// of the build before it, or that can't go on from them.
func TestRoutersReadFormerDisks(t *testing.T) {
	for i := range 3 {
		startFormerRouter(t, i)
	}
	eventually(t, "the endpoint that the former routers knew", func() bool {
		_, text := request("GET", fmt.Sprintf("http://%s%d:%d/status", routerNetwork, 10, internalPort), "", nil)
		return strings.Contains(text, `"i-2"`)
	})
	eventually(t, "the former configuration", func() bool {
		for i := range 3 {
			status, text := request("GET", controlURL(i, "/config/read"), "", nil)
			if status == http.StatusOK && strings.Contains(text, `"version":4`) && strings.Contains(text, `"last"`) && !strings.Contains(text, `"added"`) {
				return true
			}
		}
		return false
	})
	eventually(t, "a change of the former configuration", func() bool {
		for i := range 3 {
			status, _ := request("POST", controlURL(i, "/config/modify"), `{"version":5,"upsert":{"services":[{"name":"newer"}]}}`,
				map[string]string{"X-Base-Version": "4"})
			if status == http.StatusOK {
				return true
			}
		}
		return false
	})
	// A router takes endpoints and learned state over with a tick, which may come after the first change.
	eventually(t, "the learned state of the former routers", func() bool {
		_, text := request("GET", fmt.Sprintf("http://%s%d:%d/status", routerNetwork, 10, internalPort), "", nil)
		return learnedUnitUs(text, "s") == 150
	})
}

// learnedUnitUs returns the time for one unit of a prompt that a router has learned of a service, in microseconds rounded to thousandths, by its status; 0: the
// status does not have it.
func learnedUnitUs(text, service string) float64 {
	var status struct {
		Services []struct {
			Service string  `json:"service"`
			UnitUs  float64 `json:"unitUs"`
		} `json:"services"`
	}
	if json.Unmarshal([]byte(text), &status) != nil {
		return 0
	}
	for _, s := range status.Services {
		if s.Service == service {
			return math.Round(s.UnitUs*1000) / 1000
		}
	}
	return 0
}

var (
	ageText  = regexp.MustCompile(`[0-9hms.µ]+ ago`)
	timeText = regexp.MustCompile(`saved .*Z`)
	gaps     = regexp.MustCompile(` +`)
)

// withoutAges takes out of a file that is shown what hangs on the present time, and the widths of columns that follow from it.
func withoutAges(shown []byte) string {
	text := timeText.ReplaceAllString(ageText.ReplaceAllString(string(shown), "AGE ago"), "saved TIME")
	return gaps.ReplaceAllString(text, " ")
}

// Guards against a sidecar's snapshot or journal that a newer build reads in another way.
func TestStateShowsFormerFiles(t *testing.T) {
	for file, golden := range map[string]string{"snapshot": "sidecar-snapshot.txt", "effects-000000001": "sidecar-effects.txt"} {
		shown, err := pinelb(t, "state", "show", filepath.Join(formerBuild, "sidecar", file)).Output()
		if err != nil {
			t.Fatalf("%s: %v", file, err)
		}
		want, err := os.ReadFile(filepath.Join(formerBuild, golden))
		if err != nil {
			t.Fatal(err)
		}
		if got := withoutAges(shown); got != string(want) {
			t.Errorf("%s: shown\n%s\nwant\n%s", file, got, want)
		}
	}
}

const sidecarSettings = `{"allowed":{"cancel":true,"conn_idle":30000000000,"connect_timeout":5000000000,"max_retry_after":1500000000,
 "most_held":20000,"retry_after":true,"second_copies":true,"send_cap":4},"n_instances":1,
 "classes":[{"name":"order-status","aim":30000000000,"deadline":60000000000,"idempotency":"read_like","worth":3},
  {"name":"place-order","aim":30000000000,"deadline":60000000000,"idempotency":"idempotency_key","key_scope":"all","memory_span":90000000000,"worth":10},
  {"name":"remake-charge","aim":30000000000,"deadline":60000000000,"idempotency":"non_idempotent","worth":3}],
 "kinds":["front-std"],"zones":["moonah"],"quantum":2000000,
 "rules":{"answer_slack":8000000,"cold":9000000000,"cold_share":0.3,"fall":1000000000,"stop_sending_within":3000000000,"tip_multiple":2.5}}`

// logged returns the first line of a JSON log with a message; nil where there is none.
func logged(log, message string) map[string]any {
	lines := bufio.NewScanner(strings.NewReader(log))
	for lines.Scan() {
		var line map[string]any
		if json.Unmarshal(lines.Bytes(), &line) == nil && line["message"] == message {
			return line
		}
	}
	return nil
}

// Guards against a sidecar that can't go on from a former build's journal and audit log.
func TestSidecarGoesOnFromFormerState(t *testing.T) {
	folder := copyFixture(t, "sidecar")
	operator, platform := filepath.Join(t.TempDir(), "operator.toml"), filepath.Join(t.TempDir(), "config.json")
	text := fmt.Sprintf("[audit]\nshare = 0.5\n[state]\ndir = %q\nevery = \"1s\"\njournal = true\n", folder)
	if err := os.WriteFile(operator, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	config := fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","control":"127.0.0.1:0","seed":"1","limits":{"sockets":2048},
		"known":{"revision":0,"complete":true,"members":[]},"settings":%s}`, sidecarSettings)
	if err := os.WriteFile(platform, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	command := pinelb(t, "--config", operator)
	command.Env = append(os.Environ(), "LB_CONFIG="+platform, "TMPDIR="+t.TempDir())
	log := start(t, command)
	eventually(t, "the sidecar listens for operators", func() bool { return logged(log.String(), "listening for operators") != nil })
	journal := logged(log.String(), "journal read")
	if journal == nil || journal["lines"] != 28.0 || journal["skipped"] != 0.0 {
		t.Errorf("the journal was read as %v", journal)
	}
	address, _ := logged(log.String(), "listening for operators")["addr"].(string)
	status, report := request("GET", "http://"+address+"/admin/audit?since=0", "", nil)
	for _, want := range []string{
		`"sum":"664c22fc2eeaa92594fbf0a53004b055"`, // the former process's first entry
		`"seq":2,"prev":"664c22fc2eeaa92594fbf0a53004b055"`,
	} {
		if status != http.StatusOK || !strings.Contains(report, want) {
			t.Errorf("status %d: the audit log lacks %s:\n%s", status, want, report)
		}
	}
}

// Guards against a distributor that forgets, or reads otherwise, what a former build has published.
func TestDistributorReadsFormerSettings(t *testing.T) {
	file := filepath.Join(t.TempDir(), "d1.toml")
	text := fmt.Sprintf("name = \"d1\"\nregion = \"east\"\nlisten = \"127.0.0.1:0\"\ncontrol = \"[::1]:0\"\ndir = %q\npeers = []\n", copyFixture(t, "distributor"))
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	log := start(t, pinelb(t, "distribute", file))
	eventually(t, "the distributor listens", func() bool { return logged(log.String(), "distributor listening") != nil })
	address, _ := logged(log.String(), "distributor listening")["control"].(string)
	out, err := pinelb(t, "settings", "status", "--json", "--at", address, "--service", "orders", "--within", "10s").CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	if !strings.Contains(string(out), `"epoch":3`) || !strings.Contains(string(out), "6a32b7f8198896da") {
		t.Errorf("the settings in force: %s", out)
	}
}
