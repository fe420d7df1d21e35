package layers

import (
	"go/ast"
	"slices"
	"testing"
)

// checkClock reports uses of the clock and goroutines started in a file of a pure
// layer.
func checkClock(t *testing.T, path string, file *ast.File) {
	ast.Inspect(file, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.GoStmt:
			t.Errorf("%s starts a goroutine", path)
		case *ast.SelectorExpr:
			pkg, ok := n.X.(*ast.Ident)
			if ok && pkg.Name == "time" && slices.Contains(clockFuncs, n.Sel.Name) {
				t.Errorf("%s calls time.%s", path, n.Sel.Name)
			}
		}
		return true
	})
}
