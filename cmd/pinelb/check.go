package main

import (
	"fmt"
	"os"
	"runtime/debug"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/config"
)

// runCheck checks an operator's file, and the platform's if there is one, as a start of the sidecar does, and returns the exit
// status.
func runCheck(operatorFile, platformFile string) int {
	operator, err := config.LoadOperator(operatorFile)
	if err == nil && platformFile != "" {
		err = checkPlatformFile(platformFile, operator)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFaulty
	}
	fmt.Println("no fault found")
	return 0
}

// checkPlatformFile checks the file as if LB_CONFIG named it, with the environment's other variables, and the operator's file
// with it.
func checkPlatformFile(path string, operator *config.Operator) error {
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
	return operator.CheckAgainst(cfg)
}

// built is the module's version, Go's, and the revision that was built, as far as the build noted it.
func versionText() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "pinelb, built without notes"
	}
	text := fmt.Sprintf("pinelb %s, %s", info.Main.Version, info.GoVersion)
	recorded := map[string]string{}
	for _, s := range info.Settings {
		recorded[s.Key] = s.Value
	}
	if recorded["vcs.revision"] == "" {
		return text + ", revision not noted"
	}
	text += ", revision " + recorded["vcs.revision"]
	if recorded["vcs.modified"] == "true" {
		text += ", modified"
	}
	return text
}
