package crowds

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/tidwall/gjson"
)

// Limits of the sidecar of each test.
const (
	sidecarMemoryMB = 64
	sidecarSockets  = 1000
)

// sidecarSettings has two classes: one whose requests take no body, and one for uploads.
const sidecarSettings = `{"allowed":{"cancel":true,"conn_idle":30000000000,"connect_timeout":5000000000,"max_retry_after":1500000000,
 "most_held":20000,"retry_after":true,"second_copies":true,"send_cap":4},"n_instances":1,
 "classes":[{"name":"order-status","aim":30000000000,"deadline":60000000000,"idempotency":"read_like","worth":3},
  {"name":"remake-charge","aim":30000000000,"deadline":60000000000,"idempotency":"non_idempotent","worth":3}],
 "kinds":["front-std"],"zones":["moonah"],"quantum":2000000,
 "rules":{"answer_slack":8000000,"cold":9000000000,"cold_share":0.3,"fall":1000000000,"stop_sending_within":3000000000,"tip_multiple":2.5}}`

const thriftSection = "[thrift]\nlisten = \"127.0.0.1:0\"\nmost_message = \"1MiB\"\ndefault_class = \"order-status\"\n"

// sidecar is a process of its own, with one upstream host.
type sidecar struct {
	command        *exec.Cmd
	front, control string
	thrift         string
}

