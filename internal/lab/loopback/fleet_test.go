package loopback

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"os/exec"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/scenario"
	"pinelb.example/pinelb/internal/lab/trace"
)

// newTestRun is a run with n sidecars, each this test binary in the role that the environment names.
func newTestRun(n int, dir string) (*run, error) {
	s := scenario.Default()
	s.Fleet.Sidecars = n
	s.Classes = []scenario.Class{{Name: "c", Idempotency: "safe", Deadline: scenario.Span(time.Second)}}
	s.Tiers = []scenario.Tier{{Name: "t", Kinds: []scenario.EndpointKind{{Name: "t", Endpoints: 1, Cores: 1, Speed: 1}}}}
	p, err := plan.Build(&s, 1, []plan.Arrival{})
	if err != nil {
		return nil, err
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	r := &run{plan: p, options: Options{LogDir: dir, Builds: [2]string{self}}, recorder: &recorder{}}
	now := time.Now()
	r.startTime.Store(&now)
	if r.addresses, err = newAddresses(); err != nil {
		return nil, err
	}
	if r.transport, err = newTransport(p, r.elapsed, r.addresses); err != nil {
		return nil, err
	}
	r.fleet, err = newFleet(r)
	return r, err
}

// startFleet starts a fleet and stops it at the end of the test.
func startFleet(t *testing.T, n int, role string) *run {
	t.Helper()
	noLeaks(t)
	t.Setenv(roleVariable, role)
	r, err := newTestRun(n, t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		r.fleet.close()
		r.transport.close()
		r.addresses.close()
	})
	if err := r.fleet.startInitial(t.Context()); err != nil {
		t.Fatal(err)
	}
	return r
}

// sidecarEvents are the events of a sidecar so far, and the detail of the last.
func (r *run) sidecarEvents(sidecar int) (out []trace.SidecarEventKind, last string) {
	r.recorder.mu.Lock()
	defer r.recorder.mu.Unlock()
	for _, c := range r.recorder.log.SidecarEvents {
		if c.Sidecar == sidecar {
			out, last = append(out, c.Kind), c.Detail
		}
	}
	return out, last
}

func expectEvents(t *testing.T, r *run, sidecar int, want ...trace.SidecarEventKind) {
	t.Helper()
	if got, _ := r.sidecarEvents(sidecar); !slices.Equal(got, want) {
		t.Fatalf("changes of %d: %v, want %v", sidecar, got, want)
	}
}

// listenForWitness accepts the connections that sidecars keep as long as they live.
func listenForWitness(t *testing.T) (address string, next func() *bufio.Reader) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := l.(*net.TCPListener).SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l.Addr().String(), func() *bufio.Reader {
		t.Helper()
		conn, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		return bufio.NewReader(conn)
	}
}

// TestFleetLifecycle takes a sidecar through the script: started, ready, killed, started again with another seed, stopped. It is routable in
// between, and no process is left.
func TestFleetLifecycle(t *testing.T) {
	r := startFleet(t, 2, roleSidecar)
	f := r.fleet
	expectEvents(t, r, 0, trace.SidecarStarted, trace.SidecarReady)
	if !f.routable(0) || !f.routable(1) {
		t.Error("the front does not admit what is ready")
	}
	before, err := os.ReadFile(f.sidecars[0].configPath())
	if err != nil {
		t.Fatal(err)
	}
	r.plan.Scenario.Clients.FailureDetection = scenario.Span(time.Hour)
	f.sidecars[0].kill()
	<-f.sidecars[0].currentProcess().exited
	expectEvents(t, r, 0, trace.SidecarStarted, trace.SidecarReady, trace.SidecarKilled)
	if !f.routable(0) {
		t.Error("the front has noticed the death at once")
	}
	r.plan.Scenario.Clients.FailureDetection = 0
	f.sidecars[1].kill()
	<-f.sidecars[1].currentProcess().exited
	if f.routable(1) {
		t.Error("the front goes on for longer than it takes to notice")
	}
	if err := f.sidecars[0].start(); err != nil {
		t.Fatal(err)
	}
	<-f.sidecars[0].currentProcess().settled
	after, err := os.ReadFile(f.sidecars[0].configPath())
	if err != nil || string(after) == string(before) {
		t.Errorf("the second start has the first's configuration: %v", err)
	}
	f.shutDown(false)
	expectEvents(t, r, 0, trace.SidecarStarted, trace.SidecarReady, trace.SidecarKilled, trace.SidecarStarted, trace.SidecarReady, trace.SidecarStopping, trace.SidecarExited)
	expectEvents(t, r, 1, trace.SidecarStarted, trace.SidecarReady, trace.SidecarKilled)
	use := f.sidecars[0].usage()
	if use.CPU <= 0 || use.PeakMemory < 1<<20 || use.MaxDescriptors < 3 {
		t.Errorf("usage: %+v", use)
	}
}

