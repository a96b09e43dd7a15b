package settingsbench

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/tidwall/gjson"

	"pinelb.example/pinelb/internal/version"
)

// sidecarSet is real sidecars, each a process.
type sidecarSet struct {
	*applyLog
	config    *Config
	dir       string
	upstream  *upstream
	mu        sync.Mutex
	addrs     []string
	reloads   []chan bool // whether a reload was accepted
	processes []*process
}

// startSidecars starts n sidecars that follow the distributors; without any they have their file alone.
func startSidecars(config *Config, dir string, upstream *upstream, n int, distributors []string) (*sidecarSet, error) {
	s := &sidecarSet{applyLog: newApplyLog(n), config: config, dir: dir, upstream: upstream, addrs: make([]string, n), reloads: make([]chan bool, n)}
	for i := range n {
		s.reloads[i] = make(chan bool, 1)
		if err := s.write(i, settingsText(0, config.Bytes)); err != nil {
			s.stop()
			return nil, err
		}
		args := []string{}
		if len(distributors) > 0 {
			file := filepath.Join(dir, "operator.toml")
			list, _ := json.Marshal(distributors) // strings cannot fail
			if err := os.WriteFile(file, fmt.Appendf(nil, "[settings]\nfrom = %s\nservice = %q\n", list, Service), 0o600); err != nil {
				s.stop()
				return nil, fmt.Errorf("settingsbench: %w", err)
			}
			args = append(args, "--config="+file)
		}
		listening := make(chan struct{})
		p, err := launch(config.Pinelb, args, append([]string{"LB_CONFIG=" + s.file(i), "LB_NAME=", "LB_LISTEN=", "LB_DISCOVERY=", "LB_CONTROL="}, config.Env...),
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
			return nil, fmt.Errorf("settingsbench: sidecar %d has exited", i)
		}
	}
	return s, nil
}

// readLogLine evaluates a line of a sidecar's log.
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

// file returns the path of a sidecar's configuration.
func (s *sidecarSet) file(i int) string {
	return filepath.Join(s.dir, fmt.Sprintf("sidecar-%d.json", i))
}

// write replaces a sidecar's file.
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
		return fmt.Errorf("settingsbench: %w", err)
	}
	return nil
}

// reload has a sidecar load settings from its file as an operator would: it writes the file, signals the process, and waits for
// its log.
func (s *sidecarSet) reload(i int, settings []byte) error {
	if err := s.write(i, settings); err != nil {
		return err
	}
	if err := s.processes[i].signal(syscall.SIGHUP); err != nil {
		return err
	}
	select {
	case accepted := <-s.reloads[i]:
		if !accepted {
			return fmt.Errorf("settingsbench: sidecar %d rejects its file", i)
		}
	case <-time.After(readyTimeout):
		return fmt.Errorf("settingsbench: sidecar %d has not reported on its file", i)
	}
	return nil
}

// countAnswering counts the sidecars that answer a request of the class that only the n-th settings have.
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
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK {
			count++
		}
	}
	return count
}

// stop kills all sidecars.
func (s *sidecarSet) stop() {
	for _, p := range s.processes {
		_ = p.signal(syscall.SIGCONT) // it may be stopped
		p.kill()
	}
}
