package ci

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path"
	"regexp"
	"slices"
	"strings"
	"testing"
	"testing/fstest"
	"unicode"
)

const docsDir = "docs"

// rootPages are the pages beside docs whose links are checked. They name files and tests of other projects too, so their names are not.
var rootPages = []string{"README.md", "DEVELOPERS.md"}

var (
	testFunction   = regexp.MustCompile(`\b(?:Test|Fuzz|Benchmark)[A-Z0-9_]\w*`)
	goFile         = regexp.MustCompile(`[\w./-]*\w\.go\b`)
	inlineLink     = regexp.MustCompile(`\[[^\]]*\]\(<?([^)\s>]+)>?(?:\s[^)]*)?\)`)
	referenceLink  = regexp.MustCompile(`^\s{0,3}\[[^\]]+\]:\s+<?([^\s>]+)`)
	otherSite      = regexp.MustCompile(`^(?:[a-z][a-z0-9+.-]*:|//)`)
	codeSpan       = regexp.MustCompile("`+[^`]*`+")
	heading        = regexp.MustCompile(`^#{1,6}\s+(.*?)\s*#*$`)
	linkInHeading  = regexp.MustCompile(`\[([^\]]*)\]\([^)]*\)`)
	explicitAnchor = regexp.MustCompile(`<a\s+(?:id|name)="([^"]+)"`)
)

// sourceTree is what the pages may name.
type sourceTree struct {
	files     fs.FS           // the repository
	functions map[string]bool // tests, fuzz tests and benchmarks in _test.go files, by name
	goFiles   []string        // Go files, from the root
}

// readSourceTree parses the Go files of a repository. It leaves out testdata and directories that begin with a dot, as the go command does.
func readSourceTree(files fs.FS) (*sourceTree, error) {
	tree := &sourceTree{files: files, functions: map[string]bool{}}
	err := fs.WalkDir(files, ".", func(name string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() {
			if base := d.Name(); name != "." && (base == "testdata" || strings.HasPrefix(base, ".")) {
				return fs.SkipDir
			}
			return nil
		}
		if !strings.HasSuffix(name, ".go") {
			return nil
		}
		tree.goFiles = append(tree.goFiles, name)
		if !strings.HasSuffix(name, "_test.go") {
			return nil
		}
		return tree.addFunctions(name)
	})
	return tree, err
}

// addFunctions adds the tests of a file.
func (tree *sourceTree) addFunctions(name string) error {
	text, err := fs.ReadFile(tree.files, name)
	if err != nil {
		return err
	}
	file, err := parser.ParseFile(token.NewFileSet(), name, text, parser.SkipObjectResolution)
	if err != nil {
		return err
	}
	for _, declaration := range file.Decls {
		function, ok := declaration.(*ast.FuncDecl)
		if ok && function.Recv == nil && testFunction.FindString(function.Name.Name) == function.Name.Name {
			tree.functions[function.Name.Name] = true
		}
	}
	return nil
}

// hasGoFile reports whether a page may name a Go file so: from the page with "./" or "../", from the root, or by the end of its
// path, which may be the bare file name. A path that begins with a directory of the root has to be whole.
func (tree *sourceTree) hasGoFile(page, name string) bool {
	if strings.HasPrefix(name, ".") {
		return slices.Contains(tree.goFiles, path.Join(path.Dir(page), name))
	}
	if slices.Contains(tree.goFiles, name) {
		return true
	}
	if first, _, isPath := strings.Cut(name, "/"); isPath {
		if _, err := fs.Stat(tree.files, first); err == nil {
			return false
		}
	}
	return slices.ContainsFunc(tree.goFiles, func(file string) bool { return strings.HasSuffix(file, "/"+name) })
}

// wrongNames lists the tests and Go files that a page names and that are not in the tree, with their lines.
func (tree *sourceTree) wrongNames(page, text string) (found []string) {
	for i, line := range strings.Split(text, "\n") {
		for _, name := range testFunction.FindAllString(line, -1) {
			if !tree.functions[name] {
				found = append(found, fmt.Sprintf("%s:%d: there is no %s", page, i+1, name))
			}
		}
		for _, name := range goFile.FindAllString(line, -1) {
			if !tree.hasGoFile(page, name) {
				found = append(found, fmt.Sprintf("%s:%d: there is no file %s", page, i+1, name))
			}
		}
	}
	return found
}

