package stubfleet

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/tidwall/gjson"
)

// settings are those of a real sidecar, for a site of one class; the number of instances and the names of zones and kinds are
// added.
const settings = `{"allowed":{"cancel":true,"conn_idle":30000000000,"connect_timeout":75000000,"max_retry_after":1500000000,"most_held":20000,
 "retry_after":true,"second_copies":true,"send_cap":4},
 "classes":[{"name":"status","aim":100000000,"deadline":1000000000,"idempotency":"read_like","worth":1}],"quantum":2000000,
 "rules":{"answer_slack":8000000,"cold":9000000000,"cold_share":0.3,"fall":1000000000,"stop_sending_within":3000000000,"tip_multiple":2.5}}`

// realSidecar is a process of the daemon.
type realSidecar struct {
	cmd       *exec.Cmd
	number    int
	startedAt time.Duration // by monotonicNow
	logReader sync.WaitGroup

	mu      sync.Mutex
	applied []Applied // from its log, without digests
}

// launchReal starts a process of the daemon. Its files are in dir; operator is the path of its operator's file, which may be
// empty.
func launchReal(program, operator, dir string, fleet FleetConfig, number, instances int) (*realSidecar, error) {
	site := map[string]any{}
	if err := json.Unmarshal([]byte(settings), &site); err != nil {
		return nil, fmt.Errorf("stubfleet: settings: %w", err)
	}
	site["n_instances"], site["zones"], site["kinds"] = instances, zoneNames, kindNames
	name := fmt.Sprintf("real-%d", number)
	text, err := json.Marshal(map[string]any{"name": name, "listen": "127.0.0.1:0", "discovery": fleet.Discovery,
		"seed": fmt.Sprintf("%x", fleet.Seed+uint64(number)), "limits": map[string]any{"sockets": 256}, "settings": site})
	if err != nil {
		return nil, fmt.Errorf("stubfleet: configuration: %w", err)
	}
	file := filepath.Join(dir, name+".json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return nil, fmt.Errorf("stubfleet: configuration: %w", err)
	}
	r := &realSidecar{cmd: exec.Command(program), number: number}
	if operator != "" {
		r.cmd.Args = append(r.cmd.Args, "--config="+operator)
	}
	r.cmd.Env = append(os.Environ(), "LB_CONFIG="+file, "LB_NAME=", "LB_LISTEN=", "LB_DISCOVERY=", "LB_CONTROL=")
	r.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	log, err := r.cmd.StderrPipe()
	if err != nil {
		return nil, fmt.Errorf("stubfleet: real sidecar: %w", err)
	}
	r.startedAt = monotonicNow()
	if err := r.cmd.Start(); err != nil {
		return nil, fmt.Errorf("stubfleet: real sidecar: %w", err)
	}
	r.logReader.Go(func() { r.readLog(bufio.NewScanner(log)) })
	return r, nil
}

// readLog reads the log to its end. A line "cluster changed" means that a list has been applied.
func (r *realSidecar) readLog(log *bufio.Scanner) {
	for log.Scan() {
		line := gjson.ParseBytes(log.Bytes())
		if line.Get("message").Str != "cluster changed" {
			continue
		}
		r.mu.Lock()
		r.applied = append(r.applied, Applied{At: monotonicNow(), Revision: line.Get("revision").Int()})
		r.mu.Unlock()
	}
}

// incarnation returns the only one of the process.
func (r *realSidecar) incarnation() Incarnation {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Incarnation{Number: r.number, StartedAt: r.startedAt, Applied: r.applied}
}

// revision returns the revision that it has applied; 0 is none.
func (r *realSidecar) revision() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.applied) == 0 {
		return 0
	}
	return r.applied[len(r.applied)-1].Revision
}

// close kills the process, and waits for it and the end of its log.
func (r *realSidecar) close() {
	_ = r.cmd.Process.Kill() // nothing is lost
	r.logReader.Wait()
	_ = r.cmd.Wait()
}
