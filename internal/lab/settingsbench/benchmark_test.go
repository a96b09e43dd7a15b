package settingsbench

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"pinelb.example/pinelb/internal/daemon"
	"pinelb.example/pinelb/internal/settingsserver"
	"pinelb.example/pinelb/internal/version"
)

// programVariable is the environment variable that has the test's binary run as pinelb, as far as the benchmark starts it.
const programVariable = "DISTRIBUTED_TEST_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(programVariable) == "" {
		os.Exit(m.Run())
	}
	if len(os.Args) > 2 && os.Args[1] == "distribute" {
		cfg, err := settingsserver.ReadConfig(os.Args[2])
		if err == nil {
			err = settingsserver.Run(context.Background(), *cfg, zerolog.New(os.Stderr))
		}
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	operator := ""
	if len(os.Args) > 1 {
		operator = strings.TrimPrefix(os.Args[1], "--config=")
	}
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	if daemon.Serve(operator, reloads) != nil {
		os.Exit(1)
	}
}

// TestEveryCase guards against a change that is not in force everywhere, in any of the cases: distributors killed, unresponsive and slow,
// sidecars stopped, regions partitioned and healed, all starting at once. How long it takes is for the command to measure.
func TestEveryCase(t *testing.T) {
	var out bytes.Buffer
	c := Config{Pinelb: os.Args[0], Env: []string{programVariable + "=1"}, Sizes: []int{10, 20}, Real: 4, Changes: 2, Bytes: 2048, Window: time.Second, Out: &out, Seed: 1}
	if err := Run(t.Context(), c); err != nil {
		t.Fatalf("%v, after\n%s", err, &out)
	}
	var cases []string
	for text := range strings.Lines(out.String()) {
		var result Result
		if err := json.Unmarshal([]byte(text), &result); err != nil {
			t.Fatal(err)
		}
		cases = append(cases, result.Case)
		for _, times := range []*Times{result.Stubs, result.Sidecars} {
			if times != nil && (times.Late > 0 || times.N == 0) {
				t.Errorf("not in force everywhere within %s: %s", inForceTimeout, text)
			}
			if times != nil && times.N%result.Changes != 0 { // each change is counted at the same number of followers
				t.Errorf("not each of the changes is counted at each: %s", text)
			}
		}
		if result.Answering != nil && *result.Answering != c.Real {
			t.Errorf("not all sidecars serve by the last change: %s", text)
		}
	}
	want := slices.Concat([]string{"before", "before", "change", "rest"}, Cases[1:])
	if !slices.Equal(cases, want) {
		t.Errorf("cases %q, want %q", cases, want)
	}
}

// TestCheck guards against invalid arguments that are accepted, or whose key is not named.
func TestCheck(t *testing.T) {
	for key, edit := range map[string]func(*Config){
		"sizes": func(c *Config) { c.Sizes = nil }, "sizes: 100": func(c *Config) { c.Sizes = []int{200, 100} }, "sizes: 5000": func(c *Config) { c.Sizes = []int{5000} },
		"real": func(c *Config) { c.Real = 0 }, "changes": func(c *Config) { c.Changes = 0 }, "bytes": func(c *Config) { c.Bytes = 1 << 20 },
		"window": func(c *Config) { c.Window = 0 }, "only": func(c *Config) { c.Only = []string{"x"} }, "pinelb": func(c *Config) { c.Pinelb = "/nonexistent" },
	} {
		c := Config{Pinelb: os.Args[0], Sizes: []int{10}, Real: 4, Changes: 1, Bytes: 1024, Window: time.Second}
		if err := c.Check(); err != nil {
			t.Fatal(err)
		}
		edit(&c)
		if err := c.Check(); err == nil || !strings.HasPrefix(err.Error(), key+":") && !strings.HasPrefix(err.Error(), key) {
			t.Errorf("%s: %v", key, err)
		}
	}
}

// TestTimes guards against figures that leave out the slowest, or those that were never in force.
func TestTimes(t *testing.T) {
	s := newApplyLog(4)
	from := time.Now()
	for i := range 3 {
		s.record(i, version.Edition{Epoch: 1, By: "a"})
		s.record(i, version.Edition{Epoch: uint64(2 + i), By: "a"})
	}
	if delays, late := s.delays([]int{0, 1, 2, 3}, version.Edition{Epoch: 3, By: "a"}, from); len(delays) != 2 || late != 2 {
		t.Errorf("%v, %d late", delays, late)
	}
	var delays []time.Duration
	for i := range 1000 {
		delays = append(delays, time.Duration(1000-i)*time.Millisecond)
	}
	if got := *newTimes(delays, 3); got != (Times{N: 1003, P50: 501, P99: 991, Last: 1000, Late: 3}) {
		t.Errorf("%+v", got)
	}
}