// withoutFences is the lines of a page, those of fenced code blocks empty.
func withoutFences(text string) []string {
	lines := strings.Split(text, "\n")
	fence := ""
	for i, line := range lines {
		trimmed := strings.TrimSpace(line)
		switch {
		case fence != "":
			if strings.HasPrefix(trimmed, fence) {
				fence = ""
			}
			lines[i] = ""
		case strings.HasPrefix(trimmed, "```") || strings.HasPrefix(trimmed, "~~~"):
			fence = trimmed[:3]
			lines[i] = ""
		}
	}
	return lines
}

// anchorsOf is the anchors of a page: of its headings as GitHub makes them, and explicit ones.
func anchorsOf(text string) map[string]bool {
	anchors := map[string]bool{}
	for _, line := range withoutFences(text) {
		for _, explicit := range explicitAnchor.FindAllStringSubmatch(line, -1) {
			anchors[explicit[1]] = true
		}
		match := heading.FindStringSubmatch(line)
		if match == nil {
			continue
		}
		anchor := anchorOf(match[1])
		unique := anchor
		for n := 1; anchors[unique]; n++ {
			unique = fmt.Sprintf("%s-%d", anchor, n)
		}
		anchors[unique] = true
	}
	return anchors
}

// anchorOf is the anchor of a heading: lower case, without punctuation, a hyphen for each space.
func anchorOf(title string) string {
	title = linkInHeading.ReplaceAllString(title, "$1")
	return strings.Map(func(r rune) rune {
		switch {
		case r == ' ':
			return '-'
		case r == '-' || r == '_' || unicode.IsLetter(r) || unicode.IsNumber(r):
			return unicode.ToLower(r)
		}
		return -1
	}, title)
}

// brokenLinks lists the relative links of a page that lead to no file of the tree, or to no heading of it.
func (tree *sourceTree) brokenLinks(page, text string) (found []string) {
	for i, line := range withoutFences(text) {
		line = codeSpan.ReplaceAllString(line, "")
		links := slices.Concat(inlineLink.FindAllStringSubmatch(line, -1), referenceLink.FindAllStringSubmatch(line, -1))
		for _, link := range links {
			if otherSite.MatchString(link[1]) {
				continue
			}
			if problem := tree.followLink(page, link[1]); problem != "" {
				found = append(found, fmt.Sprintf("%s:%d: link %s: %s", page, i+1, link[1], problem))
			}
		}
	}
	return found
}

// followLink says what is wrong with a relative link; empty: nothing.
func (tree *sourceTree) followLink(page, link string) string {
	target, anchor, hasAnchor := strings.Cut(link, "#")
	file := page
	if target != "" {
		file = path.Join(path.Dir(page), target)
	}
	if _, err := fs.Stat(tree.files, file); err != nil {
		return "no such file"
	}
	if !hasAnchor {
		return ""
	}
	if !strings.HasSuffix(file, ".md") {
		return "an anchor, but no page"
	}
	text, err := fs.ReadFile(tree.files, file)
	if err != nil {
		return err.Error()
	}
	if !anchorsOf(string(text))[anchor] {
		return "no such heading"
	}
	return ""
}

// checkPages lists what is wrong in the pages of a repository, and how many pages there are.
func checkPages(files fs.FS) (found []string, pages int, err error) {
	tree, err := readSourceTree(files)
	if err != nil {
		return nil, 0, err
	}
	for _, page := range rootPages {
		text, err := fs.ReadFile(files, page)
		if err != nil {
			return nil, 0, err
		}
		pages++
		found = append(found, tree.brokenLinks(page, string(text))...)
	}
	err = fs.WalkDir(files, docsDir, func(page string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(page, ".md") {
			return err
		}
		text, err := fs.ReadFile(files, page)
		if err != nil {
			return err
		}
		pages++
		found = append(found, tree.wrongNames(page, string(text))...)
		found = append(found, tree.brokenLinks(page, string(text))...)
		return nil
	})
	return found, pages, err
}

