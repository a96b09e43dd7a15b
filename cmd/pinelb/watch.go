package main

import (
	"context"
	"errors"
	"io"

	"github.com/spf13/cobra"

	"pinelb.example/pinelb/client"
)

func watchCommand(flags *coordinationFlags) *cobra.Command {
	var since uint64
	var count int
	command := &cobra.Command{
		Use: "watch GROUP", Args: cobra.ExactArgs(1),
		Short: "Print the puts of a group (what its keys have up to the first dot, dot included), until interrupted; " +
			"the exit status is 1 where puts are passed over",
	}
	command.Flags().Uint64Var(&since, "since", 0, "the revision after which puts are printed; 0: the present one")
	command.Flags().IntVar(&count, "count", 0, "end after so many puts; 0: never")
	command.RunE = func(*cobra.Command, []string) error {
		if !command.Flags().Changed("timeout") {
			flags.timeout = 0
		}
		group := command.Flags().Arg(0)
		return flags.run(func(ctx context.Context, c *client.Client, out io.Writer) error {
			return printEvents(ctx, c.Watch(group, since), count, out)
		})
	}
	return command
}

// printEvents prints puts until there were enough, or the context ends, which is no error.
func printEvents(ctx context.Context, watcher *client.Watcher, count int, out io.Writer) error {
	printed := 0
	for event, err := range watcher.Events(ctx) {
		var refused *client.RefusedError
		switch {
		case err != nil && ctx.Err() != nil && !(errors.As(err, &refused) && refused.Status != 0):
			return nil
		case err != nil:
			return err
		}
		if err := printLine(out, event); err != nil {
			return err
		}
		if printed++; printed == count {
			return nil
		}
	}
	return nil
}
