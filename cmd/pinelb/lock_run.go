package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"runtime"
	"strconv"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"pinelb.example/pinelb/client"
)

// Exit statuses of "pinelb lock run" beside the command's own and exitFaulty.
const (
	exitNotAcquired = 120 // the lock was not acquired in time, and the command not started
	exitLost        = 121 // the lock was lost, and the command ended
	exitNotStarted  = 126 // the command can't be started
	exitSignal      = 128 // and the signal's number: the command was ended by it
)

const (
	fenceVariable       = "PINELB_FENCE"
	defaultGraceDivisor = 4 // the default grace is the hold divided by it
	releaseTimeout      = 2 * time.Second
)

// lockRun is "pinelb lock run".
type lockRun struct {
	*coordinationFlags
	holder string
	hold   time.Duration
	grace  time.Duration // between SIGTERM and SIGKILL
}

func lockRunCommand(common *coordinationFlags) *cobra.Command {
	run := &lockRun{coordinationFlags: common}
	command := &cobra.Command{
		Use: "run NAME -- COMMAND [ARGUMENT...]", Args: cobra.MinimumNArgs(2),
		Short: "Run a command while a lock is held, with the fencing token in " + fenceVariable,
		Long: "Run a command while a lock is held, with the fencing token in " + fenceVariable + ". The command is a process group of its own. When " +
			"the lock is about to be lost it gets SIGTERM, and SIGKILL at the end of the grace, which is the end of the hold at the latest. " +
			fmt.Sprintf("The exit status is the command's; %d: the lock was not acquired within --timeout; %d: it was lost; %d: the command can't "+
				"be started; %d and the signal's number: a signal ended it.", exitNotAcquired, exitLost, exitNotStarted, exitSignal),
		RunE: func(_ *cobra.Command, args []string) error { return run.do(args[0], args[1:]) },
	}
	command.Flags().StringVar(&run.holder, "holder", "", "the holder's name, which no other holder may have (default: drawn at random)")
	command.Flags().DurationVar(&run.hold, "hold", defaultHold, "for how long the lock stays taken when this process dies, from 1ms to 1h")
	command.Flags().DurationVar(&run.grace, "grace", 0, "between SIGTERM and SIGKILL, at most half of --hold (default: a quarter of it)")
	return command
}

// do acquires the lock, runs the command and releases the lock.
func (r *lockRun) do(name string, command []string) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	defer signal.Stop(signals)
	if r.grace <= 0 {
		r.grace = r.hold / defaultGraceDivisor
	}
	c, err := r.open()
	if err != nil {
		return err
	}
	defer c.Close()
	lock, err := r.acquire(c, name, signals)
	if err != nil {
		return notAcquired(err)
	}
	status := r.runCommand(lock, command, signals)
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := lock.Release(ctx); err != nil {
		fmt.Fprintf(os.Stderr, "pinelb: lock %s is not released, it is free after %v: %v\n", name, r.hold, err)
	}
	if status != 0 {
		return exitError(status)
	}
	return nil
}

// acquire waits for the lock until the time-out, or a signal.
func (r *lockRun) acquire(c *client.Client, name string, signals <-chan os.Signal) (*client.Lock, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if r.timeout > 0 {
		timer := time.AfterFunc(r.timeout, cancel)
		defer timer.Stop()
	}
	acquired := make(chan struct{})
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		select {
		case <-signals:
			cancel()
		case <-acquired:
		}
	}()
	lock, err := c.Acquire(ctx, name, client.LockOptions{Holder: r.holder, Hold: r.hold, Margin: r.grace})
	close(acquired)
	<-watched
	return lock, err
}

// notAcquired says why, and chooses the exit status.
func notAcquired(err error) error {
	var refused *client.RefusedError
	if errors.As(err, &refused) && refused.IsInvalid() {
		return err
	}
	fmt.Fprintln(os.Stderr, "pinelb:", err)
	return exitError(exitNotAcquired)
}

// runCommand runs the command while the lock is held and returns the exit status. Signals are passed on to it.
func (r *lockRun) runCommand(lock *client.Lock, command []string, signals <-chan os.Signal) int {
	runtime.LockOSThread() // the kernel ends the command when this thread ends
	defer runtime.UnlockOSThread()
	child := exec.Command(command[0], command[1:]...)
	child.Env = append(os.Environ(), fenceVariable+"="+strconv.FormatUint(lock.Fence(), 10))
	child.Stdin, child.Stdout, child.Stderr = os.Stdin, os.Stdout, os.Stderr
	child.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := child.Start(); err != nil {
		fmt.Fprintln(os.Stderr, "pinelb:", err)
		return exitNotStarted
	}
	exited := make(chan struct{})
	go func() {
		defer close(exited)
		_ = child.Wait() // the status is read from its state
	}()
	isLost := r.supervise(lock, child.Process.Pid, exited, signals, os.Stderr)
	if isLost {
		return exitLost
	}
	if status := child.ProcessState.Sys().(syscall.WaitStatus); status.Signaled() {
		return exitSignal + int(status.Signal())
	}
	return child.ProcessState.ExitCode()
}

// supervise waits until the command has exited, and ends its process group when the lock is lost, which it reports.
func (r *lockRun) supervise(lock *client.Lock, group int, exited <-chan struct{}, signals <-chan os.Signal, log io.Writer) (isLost bool) {
	for {
		select {
		case <-exited:
			return false
		case received := <-signals:
			_ = syscall.Kill(-group, received.(syscall.Signal)) // it may have exited
		case <-lock.Lost():
			_, _ = fmt.Fprintln(log, "pinelb: the command is ended:", lock.Err())
			endGroup(group, exited, r.grace)
			return true
		}
	}
}

// endGroup sends SIGTERM to a process group, and SIGKILL to what is left of it after the grace, or when its first process has exited.
func endGroup(group int, exited <-chan struct{}, grace time.Duration) {
	_ = syscall.Kill(-group, syscall.SIGTERM)
	timer := time.NewTimer(grace)
	defer timer.Stop()
	select {
	case <-exited:
	case <-timer.C:
	}
	_ = syscall.Kill(-group, syscall.SIGKILL)
	<-exited
}
