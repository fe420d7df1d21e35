package layers

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"testing"

	"github.com/frankban/quicktest"
)

// publishers are the functions of package expvar that put a name into the
// registry of the whole program.
var publishers = []string{"NewInt", "NewFloat", "NewString", "NewMap", "Publish"}

// TestMetricsBelongToAProcess finds metrics that all routers or sidecars of
// one program would share.
func TestMetricsBelongToAProcess(t *testing.T) {
	for _, layer := range order {
		err := filepath.WalkDir(layer, func(path string, _ fs.DirEntry, err error) error {
			if err != nil || filepath.Ext(path) != ".go" {
				return err
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
			if err == nil {
				checkVars(t, path, file)
			}
			return err
		})
		quicktest.Assert(t, err, quicktest.IsNil)
	}
}

func checkVars(t *testing.T, path string, file *ast.File) {
	ast.Inspect(file, func(n ast.Node) bool {
		if sel, ok := n.(*ast.SelectorExpr); ok {
			pkg, ok := sel.X.(*ast.Ident)
			if ok && pkg.Name == "expvar" && slices.Contains(publishers, sel.Sel.Name) {
				t.Errorf("%s calls expvar.%s", path, sel.Sel.Name)
			}
		}
		return true
	})
}