// Guards against pages that name tests and files that have other names now, and against links that lead nowhere.
func TestDocsNameWhatExists(t *testing.T) {
	found, pages, err := checkPages(os.DirFS(".."))
	if err != nil {
		t.Fatal(err)
	}
	if pages <= len(rootPages) {
		t.Error("no page found under", docsDir)
	}
	for _, problem := range found {
		t.Error(problem)
	}
}

// Shows that the check finds each kind of wrong name and link, and nothing else.
func TestDocsCheckFindsWrongNames(t *testing.T) {
	page := strings.Join([]string{
		"# The `main` page, [linked](other.md)",
		"TestReal, `FuzzReal` and `go test -run 'TestReal$' -bench BenchmarkReal` exist; TestRea and TestRealOne do not.",
		"`TestHelper` is a method, TestQuoted is a text, TestData is testdata's, TestProduct is in no test file.",
		"real.go, `pkg/real.go:12`, internal/pkg/real.go and ../internal/pkg/real_test.go exist; gone.go, other/real.go do not,",
		"nor does `internal/real.go`, ../internal/real.go, eal.go or data.go of testdata.",
		"[file](other.md), [heading](other.md#a-heading-of-2-words), [second](other.md#twice-1), [own](#the-main-page-linked),",
		"[directory](../internal), [code](../internal/pkg/real.go), [site](https://pinelb.example/none.md), `[code](none.md)`,",
		"[no file](none.md), [no heading](other.md#none), [no third](other.md#twice-2), [not own](#none), [out](../../README.md).",
		"[code has no headings](../internal/pkg/real.go#L1)",
		"```",
		"[in a fence](none.md) TestFenced",
		"```",
		"[reference]: other.md",
		"[wrong]: none.md 'title'",
	}, "\n")
	files := fstest.MapFS{}
	for name, text := range map[string]string{
		"README.md":             "[page](docs/page.md) [gone](docs/gone.md) TestElsewhere elsewhere.go",
		"DEVELOPERS.md":         "",
		"docs/page.md":          page,
		"docs/other.md":         "# A heading, of 2 words!\n## Twice\n## Twice\n```\n# None\n```\n",
		"internal/pkg/real.go":  "package pkg\n\nfunc TestProduct() {}\n",
		"internal/pkg/data.txt": "",
		"internal/pkg/real_test.go": "package pkg\n\nfunc TestReal() {}\nfunc FuzzReal() {}\nfunc BenchmarkReal() {}\n" +
			"func (h helper) TestHelper() {}\n\nconst text = `\nfunc TestQuoted() {}\n`\n",
		"internal/pkg/testdata/data.go":      "package data\n",
		"internal/pkg/testdata/data_test.go": "package data\n\nfunc TestData() {}\n",
	} {
		files[name] = &fstest.MapFile{Data: []byte(text)}
	}
	want := []string{
		"README.md:1: link docs/gone.md: no such file",
		"docs/page.md:2: there is no TestRea",
		"docs/page.md:2: there is no TestRealOne",
		"docs/page.md:3: there is no TestHelper",
		"docs/page.md:3: there is no TestQuoted",
		"docs/page.md:3: there is no TestData",
		"docs/page.md:3: there is no TestProduct",
		"docs/page.md:4: there is no file gone.go",
		"docs/page.md:4: there is no file other/real.go",
		"docs/page.md:5: there is no file internal/real.go",
		"docs/page.md:5: there is no file ../internal/real.go",
		"docs/page.md:5: there is no file eal.go",
		"docs/page.md:5: there is no file data.go",
		"docs/page.md:11: there is no TestFenced",
		"docs/page.md:8: link none.md: no such file",
		"docs/page.md:8: link other.md#none: no such heading",
		"docs/page.md:8: link other.md#twice-2: no such heading",
		"docs/page.md:8: link #none: no such heading",
		"docs/page.md:8: link ../../README.md: no such file",
		"docs/page.md:9: link ../internal/pkg/real.go#L1: an anchor, but no page",
		"docs/page.md:14: link none.md: no such file",
	}
	found, pages, err := checkPages(files)
	if err != nil {
		t.Fatal(err)
	}
	if pages != 4 {
		t.Errorf("%d pages, want 4", pages)
	}
	if !slices.Equal(found, want) {
		t.Errorf("found:\n%s\nwant:\n%s", strings.Join(found, "\n"), strings.Join(want, "\n"))
	}
}
