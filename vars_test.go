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

// registerFuncs are the functions of package expvar that register a name in the
// global registry of the program.
var registerFuncs = []string{"NewInt", "NewFloat", "NewString", "NewMap", "Publish"}

// TestNoGlobalMetrics checks that no metric is global: all routers or
// sidecars in one program would share it.
func TestNoGlobalMetrics(t *testing.T) {
	for _, layer := range layerOrder {
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
			if ok && pkg.Name == "expvar" && slices.Contains(registerFuncs, sel.Sel.Name) {
				t.Errorf("%s calls expvar.%s", path, sel.Sel.Name)
			}
		}
		return true
	})
}
