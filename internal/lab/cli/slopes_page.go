package cli

import (
	"fmt"
	"os"
	"path/filepath"

	"pinelb.example/pinelb/internal/lab/scalefit"
)

// slopesPageCmd writes the tables of a page from results.
type slopesPageCmd struct {
	Plan string `help:"What the tables are made of." default:"docs/capacity/slopes.toml" placeholder:"FILE"`
	Page string `help:"The page, whose tables are written anew." default:"docs/CAPACITY.md" placeholder:"FILE"`
	Dry  bool   `help:"Print the tables, and leave the page."`
}

// Run fits the results and writes the tables. An invalid plan, page or result ends it with exitUsage.
func (c *slopesPageCmd) Run(t *terminal) error {
	plan, files, err := readPlan(c.Plan)
	if err != nil {
		return exitError{exitUsage, err}
	}
	if c.Dry {
		for i := range plan.Tables {
			text, err := plan.Tables[i].Markdown(files)
			if err != nil {
				return exitError{exitUsage, err}
			}
			fmt.Fprintf(t.out, "%s\n\n%s\n", plan.Tables[i].Name, text)
		}
		return nil
	}
	page, err := os.ReadFile(c.Page)
	if err != nil {
		return exitError{exitUsage, fmt.Errorf("--page: %w", err)}
	}
	text, err := plan.Fill(string(page), files)
	if err != nil {
		return exitError{exitUsage, err}
	}
	return os.WriteFile(c.Page, []byte(text), 0o644)
}

// readPlan reads a plan and the files of results in its directory, by name.
func readPlan(path string) (*scalefit.Plan, map[string][]scalefit.Measurement, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, fmt.Errorf("--plan: %w", err)
	}
	plan, err := scalefit.ParsePlan(path, text)
	if err != nil {
		return nil, nil, err
	}
	files := map[string][]scalefit.Measurement{}
	for _, name := range plan.Files() {
		text, err := os.ReadFile(filepath.Join(filepath.Dir(path), name))
		if err != nil {
			return nil, nil, fmt.Errorf("slopes: %w", err)
		}
		if files[name], err = scalefit.ParseMeasurements(name, text); err != nil {
			return nil, nil, err
		}
	}
	return plan, files, nil
}
