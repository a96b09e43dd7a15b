package ci

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// module is one with a test that fails, among such whose names hold its name or equal it in another package.
var module = map[string]string{
	"go.mod": "module red.example/red\n\ngo 1.26.0\n",
	"a/a_test.go": `package a

import "testing"

func TestRed(t *testing.T)     { t.Error("red") }
func TestRedToo(t *testing.T)  { t.Log("a.TestRedToo ran") }
func TestAlsoRed(t *testing.T) { t.Log("a.TestAlsoRed ran") }
`,
	"b/b_test.go": `package b

import "testing"

func TestRed(t *testing.T) { t.Log("b.TestRed ran") }
`,
}

func TestKnownRed(t *testing.T) {
	if _, err := exec.LookPath("gcc"); err != nil {
		t.Skip("the race detector needs a C compiler, as ci/test.sh does")
	}
	script, err := os.ReadFile("known-red.sh")
	if err != nil {
		t.Fatal(err)
	}
	const red = "red.example/red/a TestRed | it is made to fail | issue 7\n"
	for _, c := range []struct {
		name, known string
		absent      bool
		passes      bool
		says        []string
		never       string
	}{
		{name: "absent", absent: true, says: []string{"--- FAIL: TestRed"}, never: "known red"},
		{name: "empty", known: "\n# nothing is known\n", says: []string{"--- FAIL: TestRed"}, never: "known red"},
		{name: "still fails", known: "# one\n\n" + red, passes: true, says: []string{
			"known red: red.example/red/a TestRed: still fails (it is made to fail, issue 7)",
			"a.TestRedToo ran", "a.TestAlsoRed ran", "b.TestRed ran"}},
		{name: "by folder", known: "./a\tTestRed | it is made to fail | issue 7", passes: true, says: []string{"a TestRed: still fails"}},
		{name: "passes now", known: red + "./b TestRed | was red | issue 8\n", passes: true, says: []string{
			"a TestRed: still fails", "b TestRed: passes now (was red, issue 8)"}},
		{name: "another one fails", known: "./a TestAlsoRed | it is another | issue 9\n",
			says: []string{"--- FAIL: TestRed", "a TestAlsoRed: passes now"}},
		{name: "no such test", known: "./a TestRe | only begins so | issue 1\n", says: []string{"KNOWN-RED.txt:1: red.example/red/a has no test TestRe"}},
		{name: "no such package", known: "./c TestRed | it is not there | issue 1\n", says: []string{"KNOWN-RED.txt:1: no package ./c"}},
		{name: "many packages", known: "./... TestRed | all | issue 1\n", says: []string{"KNOWN-RED.txt:1: ./... is not one package"}},
		{name: "twice", known: red + red, says: []string{"KNOWN-RED.txt:2: TestRed is named twice"}},
		{name: "no issue", known: "./a TestRed | why\n", says: []string{"KNOWN-RED.txt:1: not of the form"}},
		{name: "no cause", known: "./a TestRed |  | issue 1\n", says: []string{"KNOWN-RED.txt:1: not of the form"}},
		{name: "a pattern", known: "./a Test.* | all of them | issue 1\n", says: []string{"KNOWN-RED.txt:1: not of the form"}},
		{name: "too many", known: red + "./a TestRedToo | b | issue 1\n./a TestAlsoRed | c | issue 2\n./b TestRed | d | issue 3\n",
			says: []string{"KNOWN-RED.txt:4: over 3 known red tests"}},
		{name: "the uncapped issue does not count", known: "./a TestRedToo | b | issue 83\n" + red + "./a TestAlsoRed | c | issue 2\n./b TestRed | d | issue 3\n",
			passes: true, says: []string{"a TestRedToo: passes now (b, issue 83)", "a TestRed: still fails"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			root := t.TempDir()
			write := func(name, text string) {
				path := filepath.Join(root, name)
				if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
					t.Fatal(err)
				}
				if err := os.WriteFile(path, []byte(text), 0o755); err != nil {
					t.Fatal(err)
				}
			}
			for name, text := range module {
				write(name, text)
			}
			write("ci/known-red.sh", string(script))
			if !c.absent {
				write("KNOWN-RED.txt", c.known)
			}
			cmd := exec.Command("bash", filepath.Join(root, "ci/known-red.sh"))
			cmd.Env = append(os.Environ(), "GOFLAGS=-v", "GOWORK=off")
			out, err := cmd.CombinedOutput()
			if (err == nil) != c.passes {
				t.Errorf("ended with %v, want a pass: %v\n%s", err, c.passes, out)
			}
			for _, want := range c.says {
				if !strings.Contains(string(out), want) {
					t.Errorf("does not say %q:\n%s", want, out)
				}
			}
			if c.never != "" && strings.Contains(string(out), c.never) {
				t.Errorf("says %q:\n%s", c.never, out)
			}
		})
	}
}