// TestDrainingSidecarIsNotRoutable checks that clients use the connections that they have to a draining sidecar and open no new ones, and
// that one that does not exit is killed.
func TestDrainingSidecarIsNotRoutable(t *testing.T) {
	r := startFleet(t, 1, roleDeaf)
	s := r.fleet.sidecars[0]
	r.transport.roundTrip(t.Context(), clientRequest{directEndpoint: -1, timeout: testTimeout, cancelAt: testTimeout}) // whose connection is kept
	r.fleet.sidecars[0].stop()
	if !r.fleet.routable(0) {
		t.Error("taken out before it has said that it drains")
	}
	draining := *s.routing.Load()
	draining.draining = true
	s.routing.Store(&draining)
	if !r.fleet.routable(0) {
		t.Error("taken out although a connection is kept")
	}
	r.transport.closeIdle(0)
	if r.fleet.routable(0) {
		t.Error("admitted for new connections")
	}
	draining.draining = false
	s.routing.Store(&draining)
	r.transport.roundTrip(t.Context(), clientRequest{directEndpoint: -1, timeout: testTimeout, cancelAt: testTimeout})
	r.fleet.shutDown(true)
	if !s.routing.Load().draining {
		t.Error("its health was not asked")
	}
	if r.fleet.routable(0) {
		t.Error("still admitted for connections that died with it")
	}
	expectEvents(t, r, 0, trace.SidecarStarted, trace.SidecarReady, trace.SidecarStopping, trace.SidecarKilled)
}

// TestCrashIsDetected checks that a sidecar that exits by itself is recorded as crashed, with its status and the end of its log.
func TestCrashIsDetected(t *testing.T) {
	r := startFleet(t, 1, roleCrash)
	got := r.transport.roundTrip(t.Context(), clientRequest{directEndpoint: -1, timeout: testTimeout, cancelAt: testTimeout})
	if got.Status != trace.StatusDisconnected {
		t.Errorf("%+v", got)
	}
	<-r.fleet.sidecars[0].currentProcess().exited
	expectEvents(t, r, 0, trace.SidecarStarted, trace.SidecarReady, trace.SidecarCrashed)
	if _, text := r.sidecarEvents(0); !strings.Contains(text, "exit status 7") || !strings.Contains(text, "the last words") {
		t.Errorf("crash: %q", text)
	}
}

// TestCrashAtStart checks that the start does not wait for a sidecar that exits before it is ready.
func TestCrashAtStart(t *testing.T) {
	r := startFleet(t, 1, roleFaulty)
	<-r.fleet.sidecars[0].currentProcess().exited
	expectEvents(t, r, 0, trace.SidecarStarted, trace.SidecarCrashed)
	if _, text := r.sidecarEvents(0); !strings.Contains(text, "no such key") {
		t.Errorf("crash: %q", text)
	}
	if r.fleet.routable(0) {
		t.Error("admitted")
	}
}

// TestMissingProgram checks that a missing program is an error that names it.
func TestMissingProgram(t *testing.T) {
	noLeaks(t)
	r, err := newTestRun(1, t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	defer r.addresses.close()
	defer r.fleet.close()
	r.fleet.builds[0] = "/there/is/none"
	if err := r.fleet.startInitial(t.Context()); err == nil || !strings.Contains(err.Error(), "/there/is/none") {
		t.Errorf("error: %v", err)
	}
}

// TestReload checks that a move of discovery reaches a running sidecar, one that is down at its next start, and one that is just starting
// once it is ready.
func TestReload(t *testing.T) {
	address, next := listenForWitness(t)
	t.Setenv(witnessVariable, address)
	r := startFleet(t, 1, roleSidecar)
	in := next()
	hear := func(want string) {
		t.Helper()
		if line, err := in.ReadString('\n'); err != nil || line != want+"\n" {
			t.Fatalf("it follows %q, want %q: %v", line, want, err)
		}
	}
	hear(r.addresses.agent(0, 0))
	if err := r.fleet.sidecars[0].reload(r.addresses.agent(0, 1)); err != nil {
		t.Fatal(err)
	}
	hear(r.addresses.agent(0, 1))
	r.fleet.sidecars[0].kill()
	<-r.fleet.sidecars[0].currentProcess().exited
	if err := r.fleet.sidecars[0].reload(r.addresses.agent(0, 2)); err != nil {
		t.Fatal(err)
	}
	if err := r.fleet.sidecars[0].start(); err != nil {
		t.Fatal(err)
	}
	if err := r.fleet.sidecars[0].reload(r.addresses.agent(0, 3)); err != nil { // before it can have set up its signals
		t.Fatal(err)
	}
	in = next()
	hear(r.addresses.agent(0, 2))
	hear(r.addresses.agent(0, 3))
	if got, _ := r.sidecarEvents(0); slices.Contains(got, trace.SidecarCrashed) {
		t.Errorf("changes: %v", got)
	}
}

// TestSidecarsDieWithParent checks that the sidecars die with a pinelab that is killed, though nothing signals them.
func TestSidecarsDieWithParent(t *testing.T) {
	address, next := listenForWitness(t)
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	lab := exec.CommandContext(ctx, self)
	lab.Env = append(os.Environ(), roleVariable+"="+rolePinelab, witnessVariable+"="+address, "TMPDIR="+t.TempDir())
	lab.Stderr = os.Stderr
	if err := lab.Start(); err != nil {
		t.Fatal(err)
	}
	in := next()
	if _, err := in.ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	if err := lab.Process.Signal(syscall.SIGKILL); err != nil {
		t.Fatal(err)
	}
	// The end of the connection is the end of the sidecar.
	if _, err := in.ReadByte(); err != io.EOF && !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the sidecar lives on: %v", err)
	}
	_ = lab.Wait() // it was killed
}

// TestStartIsCanceled checks that a run that is cut short stops its sidecars too.
func TestStartIsCanceled(t *testing.T) {
	noLeaks(t)
	t.Setenv(roleVariable, roleSidecar)
	r, err := newTestRun(3, t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	defer r.addresses.close()
	defer r.fleet.close()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := r.fleet.startInitial(ctx); err != context.Canceled {
		t.Errorf("error: %v", err)
	}
}
