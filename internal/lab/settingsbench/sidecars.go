package settingsbench

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/tidwall/gjson"

	"pinelb.example/pinelb/internal/version"
)

// sidecars are real ones, each a process, and what is around them: a list service and one upstream host.
type sidecarSet struct {
	*applyLog
	config      *Config
	dir    string
	upstream  *upstream
	mu     sync.Mutex
	addrs  []string
	reloads []chan bool // whether a file that was read again was taken
	processes    []*process
}

// world is a list service with one upstream host, which answers all.
type upstream struct {
	listAddr, hostAddr string
	servers   []*http.Server
}

func newUpstream() (*upstream, error) {
	w := &upstream{}
	for _, one := range []struct {
		addr    *string
		handler http.HandlerFunc
	}{{&w.hostAddr, func(http.ResponseWriter, *http.Request) {}}, {&w.listAddr, w.serveList}} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			w.close()
			return nil, fmt.Errorf("distributed: %w", err)
		}
		*one.addr = l.Addr().String()
		s := &http.Server{Handler: one.handler}
		w.servers = append(w.servers, s)
		go func() { _ = s.Serve(l) }()
	}
	return w, nil
}

// tell answers with the list, or after its wait that there is nothing new.
func (w *upstream) serveList(out http.ResponseWriter, r *http.Request) {
	member := ""
	if r.URL.Query().Get("since") == "" {
		member = fmt.Sprintf(`{"id":"s-1","host_port":%q,"locality":"z","flavor":"k","phase":"Ready","size":1,"up_since_ms":0}`, w.hostAddr)
	} else if wait, err := time.ParseDuration(r.URL.Query().Get("timeout_ms") + "ms"); err == nil {
		select {
		case <-time.After(wait):
		case <-r.Context().Done():
			return
		}
	}
	fmt.Fprintf(out, `{"revision":1,"complete":%v,"members":[%s]}`, member != "", member)
}

func (w *upstream) close() {
	for _, s := range w.servers {
		_ = s.Close()
	}
}

// startSidecars starts n; from are the distributors that they follow, none: they have their file alone.
func startSidecars(c *Config, dir string, w *upstream, n int, from []string) (*sidecarSet, error) {
	s := &sidecarSet{applyLog: newApplyLog(n), config: c, dir: dir, upstream: w, addrs: make([]string, n), reloads: make([]chan bool, n)}
	for i := range n {
		s.reloads[i] = make(chan bool, 1)
		if err := s.write(i, settingsText(0, c.Bytes)); err != nil {
			s.stop()
			return nil, err
		}
		args := []string{}
		if len(from) > 0 {
			file := filepath.Join(dir, "operator.toml")
			list, _ := json.Marshal(from) // texts
			if err := os.WriteFile(file, fmt.Appendf(nil, "[settings]\nfrom = %s\nservice = %q\n", list, Service), 0o600); err != nil {
				s.stop()
				return nil, fmt.Errorf("distributed: %w", err)
			}
			args = append(args, "--config="+file)
		}
		listening := make(chan struct{})
		p, err := launch(c.Pinelb, args, append([]string{"LB_CONFIG=" + s.file(i), "LB_NAME=", "LB_LISTEN=", "LB_DISCOVERY=", "LB_CONTROL="}, c.Env...),
			func(text []byte) { s.readLogLine(i, gjson.ParseBytes(text), listening) })
		if err != nil {
			s.stop()
			return nil, err
		}
		s.processes = append(s.processes, p)
		select {
		case <-listening:
		case <-p.exited:
			s.stop()
			return nil, fmt.Errorf("distributed: sidecar %d has ended", i)
		}
	}
	return s, nil
}

// line reads one of a sidecar's log.
func (s *sidecarSet) readLogLine(i int, line gjson.Result, listening chan struct{}) {
	switch line.Get("message").Str {
	case "listening":
		s.mu.Lock()
		s.addrs[i] = line.Get("addr").Str
		s.mu.Unlock()
		close(listening)
	case "published settings are in force":
		s.record(i, version.Edition{Epoch: line.Get("epoch").Uint(), By: line.Get("by").Str})
	case "configuration read again":
		s.reloads[i] <- true
	case "the new configuration is not taken":
		s.reloads[i] <- false
	}
}

func (s *sidecarSet) file(i int) string { return filepath.Join(s.dir, fmt.Sprintf("sidecar-%d.json", i)) }

// write writes a sidecar's file, beside and then renamed.
func (s *sidecarSet) write(i int, settings []byte) error {
	text, err := json.Marshal(map[string]any{"name": fmt.Sprintf("sidecar-%d", i), "listen": "127.0.0.1:0", "discovery": s.upstream.listAddr, "seed": "1",
		"settings": json.RawMessage(settings)})
	if err == nil {
		err = os.WriteFile(s.file(i)+".new", text, 0o600)
	}
	if err == nil {
		err = os.Rename(s.file(i)+".new", s.file(i))
	}
	if err != nil {
		return fmt.Errorf("distributed: %w", err)
	}
	return nil
}

// reload has one take settings from its file, as an operator would: written, signalled, and its word waited for.
func (s *sidecarSet) reload(i int, settings []byte) error {
	if err := s.write(i, settings); err != nil {
		return err
	}
	if err := s.processes[i].signal(syscall.SIGHUP); err != nil {
		return err
	}
	select {
	case taken := <-s.reloads[i]:
		if !taken {
			return fmt.Errorf("distributed: sidecar %d does not take its file", i)
		}
	case <-time.After(readyTimeout):
		return fmt.Errorf("distributed: sidecar %d has said nothing of its file", i)
	}
	return nil
}

// answers counts those that answer a request of the class that the n-th settings alone have.
func (s *sidecarSet) countAnswering(n int) (count int) {
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, addr := range s.addrs {
		req, err := http.NewRequest(http.MethodGet, "http://"+addr+"/"+className(n)+"/1", nil)
		if err != nil {
			continue
		}
		req.Header.Set("X-Txn", "9b1f03aa5c7e2d41")
		req.Header.Set("X-Remaining-Ms", "60000")
		res, err := client.Do(req)
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, res.Body)
		res.Body.Close()
		if res.StatusCode == http.StatusOK {
			count++
		}
	}
	return count
}

func (s *sidecarSet) stop() {
	for _, p := range s.processes {
		_ = p.signal(syscall.SIGCONT) // it may be stopped
		p.kill()
	}
}

// classes is how many names classes have: a sidecar knows so many in its life alone, and has forgotten one long before it comes again.
const classNames = 64

func className(n int) string { return fmt.Sprintf("change-%d", n%classNames) }

// settings are the n-th: all differ, and are of about so many bytes.
func settingsText(n, bytes int) []byte {
	text := fmt.Sprintf(`{"n":%d,"n_instances":1,"allowed":{"cancel":true,"conn_idle":30000000000,"connect_timeout":5000000000,"max_retry_after":1500000000,`+
		`"most_held":20000,"retry_after":true,"second_copies":true,"send_cap":4},"classes":[{"name":%q,"aim":300000000,"deadline":1000000000,`+
		`"idempotency":"read_like","worth":3}],"kinds":["k"],"zones":["z"],"quantum":2000000,"rules":{"answer_slack":8000000,"cold":9000000000,`+
		`"cold_share":0.3,"fall":1000000000,"stop_sending_within":3000000000,"tip_multiple":2.5}}`, n, className(n))
	if pad := bytes - len(text) - len(`,"note":""`); pad > 0 {
		text = strings.TrimSuffix(text, "}") + `,"note":"` + strings.Repeat("x", pad) + `"}`
	}
	return []byte(text)
}
