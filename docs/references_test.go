// Package docs checks that the pages name code that exists.
package docs

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

const moduleRoot = ".."

var (
	// goFile matches the name of a Go file, with or without folders.
	goFile = regexp.MustCompile(`(?:[\w-]+/)*\w+\.go\b`)
	// modulePath matches the path of a folder or file of the module.
	modulePath = regexp.MustCompile("`((?:internal|cmd|balancer|deploy|experiments)/[\\w./-]+)`")
	// testName matches the name of a test, with or without its package.
	testName = regexp.MustCompile(`(?:\b([a-z]\w*)\.)?\b((?:Test|Benchmark|Fuzz|Example)[A-Z]\w*)`)
	// historyStart matches the comment before a part of a page that names code as it was at a revision.
	historyStart = regexp.MustCompile(`^<!-- names of revision [0-9a-f]{7,} -->$`)
	// pageLink matches a relative link to a file.
	pageLink = regexp.MustCompile(`\]\(([\w./-]+)(?:#[\w-]*)?\)`)
)

// historyEnd is the comment behind such a part.
const historyEnd = "<!-- present names -->"

// module is what the pages can name.
type module struct {
	// files has each file by its path and by every end of that path which begins at a folder.
	files map[string]bool
	// tests has the names of the packages that have a test of a name.
	tests map[string]map[string]bool
}

func readModule(t *testing.T) module {
	t.Helper()
	m := module{files: map[string]bool{}, tests: map[string]map[string]bool{}}
	err := filepath.WalkDir(moduleRoot, func(file string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() {
			if entry.Name() == ".git" {
				return filepath.SkipDir
			}
			return nil
		}
		name, err := filepath.Rel(moduleRoot, file)
		if err != nil {
			return err
		}
		m.addFile(filepath.ToSlash(name))
		if strings.HasSuffix(file, "_test.go") {
			return m.addTests(file)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return m
}

func (m module) addFile(name string) {
	for {
		m.files[name] = true
		_, rest, found := strings.Cut(name, "/")
		if !found {
			return
		}
		name = rest
	}
}

func (m module) addTests(file string) error {
	parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.SkipObjectResolution)
	if err != nil {
		return err
	}
	folder := filepath.Base(filepath.Dir(file))
	for _, declaration := range parsed.Decls {
		function, ok := declaration.(*ast.FuncDecl)
		if !ok || function.Recv != nil {
			continue
		}
		if m.tests[function.Name.Name] == nil {
			m.tests[function.Name.Name] = map[string]bool{}
		}
		m.tests[function.Name.Name][folder] = true
	}
	return nil
}

// missing returns what a line names and the module does not have.
func (m module) missing(line string) []string {
	var missing []string
	for _, name := range goFile.FindAllString(line, -1) {
		if !m.files[name] {
			missing = append(missing, "file "+name)
		}
	}
	for _, match := range modulePath.FindAllStringSubmatch(line, -1) {
		if _, err := os.Stat(filepath.Join(moduleRoot, match[1])); err != nil {
			missing = append(missing, "path "+match[1])
		}
	}
	for _, match := range testName.FindAllStringSubmatch(line, -1) {
		folder, name := match[1], match[2]
		if m.tests[name] == nil || folder != "" && !m.tests[name][folder] {
			missing = append(missing, "test "+match[0])
		}
	}
	return missing
}

// missingOnPage returns what the lines of a page name and the module does not have, but for the parts of the page that
// are history.
func (m module) missingOnPage(text string) []string {
	var missing []string
	inHistory := false
	for i, line := range strings.Split(text, "\n") {
		switch {
		case historyStart.MatchString(line):
			inHistory = true
		case line == historyEnd:
			inHistory = false
		case !inHistory:
			for _, what := range m.missing(line) {
				missing = append(missing, fmt.Sprintf("line %d: no %s", i+1, what))
			}
		}
	}
	if inHistory {
		missing = append(missing, "history without an end")
	}
	return missing
}

// TestPagesNameCodeThatExists guards against files and tests that were renamed while the pages kept the old names.
func TestPagesNameCodeThatExists(t *testing.T) {
	pages, err := filepath.Glob("*.md")
	if err != nil {
		t.Fatal(err)
	}
	m := readModule(t)
	for _, page := range append(pages, "../README.md") {
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, what := range m.missingOnPage(string(text)) {
			t.Errorf("%s, %s", page, what)
		}
		for _, link := range pageLink.FindAllStringSubmatch(string(text), -1) {
			if _, err := os.Stat(path.Join(path.Dir(page), link[1])); err != nil {
				t.Errorf("%s: no %s to link to", page, link[1])
			}
		}
	}
}

// TestMissingNamesAreFound guards the check itself: it must find names of each form that do not exist.
func TestMissingNamesAreFound(t *testing.T) {
	m := readModule(t)
	for line, wanted := range map[string]string{
		"`balancer/tick.go`, `internal/node`":           "",
		"`tick.go` and `transport/upload.go`":           "",
		"`docs.TestMissingNamesAreFound`":               "",
		"balancer/absent.go":                            "file balancer/absent.go",
		"`absent.go`":                                   "file absent.go",
		"`transport/tick.go`":                           "file transport/tick.go",
		"`internal/absent`":                             "path internal/absent",
		"`cmd/absent.toml`":                             "path cmd/absent.toml",
		"`TestAbsent`":                                  "test TestAbsent",
		"`balancer.TestMissingNamesAreFound`, one more": "test balancer.TestMissingNamesAreFound",
	} {
		if found := strings.Join(m.missing(line), ", "); found != wanted {
			t.Errorf("%s: found %q, not %q", line, found, wanted)
		}
	}
}

// TestHistoryIsMarked: what a part of a page names as history is not checked, and such a part has an end.
func TestHistoryIsMarked(t *testing.T) {
	m := readModule(t)
	const start = "<!-- names of revision 108a80b -->\n"
	for text, wanted := range map[string]string{
		start + "`absent.go`\n" + historyEnd:                  "",
		start + "`absent.go`":                                 "history without an end",
		start + "`absent.go`\n" + historyEnd + "\n`other.go`": "line 4: no file other.go",
		"<!-- names of some revision -->\n`absent.go`":        "line 2: no file absent.go",
	} {
		if found := strings.Join(m.missingOnPage(text), ", "); found != wanted {
			t.Errorf("%q: found %q, not %q", text, found, wanted)
		}
	}
}
