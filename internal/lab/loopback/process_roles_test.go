package loopback

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"
)

// The test binary also plays a sidecar and a whole pinelab, where this variable says so.
const (
	roleVariable    = "PINELAB_TEST_ROLE"
	witnessVariable = "PINELAB_TEST_WITNESS" // an address to which a sidecar keeps a connection as long as it lives
	roleSidecar     = "sidecar"              // ready at once; responses all, ends on SIGTERM
	roleDeaf        = "deaf"                 // ready at once; responses all, drains on SIGTERM and never ends
	roleCrash       = "crash"                // ready at once; ends by itself with a message when it has a first request
	roleFaulty      = "faulty"               // ends at once
	rolePinelab     = "pinelab"              // a pinelab with one sidecar
)

func init() {
	role := os.Getenv(roleVariable)
	if role == "" {
		return
	}
	time.AfterFunc(time.Minute, func() { os.Exit(9) }) // a failed test is not to leave it behind
	play := runSidecarRole
	if role == rolePinelab {
		play = runLabRole
	}
	if err := play(role); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(3)
	}
	os.Exit(0)
}

// noLeaks fails the test if goroutines are left after its cleanup.
func noLeaks(t *testing.T) {
	t.Helper()
	t.Cleanup(func() { goleak.VerifyNone(t) })
}

func runSidecarRole(role string) error {
	if at := os.Getenv(witnessVariable); at != "" {
		conn, err := net.Dial("tcp", at)
		if err != nil {
			return err
		}
		defer conn.Close()
		fmt.Fprintf(conn, "%s\n", os.Getenv("LB_DISCOVERY"))
		hups := make(chan os.Signal, 1)
		signal.Notify(hups, syscall.SIGHUP)
		go func() {
			for range hups {
				text, _ := os.ReadFile(os.Getenv("LB_CONFIG"))
				_, after, _ := strings.Cut(string(text), `"discovery":"`)
				address, _, _ := strings.Cut(after, `"`)
				fmt.Fprintf(conn, "%s\n", address)
			}
		}()
	}
	if role == roleFaulty {
		return fmt.Errorf("no such key")
	}
	terms := make(chan os.Signal, 1)
	signal.Notify(terms, syscall.SIGTERM)
	l, err := net.Listen("tcp", os.Getenv("LB_LISTEN"))
	if err != nil {
		return err
	}
	var draining atomic.Bool
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path != "/_health" && role == roleCrash:
			fmt.Fprintln(os.Stderr, "the last words")
			os.Exit(7)
		case draining.Load():
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	go func() { _ = http.Serve(l, handler) }() // until the process ends
	<-terms
	if role == roleDeaf {
		draining.Store(true)
		select {}
	}
	return nil
}

// runLabRole runs a fleet of one and waits to be killed.
func runLabRole(string) error {
	if err := os.Setenv(roleVariable, roleDeaf); err != nil {
		return err
	}
	r, err := newTestRun(1, "")
	if err != nil {
		return err
	}
	if err := r.fleet.startInitial(context.Background()); err != nil {
		return err
	}
	select {}
}
