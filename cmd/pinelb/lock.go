package main

import (
	"context"
	"crypto/rand"
	"io"
	"time"

	"github.com/spf13/cobra"

	"pinelb.example/pinelb/client"
)

const defaultHold = 10 * time.Second

// lockFlags are the flags of the commands of a lock.
type lockFlags struct {
	*coordinationFlags
	holder string
	fence  uint64
	hold   time.Duration
}

func lockCommand(flags *coordinationFlags) *cobra.Command {
	command := &cobra.Command{Use: "lock", Short: "Acquire, renew and release locks, or run a command while one is held"}
	command.AddCommand(lockAcquireCommand(flags), lockRenewCommand(flags), lockReleaseCommand(flags), lockRunCommand(flags))
	return command
}

func lockAcquireCommand(common *coordinationFlags) *cobra.Command {
	flags := &lockFlags{coordinationFlags: common}
	command := &cobra.Command{
		Use: "acquire NAME", Args: cobra.ExactArgs(1),
		Short: "Acquire a lock for a time and print the fencing token; the exit status is 1 where another has it",
		RunE: func(_ *cobra.Command, args []string) error {
			return flags.run(func(ctx context.Context, c *client.Client, out io.Writer) error {
				return flags.acquire(ctx, c, args[0], out)
			})
		},
	}
	command.Flags().StringVar(&flags.holder, "holder", "", "the holder's name, which no other holder may have (default: drawn at random)")
	command.Flags().DurationVar(&flags.hold, "hold", defaultHold, "for how long, from 1ms to 1h")
	return command
}

func (f *lockFlags) acquire(ctx context.Context, c *client.Client, name string, out io.Writer) error {
	if f.holder == "" {
		f.holder = rand.Text()
	}
	grant, err := c.AcquireLock(ctx, name, f.holder, f.hold)
	if err != nil {
		return err
	}
	return printLine(out, map[string]any{
		"name": name, "holder": f.holder, "fence": grant.Fence, "leftMs": (f.hold - time.Since(grant.SentAt)).Milliseconds(),
	})
}

func lockRenewCommand(common *coordinationFlags) *cobra.Command {
	flags := &lockFlags{coordinationFlags: common}
	command := &cobra.Command{
		Use: "renew NAME", Args: cobra.ExactArgs(1),
		Short: "Have a holder's time begin anew; the exit status is 1 where the lock is lost",
		RunE: func(_ *cobra.Command, args []string) error {
			return flags.run(func(ctx context.Context, c *client.Client, out io.Writer) error {
				grant, err := c.RenewLock(ctx, args[0], flags.holder, flags.fence, flags.hold)
				if err != nil {
					return err
				}
				return printLine(out, map[string]any{
					"name": args[0], "holder": flags.holder, "fence": flags.fence, "leftMs": (flags.hold - time.Since(grant.SentAt)).Milliseconds(),
				})
			})
		},
	}
	flags.addIdentity(command)
	command.Flags().DurationVar(&flags.hold, "hold", defaultHold, "for how long, from 1ms to 1h")
	return command
}

func lockReleaseCommand(common *coordinationFlags) *cobra.Command {
	flags := &lockFlags{coordinationFlags: common}
	command := &cobra.Command{
		Use: "release NAME", Args: cobra.ExactArgs(1),
		Short: "Give a lock back; nothing changes where the holder does not have it with this fencing token",
		RunE: func(_ *cobra.Command, args []string) error {
			return flags.run(func(ctx context.Context, c *client.Client, out io.Writer) error {
				if err := c.ReleaseLock(ctx, args[0], flags.holder, flags.fence); err != nil {
					return err
				}
				return printLine(out, map[string]any{"name": args[0], "holder": flags.holder, "fence": flags.fence})
			})
		},
	}
	flags.addIdentity(command)
	return command
}

// addIdentity adds the flags that say whose hold is meant.
func (f *lockFlags) addIdentity(command *cobra.Command) {
	command.Flags().StringVar(&f.holder, "holder", "", "the holder's name, as acquire printed it")
	command.Flags().Uint64Var(&f.fence, "fence", 0, "the fencing token, as acquire printed it")
	_ = command.MarkFlagRequired("holder") // fails only for a flag that is not there
	_ = command.MarkFlagRequired("fence")
}
