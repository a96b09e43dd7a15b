package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"pinelb.example/pinelb/client"
)

// Exit statuses of "pinelb lock", "counter", "cell" and "watch", beside 0 and exitFaulty. "pinelb lock run" has some of its own.
const (
	exitNo          = 1 // the answer is no: held by another, lost, not found, another revision, no longer known
	exitNotExecuted = 3 // refused, or nobody was reached: nothing was done
	exitUnclear     = 4 // it may have taken effect, or may yet
)

// defaultCallTimeout bounds a command's call.
const defaultCallTimeout = 5 * time.Second

// isCoordinationCommand reports whether a command is one of runCoordination.
func isCoordinationCommand(name string) bool {
	switch name {
	case "lock", "counter", "cell", "watch":
		return true
	}
	return false
}

// coordinationFlags are the flags of all commands.
type coordinationFlags struct {
	addresses []string
	timeout   time.Duration
}

// coordinationCall is what a command does with a client. The context ends with the time-out, SIGINT and SIGTERM.
type coordinationCall func(ctx context.Context, c *client.Client, out io.Writer) error

// runCoordination runs "pinelb lock ...", "counter", "cell" and "watch", and returns the exit status.
func runCoordination(args []string) int {
	flags := &coordinationFlags{}
	root := &cobra.Command{Use: "pinelb", SilenceUsage: true, SilenceErrors: true}
	root.CompletionOptions.DisableDefaultCmd = true
	root.PersistentFlags().StringSliceVar(&flags.addresses, "address", nil,
		"a router's control address (host:port); may stand more than once, the nearest first")
	root.PersistentFlags().DurationVar(&flags.timeout, "timeout", defaultCallTimeout, "for how long to try; of watch: 0 is until interrupted")
	root.AddCommand(lockCommand(flags), counterCommand(flags), cellCommand(flags), watchCommand(flags))
	root.SetArgs(args)
	err := root.Execute()
	if err == nil {
		return 0
	}
	var status exitError
	if errors.As(err, &status) {
		return int(status)
	}
	fmt.Fprintln(os.Stderr, "pinelb:", err)
	return coordinationStatus(err)
}

// exitError ends the program with an exit status; what there is to say has been said.
type exitError int

func (e exitError) Error() string { return fmt.Sprint("exit status ", int(e)) }

// coordinationStatus returns the exit status for an error.
func coordinationStatus(err error) int {
	var refused *client.RefusedError
	var mismatch *client.RevisionMismatchError
	switch {
	case errors.Is(err, client.ErrUnclear) && !errors.Is(err, client.ErrLost):
		return exitUnclear
	case errors.As(err, &mismatch), errors.Is(err, client.ErrHeld), errors.Is(err, client.ErrLost),
		errors.Is(err, client.ErrNotFound), errors.Is(err, client.ErrCompacted):
		return exitNo
	case errors.As(err, &refused) && !refused.IsInvalid():
		return exitNotExecuted
	}
	return exitFaulty
}

// run makes a command's call within the time-out.
func (f *coordinationFlags) run(call coordinationCall) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if f.timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, f.timeout)
		defer cancel()
	}
	c, err := f.open()
	if err != nil {
		return err
	}
	defer c.Close()
	return call(ctx, c, os.Stdout)
}

func (f *coordinationFlags) open() (*client.Client, error) {
	if len(f.addresses) == 0 {
		return nil, errors.New("--address is missing: a router's control address")
	}
	return client.New(f.addresses, client.Options{})
}

// printLine prints a value as a line of JSON.
func printLine(out io.Writer, value any) error { return json.NewEncoder(out).Encode(value) }

func counterCommand(flags *coordinationFlags) *cobra.Command {
	command := &cobra.Command{Use: "counter", Short: "Take numbers"}
	command.AddCommand(&cobra.Command{
		Use: "next NAME", Short: "Print a number above all that were given under the name", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			return flags.run(func(ctx context.Context, c *client.Client, out io.Writer) error {
				number, err := c.Counter(args[0]).Next(ctx)
				if err != nil {
					return err
				}
				return printLine(out, map[string]any{"name": args[0], "value": number})
			})
		},
	})
	return command
}
