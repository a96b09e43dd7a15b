package ci

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
)

const maxRolesOfMachine = 2

// helperPrograms start another program, which the platform doesn't allow as the beginning of a command.
var helperPrograms = []string{"sh", "bash", "env", "npx", "exec", "nohup", "sudo"}

// systemRole is a role of deploy/system.toml.
type systemRole struct {
	Run    string   `toml:"run"`
	On     string   `toml:"on"`
	Count  *int     `toml:"count"`
	Share  *float64 `toml:"share"`
	Apart  bool     `toml:"apart"`
	Serves []string `toml:"serves"`
}

// systemDeploy is deploy/system.toml.
type systemDeploy struct {
	Build    string                `toml:"build"`
	Packages []string              `toml:"packages"`
	Metrics  string                `toml:"metrics"`
	Roles    map[string]systemRole `toml:"roles"`
}

// faults returns what the platform refuses of a role.
func (r *systemRole) faults() (faults []string) {
	words := strings.Fields(r.Run)
	switch {
	case len(words) == 0:
		return []string{"has no command"}
	case slices.Contains(helperPrograms, filepath.Base(words[0])):
		faults = append(faults, "begins with a helper")
	case !strings.HasPrefix(words[0], "target/"):
		faults = append(faults, "runs a program outside target/")
	}
	if strings.ContainsAny(r.Run, "$`|&;<>*?'\"\\") {
		faults = append(faults, "needs a shell")
	}
	if r.On != "front" {
		faults = append(faults, "is on a class of machines that doesn't exist")
	}
	if (r.Count == nil) == (r.Share == nil) {
		faults = append(faults, "needs either count or share")
	}
	if r.Share != nil && (*r.Share <= 0 || *r.Share > 1) {
		faults = append(faults, "has a share outside 0 to 1")
	}
	for _, served := range r.Serves {
		if served != "front" && served != "control" {
			faults = append(faults, "serves "+served)
		}
	}
	return faults
}

// deployFaults returns what the platform refuses of a deploy file.
func deployFaults(text []byte) (faults []string) {
	var deploy systemDeploy
	decoder := toml.NewDecoder(strings.NewReader(string(text))).DisallowUnknownFields()
	if err := decoder.Decode(&deploy); err != nil {
		return []string{err.Error()}
	}
	if deploy.Build == "" || strings.Contains(deploy.Build, "go test") {
		faults = append(faults, "build: empty, or needs tests")
	}
	servers := map[string]string{} // by class and what is served
	roles := map[string]int{}
	for name, role := range deploy.Roles {
		for _, fault := range role.faults() {
			faults = append(faults, name+" "+fault)
		}
		roles[role.On]++
		for _, served := range role.Serves {
			if other := servers[role.On+" "+served]; other != "" {
				faults = append(faults, fmt.Sprintf("%s and %s both serve %s", other, name, served))
			}
			servers[role.On+" "+served] = name
		}
	}
	if roles["front"] == 0 || roles["front"] > maxRolesOfMachine {
		faults = append(faults, fmt.Sprintf("%d roles on a class", roles["front"]))
	}
	if servers["front front"] == "" || servers["front control"] == "" {
		faults = append(faults, "nothing serves clients, or nothing serves endpoints and the operator")
	}
	return faults
}

func TestDeployFileIsAcceptedByThePlatform(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("..", "deploy", "system.toml"))
	if err != nil {
		t.Fatal(err)
	}
	for _, fault := range deployFaults(text) {
		t.Error(fault)
	}
}

// Guards against a check that has stopped finding anything.
func TestFaultyDeployFilesAreFound(t *testing.T) {
	const good = "build = \"go build -o target/ ./cmd/pinelb\"\n[roles.a]\nrun = \"target/pinelb router\"\non = \"front\"\nshare = 1.0\nserves = [\"front\", \"control\"]\n"
	if faults := deployFaults([]byte(good)); len(faults) != 0 {
		t.Fatal(errors.New(strings.Join(faults, "; ")))
	}
	for name, change := range map[string][2]string{
		"helper":       {"target/pinelb router", "env A=1 target/pinelb router"},
		"shell":        {"pinelb router", "pinelb router > log"},
		"outside":      {"target/pinelb router", "bin/pinelb router"},
		"class":        {"\"front\"\nshare", "\"back\"\nshare"},
		"share":        {"share = 1.0", "share = 1.5"},
		"both":         {"share = 1.0", "share = 1.0\ncount = 1"},
		"neither":      {"share = 1.0\n", ""},
		"served":       {"\"control\"", "\"admin\""},
		"key":          {"build =", "builds = 1\nbuild ="},
		"tests":        {"go build", "go test ./... && go build"},
		"served twice": {"serves", "apart = true\nserves = [\"front\"]\n[roles.b]\nrun = \"target/b\"\non = \"front\"\ncount = 1\nserves"},
	} {
		changed := strings.Replace(good, change[0], change[1], 1)
		if changed == good {
			t.Errorf("%s: nothing is changed", name)
		}
		if len(deployFaults([]byte(changed))) == 0 {
			t.Errorf("%s: no fault is found in\n%s", name, changed)
		}
	}
}
