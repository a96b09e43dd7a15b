package main

import (
	"fmt"
	"os"
	"runtime/debug"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/config"
)

// check reads an operator's file as serve would, and the platform's too if there is one, and returns the exit
// status.
func check(operator, platform string) int {
	op, err := config.LoadOperator(operator)
	if err == nil && platform != "" {
		err = checkPlatform(platform, op)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusFaulty
	}
	fmt.Println("no fault found")
	return 0
}

// checkPlatform reads the file as if LB_CONFIG named it, with the environment's other variables, and checks that
// the operator's fits it.
func checkPlatform(path string, op *config.Operator) error {
	cfg, err := config.Load(func(key string) string {
		if key == "LB_CONFIG" {
			return path
		}
		return os.Getenv(key)
	})
	if err == nil {
		err = cfg.Validate()
	}
	if err == nil {
		_, err = balance.New(cfg.Settings.Settings, cfg.Seed)
	}
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return op.CheckAgainst(cfg)
}

// built is the module's version, Go's, and the revision that was built, as far as the build noted it.
func built() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "pinelb, built without notes"
	}
	text := fmt.Sprintf("pinelb %s, %s", info.Main.Version, info.GoVersion)
	noted := map[string]string{}
	for _, s := range info.Settings {
		noted[s.Key] = s.Value
	}
	if noted["vcs.revision"] == "" {
		return text + ", revision not noted"
	}
	text += ", revision " + noted["vcs.revision"]
	if noted["vcs.modified"] == "true" {
		text += ", modified"
	}
	return text
}
