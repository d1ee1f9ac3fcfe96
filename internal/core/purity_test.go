package core

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

var forbiddenImports = []string{
	"net", "os", "sync", "log", "syscall", "io/ioutil", "context",
	"google.golang.org/grpc", "github.com/rs/zerolog", "github.com/prometheus/client_golang",
}

var forbiddenCalls = map[string][]string{
	"time": {"Now", "Since", "Until", "Sleep", "After", "AfterFunc", "Tick", "NewTimer", "NewTicker"},
}

// Guards against a decision that depends on sockets, locks or the wall clock, which
// could not be replayed from a recorded sequence of messages.
func TestCorePackagesArePure(t *testing.T) {
	c := qt.New(t)
	files := 0
	err := filepath.WalkDir(".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		files++
		for _, problem := range impurities(t, path) {
			c.Errorf("%s", problem)
		}
		return nil
	})
	c.Assert(err, qt.IsNil)
	c.Assert(files > 3, qt.IsTrue)
}

func impurities(t *testing.T, path string) []string {
	t.Helper()
	fset := token.NewFileSet()
	file, err := parser.ParseFile(fset, path, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	var problems []string
	for _, spec := range file.Imports {
		imported, _ := strconv.Unquote(spec.Path.Value)
		for _, forbidden := range forbiddenImports {
			if imported == forbidden || strings.HasPrefix(imported, forbidden+"/") {
				problems = append(problems, path+" imports "+imported)
			}
		}
		if strings.HasPrefix(imported, "math/rand") {
			forbiddenCalls[filepath.Base(strings.TrimSuffix(imported, "/v2"))] = []string{"Int", "IntN", "Intn", "Float64", "Uint64", "Uint32", "Perm", "Shuffle", "N"}
		}
	}
	ast.Inspect(file, func(node ast.Node) bool {
		selector, ok := node.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		name, ok := selector.X.(*ast.Ident)
		if !ok || name.Obj != nil {
			return true
		}
		for _, call := range forbiddenCalls[name.Name] {
			if selector.Sel.Name == call {
				problems = append(problems, fset.Position(selector.Pos()).String()+" uses "+name.Name+"."+call)
			}
		}
		return true
	})
	return problems
}
