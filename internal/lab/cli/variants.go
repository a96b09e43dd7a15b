package cli

import (
	"context"
	"fmt"

	"pinelb.example/pinelb/internal/lab/variants"
)

// variantsCmd makes site files of deployments that nobody has out of one of the bench's.
type variantsCmd struct {
	Site string `arg:"" placeholder:"FILE" help:"A site file of the bench, with wire.json beside it."`
	Into string `arg:"" placeholder:"FOLDER" help:"Where the variants go: outside the repository."`
}

// Run writes the variants and names them.
func (c *variantsCmd) Run(_ context.Context, t *terminal) error {
	paths, err := variants.Write(c.Site, c.Into)
	if err != nil {
		return exitError{exitUsage, err}
	}
	for _, path := range paths {
		fmt.Fprintln(t.out, path)
	}
	return nil
}