// startSidecar starts a sidecar and waits until it serves.
func startSidecar(t *testing.T) *sidecar {
	t.Helper()
	host := httptest.NewServer(http.HandlerFunc(serveEndpoint))
	t.Cleanup(func() {
		host.CloseClientConnections()
		host.Close()
	})
	members := fmt.Sprintf(`{"id":"s-1","host_port":%q,"locality":"moonah","flavor":"front-std","phase":"Ready","size":1,"up_since_ms":0}`,
		host.Listener.Addr().String())
	discovery := httptest.NewServer(discoveryHandler(members))
	t.Cleanup(func() {
		discovery.CloseClientConnections()
		discovery.Close()
	})
	config := fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"1","limits":{"cores":1,"memory_mb":%d,"sockets":%d},
		"known":{"revision":0,"complete":true,"members":[%s]},"settings":%s}`, discovery.Listener.Addr(), sidecarMemoryMB, sidecarSockets, members, sidecarSettings)
	folder := t.TempDir()
	file, operator := filepath.Join(folder, "config.json"), filepath.Join(folder, "operator.toml")
	for path, text := range map[string]string{file: config, operator: thriftSection} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	control := freeAddress(t)
	s := &sidecar{command: exec.Command(program, "--config", operator), control: control}
	s.command.Env = append(os.Environ(), "LB_CONFIG="+file, "LB_NAME=", "LB_LISTEN=", "LB_CONTROL="+control, "LB_DISCOVERY="+discovery.Listener.Addr().String())
	log, err := s.command.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := s.command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = s.command.Process.Kill()
		_ = s.command.Wait()
	})
	s.awaitListening(t, log)
	return s
}

// awaitListening reads the addresses of the process from its log, which is then read to its end.
func (s *sidecar) awaitListening(t *testing.T, log io.Reader) {
	t.Helper()
	lines := bufio.NewScanner(log)
	for (s.front == "" || s.thrift == "") && lines.Scan() {
		switch line := gjson.Parse(lines.Text()); line.Get("message").Str {
		case "listening":
			s.front = line.Get("addr").Str
		case "listening for Thrift":
			s.thrift = line.Get("addr").Str
		}
	}
	if s.front == "" || s.thrift == "" {
		t.Fatal("the log ended before the sidecar was listening")
	}
	go func() { _, _ = io.Copy(io.Discard, log) }()
	for until := time.Now().Add(startTimeout); ; time.Sleep(retryPause) {
		status, err := s.sendOrdinary(t.Context())
		if err == nil && status == http.StatusOK {
			return
		}
		if time.Now().After(until) {
			t.Fatalf("an ordinary request is not answered: %d, %v", status, err)
		}
	}
}

func (s *sidecar) sendOrdinary(ctx context.Context) (int, error) {
	return send(ctx, http.MethodGet, "http://"+s.front+"/order-status/1", "", http.Header{"X-Txn": {"9b1f03aa5c7e2d41"}, "X-Remaining-Ms": {"5000"}}, "")
}

// requireWithinLimits checks that the process lives within its limits, and that an ordinary request and an operator's call are answered.
func (s *sidecar) requireWithinLimits(t *testing.T) {
	t.Helper()
	requireAnswer(t, "client's request", func() (int, error) { return s.sendOrdinary(t.Context()) })
	requireAnswer(t, "operator's call", func() (int, error) {
		return send(t.Context(), http.MethodGet, "http://"+s.control+"/admin/health", "", nil, "")
	})
	process := filepath.Join("/proc", strconv.Itoa(s.command.Process.Pid))
	status, err := os.ReadFile(filepath.Join(process, "status"))
	if err != nil {
		t.Fatalf("the process has ended: %v", err)
	}
	descriptors, err := os.ReadDir(filepath.Join(process, "fd"))
	if err != nil {
		t.Fatal(err)
	}
	peak := peakMemoryKB(t, string(status)) >> 10
	t.Logf("peak of memory %d MB of %d, %d descriptors", peak, sidecarMemoryMB, len(descriptors))
	if peak > sidecarMemoryMB {
		t.Errorf("%d MB of memory, and %d are allowed", peak, sidecarMemoryMB)
	}
	if len(descriptors) > sidecarSockets {
		t.Errorf("%d descriptors, and %d are allowed", len(descriptors), sidecarSockets)
	}
}

// peakMemoryKB returns the peak of resident memory of /proc/PID/status.
func peakMemoryKB(t *testing.T, status string) int {
	t.Helper()
	_, rest, _ := strings.Cut(status, "VmHWM:")
	line, _, _ := strings.Cut(rest, "kB")
	peak, err := strconv.Atoi(strings.TrimSpace(line))
	if err != nil {
		t.Fatalf("the process has ended: %v", err)
	}
	return peak
}

// discoveryHandler answers with a list that doesn't change.
func discoveryHandler(members string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		since := r.URL.Query().Get("since")
		if since == "1" {
			<-r.Context().Done()
			return
		}
		_, _ = fmt.Fprintf(w, `{"revision":1,"complete":%v,"members":[%s]}`, since == "", members)
	})
}

// freeAddress returns an address at which nobody listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// testSidecarCrowd plays a crowd at a sidecar of its own and checks it while the crowd is still connected.
func testSidecarCrowd(t *testing.T, address func(*sidecar) string, behave behavior) {
	t.Helper()
	s := startSidecar(t)
	crowd{address: address(s), size: crowdSize, behave: behave}.run(t)
	time.Sleep(holdTime)
	s.requireWithinLimits(t)
}

func sidecarFront(s *sidecar) string   { return s.front }
func sidecarControl(s *sidecar) string { return s.control }
func sidecarThrift(s *sidecar) string  { return s.thrift }

const sidecarRequestLine = "GET /order-status/1 HTTP/1.1\r\nHost: h\r\n"

// sidecarPost returns the head of a request with a body.
func sidecarPost(path, fields string, length int) string {
	return fmt.Sprintf("POST /remake-charge/%s HTTP/1.1\r\nHost: h\r\nX-Txn: 9b1f03aa5c7e2d42\r\nX-Remaining-Ms: 5000\r\n%sContent-Length: %d\r\n\r\n", path, fields, length)
}

func TestSidecarHeadsOfShortFieldsStayWithinMemory(t *testing.T) {
	testSidecarCrowd(t, sidecarFront, sendThen(sidecarRequestLine, shortFields, headBytes))
}

func TestSidecarStalledHeadsOfShortFieldsStayWithinMemory(t *testing.T) {
	testSidecarCrowd(t, sidecarFront, sendThen(sidecarRequestLine+fieldsWithin(15<<10), nil, 0))
}

func TestSidecarEmptyLinesBeforeARequestStayWithinMemory(t *testing.T) {
	testSidecarCrowd(t, sidecarFront, sendThen("", emptyLines, headBytes))
}

func TestSidecarWholeHeadsBeforeABodyStayWithinMemory(t *testing.T) {
	testSidecarCrowd(t, sidecarFront, sendThen(sidecarPost("x", fieldsWithin(15<<10), 60<<10), nil, 0))
}

func TestSidecarBodiesWithoutEndStayWithinMemory(t *testing.T) {
	testSidecarCrowd(t, sidecarFront, sendThen(sidecarPost("x", "", 64<<10), zeros[:60<<10], 60<<10))
}

func TestSidecarUploadsWithoutEndStayWithinMemory(t *testing.T) {
	testSidecarCrowd(t, sidecarFront, sendThen(sidecarPost("x", "", 4<<20), zeros, 4<<20-len(zeros)))
}

func TestSidecarUnreadAnswersStayWithinMemory(t *testing.T) {
	testSidecarCrowd(t, sidecarFront, sendAndReadNothing(sidecarPost("large", "", 0)))
}

func TestSidecarControlHeadsOfShortFieldsStayWithinMemory(t *testing.T) {
	testSidecarCrowd(t, sidecarControl, sendThen("GET /admin/health HTTP/1.1\r\nHost: h\r\n", shortFields, headBytes))
}

func TestSidecarThriftMessagesWithoutEndStayWithinMemory(t *testing.T) {
	testSidecarCrowd(t, sidecarThrift, sendThen("\x00\x0f\xff\x00\x80\x01\x00\x01\x00\x00\x00\x06status\x00\x00\x00\x01\x0b\x00\x01\x00\x0f\xf0\x00", zeros, 15*len(zeros)))
}

func TestSilentSidecarClientsKeepNobodyOut(t *testing.T) {
	s := startSidecar(t)
	crowd{address: s.front, size: sidecarSockets * 3 / 2, behave: silent}.runAgain(t)
	s.requireWithinLimits(t)
}

func TestSilentSidecarControlConnectionsKeepNobodyOut(t *testing.T) {
	s := startSidecar(t)
	crowd{address: s.control, size: crowdSize, behave: silent}.runAgain(t)
	s.requireWithinLimits(t)
}
