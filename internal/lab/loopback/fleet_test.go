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

// fleetOf is a run with so many sidecars, each this test binary in the role that the environment says.
func fleetOf(n int, dir string) (*run, error) {
	s := scenario.Default()
	s.Fleet.Sidecars = n
	s.Class = []scenario.Class{{Name: "c", Effect: "safe", Deadline: scenario.Span(time.Second)}}
	s.Tier = []scenario.Tier{{Name: "t", Kind: []scenario.Kind{{Name: "t", Boxes: 1, Cores: 1, Speed: 1}}}}
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

// begin starts a fleet and ends it with the test.
func begin(t *testing.T, n int, role string) *run {
	t.Helper()
	noLeaks(t)
	t.Setenv(roleIs, role)
	r, err := fleetOf(n, t.TempDir())
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

// changes are what has happened to a sidecar so far.
func (r *run) changes(sidecar int) (out []trace.SidecarEventKind, last string) {
	r.recorder.mu.Lock()
	defer r.recorder.mu.Unlock()
	for _, c := range r.recorder.log.SidecarEvents {
		if c.Sidecar == sidecar {
			out, last = append(out, c.Kind), c.Detail
		}
	}
	return out, last
}

func expect(t *testing.T, r *run, sidecar int, want ...trace.SidecarEventKind) {
	t.Helper()
	if got, _ := r.changes(sidecar); !slices.Equal(got, want) {
		t.Fatalf("changes of %d: %v, want %v", sidecar, got, want)
	}
}

// witness is the other end of the connections that sidecars keep as long as they live.
func witness(t *testing.T) (address string, next func() *bufio.Reader) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.(*net.TCPListener).SetDeadline(time.Now().Add(ample))
	t.Cleanup(func() { l.Close() })
	return l.Addr().String(), func() *bufio.Reader {
		t.Helper()
		conn, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		conn.SetDeadline(time.Now().Add(ample))
		t.Cleanup(func() { conn.Close() })
		return bufio.NewReader(conn)
	}
}

// A sidecar's life by the script: started, ready, killed, started again with another seed, stopped; the front
// has it in between, and no process is left.
func TestFleetsLife(t *testing.T) {
	r := begin(t, 2, roleSidecar)
	f := r.fleet
	expect(t, r, 0, trace.SidecarStarted, trace.SidecarReady)
	if !f.routable(0) || !f.routable(1) {
		t.Error("the front does not admit what is ready")
	}
	before, err := os.ReadFile(f.sidecars[0].configPath())
	if err != nil {
		t.Fatal(err)
	}
	r.plan.Scenario.Clients.Notice = scenario.Span(time.Hour)
	f.sidecars[0].kill()
	<-f.sidecars[0].currentProcess().exited
	expect(t, r, 0, trace.SidecarStarted, trace.SidecarReady, trace.SidecarKilled)
	if !f.routable(0) {
		t.Error("the front has noticed the death at once")
	}
	r.plan.Scenario.Clients.Notice = 0
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
	expect(t, r, 0, trace.SidecarStarted, trace.SidecarReady, trace.SidecarKilled, trace.SidecarStarted, trace.SidecarReady, trace.SidecarStopping, trace.SidecarExited)
	expect(t, r, 1, trace.SidecarStarted, trace.SidecarReady, trace.SidecarKilled)
	use := f.sidecars[0].usage()
	if use.CPU <= 0 || use.PeakMemory < 1<<20 || use.MaxDescriptors < 3 {
		t.Errorf("usage: %+v", use)
	}
}

// Of one that says that it drains, clients use the connections they have and open no new ones; one that does
// not end is killed.
func TestDrainingIsTakenOut(t *testing.T) {
	r := begin(t, 1, roleDeaf)
	s := r.fleet.sidecars[0]
	r.transport.roundTrip(t.Context(), clientRequest{directEndpoint: -1, timeout: ample, cancelAt: ample}) // whose connection is kept
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
	r.transport.roundTrip(t.Context(), clientRequest{directEndpoint: -1, timeout: ample, cancelAt: ample})
	r.fleet.shutDown(true)
	if !s.routing.Load().draining {
		t.Error("its health was not asked")
	}
	if r.fleet.routable(0) {
		t.Error("still admitted for connections that died with it")
	}
	expect(t, r, 0, trace.SidecarStarted, trace.SidecarReady, trace.SidecarStopping, trace.SidecarKilled)
}

// A sidecar that ends by itself has crashed: how, and the end of its log, are in the trace.
func TestCrashIsNoticed(t *testing.T) {
	r := begin(t, 1, roleCrash)
	got := r.transport.roundTrip(t.Context(), clientRequest{directEndpoint: -1, timeout: ample, cancelAt: ample})
	if got.Status != trace.StatusDisconnected {
		t.Errorf("%+v", got)
	}
	<-r.fleet.sidecars[0].currentProcess().exited
	expect(t, r, 0, trace.SidecarStarted, trace.SidecarReady, trace.SidecarCrashed)
	if _, text := r.changes(0); !strings.Contains(text, "exit status 7") || !strings.Contains(text, "the last words") {
		t.Errorf("crash: %q", text)
	}
}

// One that ends before it is ready is not waited for.
func TestCrashAtTheStart(t *testing.T) {
	r := begin(t, 1, roleFaulty)
	<-r.fleet.sidecars[0].currentProcess().exited
	expect(t, r, 0, trace.SidecarStarted, trace.SidecarCrashed)
	if _, text := r.changes(0); !strings.Contains(text, "no such key") {
		t.Errorf("crash: %q", text)
	}
	if r.fleet.routable(0) {
		t.Error("admitted")
	}
}

// A program that is not there is an error, which names it.
func TestNoProgram(t *testing.T) {
	noLeaks(t)
	r, err := fleetOf(1, t.TempDir())
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

// A move of discovery reaches a sidecar that runs, one that is down at its next start, and one that is just
// starting once it is ready.
func TestHup(t *testing.T) {
	address, next := witness(t)
	t.Setenv(witnessAt, address)
	r := begin(t, 1, roleSidecar)
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
	if got, _ := r.changes(0); slices.Contains(got, trace.SidecarCrashed) {
		t.Errorf("changes: %v", got)
	}
}

// When pinelab is killed, its sidecars end with it, though nothing tells them to.
func TestSidecarsEndWithAKilledPinelab(t *testing.T) {
	address, next := witness(t)
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), ample)
	defer cancel()
	lab := exec.CommandContext(ctx, self)
	lab.Env = append(os.Environ(), roleIs+"="+rolePinelab, witnessAt+"="+address, "TMPDIR="+t.TempDir())
	lab.Stderr = os.Stderr
	if err := lab.Start(); err != nil {
		t.Fatal(err)
	}
	in := next()
	if _, err := in.ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	lab.Process.Signal(syscall.SIGKILL)
	// The end of the connection is the end of the sidecar.
	if _, err := in.ReadByte(); err != io.EOF && !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the sidecar lives on: %v", err)
	}
	lab.Wait()
}

// A run that is broken off ends its sidecars too.
func TestBeginIsCalledOff(t *testing.T) {
	noLeaks(t)
	t.Setenv(roleIs, roleSidecar)
	r, err := fleetOf(3, t.TempDir())
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
