package main

import (
	"context"
	"errors"
	"io"

	"github.com/spf13/cobra"

	"pinelb.example/pinelb/client"
)

func cellCommand(flags *coordinationFlags) *cobra.Command {
	command := &cobra.Command{Use: "cell", Short: "Read and set small keys"}
	command.AddCommand(
		&cobra.Command{
			Use: "get KEY", Short: "Print a key's value and revision; the exit status is 1 where there is no such key", Args: cobra.ExactArgs(1),
			RunE: func(_ *cobra.Command, args []string) error {
				return flags.run(func(ctx context.Context, c *client.Client, out io.Writer) error {
					cell, err := c.Cells().Get(ctx, args[0])
					if err != nil {
						return err
					}
					return printLine(out, map[string]any{"name": args[0], "value": cell.Value, "revision": cell.Revision})
				})
			},
		},
		cellPutCommand(flags),
	)
	return command
}

func cellPutCommand(flags *coordinationFlags) *cobra.Command {
	var expected uint64
	command := &cobra.Command{
		Use: "put KEY VALUE", Args: cobra.ExactArgs(2),
		Short: "Set a key's value and print its revision. Use a value once for a key: one that was put lately is taken for a repetition",
	}
	command.Flags().Uint64Var(&expected, "if-revision", 0,
		"only where the key has this revision, 0: where there is no such key; the exit status is 1, and presentRevision is printed, where not")
	command.RunE = func(_ *cobra.Command, args []string) error {
		key, value := args[0], args[1]
		return flags.run(func(ctx context.Context, c *client.Client, out io.Writer) error {
			var revision uint64
			var err error
			if command.Flags().Changed("if-revision") {
				revision, err = c.Cells().PutIf(ctx, key, value, expected)
			} else {
				revision, err = c.Cells().Put(ctx, key, value)
			}
			var mismatch *client.RevisionMismatchError
			switch {
			case errors.As(err, &mismatch):
				return errors.Join(err, printLine(out, map[string]any{"name": key, "presentRevision": mismatch.Revision}))
			case err != nil:
				return err
			}
			return printLine(out, map[string]any{"name": key, "revision": revision})
		})
	}
	return command
}
