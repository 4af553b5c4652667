package balancer

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// packageSources parses the package's non-test files.
func packageSources(t *testing.T) []*ast.File {
	t.Helper()
	names, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	var files []*ast.File
	for _, name := range names {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		files = append(files, file)
	}
	return files
}

func readPage(t *testing.T, path string) string {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// TestLogLinesAreOnOnCallPage checks that the on-call page contains the format of each log line of the package.
func TestLogLinesAreOnOnCallPage(t *testing.T) {
	page := readPage(t, "../docs/ONCALL.md")
	found := 0
	for _, file := range packageSources(t) {
		ast.Inspect(file, func(n ast.Node) bool {
			call, ok := n.(*ast.CallExpr)
			if !ok || len(call.Args) == 0 {
				return true
			}
			method, ok := call.Fun.(*ast.SelectorExpr)
			if !ok || method.Sel.Name != "logf" {
				return true
			}
			found++
			line, ok := call.Args[0].(*ast.BasicLit)
			if !ok {
				t.Errorf("package %s: the format of a log line is not a string literal", file.Name)
				return true
			}
			if text, err := strconv.Unquote(line.Value); err != nil || !strings.Contains(page, text) {
				t.Errorf("log line %s is not on the on-call page", line.Value)
			}
			return true
		})
	}
	if found == 0 {
		t.Fatal("no log line found")
	}
}

// TestConstantsAreNamedOnCapacityPage checks that the capacity page names each unexported constant of the package that
// is not a value of an enumeration.
func TestConstantsAreNamedOnCapacityPage(t *testing.T) {
	page := readPage(t, "../docs/CAPACITY.md")
	found := 0
	for _, file := range packageSources(t) {
		for _, decl := range file.Decls {
			group, ok := decl.(*ast.GenDecl)
			if !ok || group.Tok != token.CONST {
				continue
			}
			if isEnumeration(group) {
				continue // its values are documented at their declaration
			}
			for _, spec := range group.Specs {
				for _, name := range spec.(*ast.ValueSpec).Names {
					if name.IsExported() {
						continue
					}
					found++
					if !strings.Contains(page, "`"+name.Name+"`") {
						t.Errorf("constant %s is not on the capacity page", name.Name)
					}
				}
			}
		}
	}
	if found == 0 {
		t.Fatal("no constant found")
	}
}

// isEnumeration reports whether a group of constants enumerates the values of a
// type that the same file declares.
func isEnumeration(group *ast.GenDecl) bool {
	spec := group.Specs[0].(*ast.ValueSpec)
	typeName, ok := spec.Type.(*ast.Ident)
	return ok && typeName.Obj != nil && typeName.Obj.Kind == ast.Typ
}
