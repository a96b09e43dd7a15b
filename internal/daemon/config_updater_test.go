package daemon

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/rs/zerolog"

	"pinelb.example/pinelb/internal/cluster"
	"pinelb.example/pinelb/internal/config"
	"pinelb.example/pinelb/internal/downstream"
	"pinelb.example/pinelb/internal/driver"
	"pinelb.example/pinelb/internal/upstream"
)

// Guards against a file that is turned down for its settings and moves discovery all the same, and against a move that is
// lost behind it.
func TestInvalidFilesChangeNothing(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	put := func(old, new, discovery string) {
		if !strings.Contains(testSettings, old) {
			t.Fatalf("%q is not in the settings", old)
		}
		text := `{"listen":"127.0.0.4:8080","discovery":"` + discovery + `","settings":` + strings.Replace(testSettings, old, new, 1) + `}`
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	put("", "", "127.2.0.1:1")
	t.Setenv("LB_CONFIG", path)
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		t.Fatal(err)
	}
	eng, err := driver.New(cfg.Settings.Settings, 1, noConnections{}, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	set := &cfg.Settings
	tuned := &configUpdater{cfg: cfg, operator: &config.Operator{}, engine: eng, pool: upstream.NewPool(set.ConnectTimeout, set.ConnIdle, 10),
		side: downstream.NewManager(set, 1<<20, 10, zerolog.Nop()), table: cluster.NewTable(set.ZoneNames, set.KindNames, noConnections{}, eng), log: zerolog.Nop()}
	ctx, end := context.WithCancel(t.Context())
	hups, moves, ended := make(chan os.Signal), make(chan string), make(chan struct{})
	go func() {
		tuned.run(ctx, hups, moves)
		close(ended)
	}()
	for _, c := range []struct{ old, new string }{{`"send_cap":4`, `"send_cap":0`}, {`"send_cap":4`, `"x":4`}, {`"zones":["moonah"]`, `"zones":[1]`}, {`"deadline":`, `"deadline":-`}} {
		put(c.old, c.new, "127.2.0.1:2")
		for range 2 { // by the time the second is taken, the first has been done with
			select {
			case hups <- syscall.SIGHUP:
			case to := <-moves:
				t.Fatalf("with %s discovery moves to %s", c.new, to)
			}
		}
		if tuned.cfg != cfg {
			t.Errorf("%s has taken effect", c.new)
		}
	}
	put("", "", "127.2.0.1:3")
	for to := ""; to == ""; { // the last may have read this file already
		select {
		case hups <- syscall.SIGHUP:
		case to = <-moves:
			if to != "127.2.0.1:3" {
				t.Errorf("discovery moves to %s", to)
			}
		}
	}
	end()
	<-ended
}
