// Package layers checks the import direction between the layers of the project.
package layers

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/frankban/quicktest"
)

const module = "goldcrestport/"

// layerOrder lists the layers from the top down. A layer may import itself and those
// after it.
var layerOrder = []string{"cmd", "platform", "transport", "protocol", "coordination", "state"}

// pureLayers lists the layers without I/O, clock or goroutines.
var pureLayers = []string{"coordination", "state"}

// impurePackages lists standard packages that the pure layers must not import, with
// everything below them.
var impurePackages = []string{"net", "os", "io", "log", "syscall", "sync", "context", "math/rand", "crypto/rand", "expvar", "runtime"}

// clockFuncs are the functions of package time that read or wait on a clock.
var clockFuncs = []string{"Now", "Since", "Until", "Sleep", "After", "AfterFunc", "Tick", "NewTicker", "NewTimer"}

// isBelow reports whether path is pkg or lies below it.
func isBelow(path, pkg string) bool { return path == pkg || strings.HasPrefix(path, pkg+"/") }

// importError returns why a file of the layer must not import the path, or "" if it
// may.
func importError(layer, path string) string {
	if isBelow(path, "net/http/httputil") {
		return "the proxy of the standard library must not be used"
	}
	if slices.Contains(pureLayers, layer) {
		for _, p := range impurePackages {
			if isBelow(path, p) && path != "math/rand/v2" {
				return "a pure layer must not use I/O, clocks or concurrency"
			}
		}
	}
	relative, found := strings.CutPrefix(path, module)
	if !found {
		return ""
	}
	target, _, _ := strings.Cut(relative, "/")
	from, to := slices.Index(layerOrder, layer), slices.Index(layerOrder, target)
	if to < 0 || from >= 0 && to < from {
		return "imports of a higher layer are not allowed"
	}
	return ""
}

func TestImportErrors(t *testing.T) {
	for _, tc := range []struct {
		layer, path string
		bad         bool
	}{
		{"transport", "goldcrestport/state/config", false},
		{"state", "goldcrestport/coordination/share", true},
		{"protocol", "goldcrestport/transport/link", true},
		{"transport", "goldcrestport/standin/engine", true},
		{"coordination", "net/http", true},
		{"coordination", "math/rand/v2", false},
		{"state", "os/exec", true},
		{"state", "crypto/sha256", false},
		{"transport", "net/http/httputil", true},
		{"transport", "net/http", false},
	} {
		quicktest.Check(t, importError(tc.layer, tc.path) != "", quicktest.Equals, tc.bad, quicktest.Commentf("%v", tc))
	}
}

func TestImportDirection(t *testing.T) {
	files := 0
	for _, layer := range layerOrder {
		err := filepath.WalkDir(layer, func(path string, _ fs.DirEntry, err error) error {
			if err != nil || filepath.Ext(path) != ".go" {
				return err
			}
			files++
			checkFile(t, layer, path)
			return nil
		})
		quicktest.Assert(t, err, quicktest.IsNil)
	}
	quicktest.Check(t, files > len(layerOrder), quicktest.IsTrue)
}

func checkFile(t *testing.T, layer, path string) {
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
	quicktest.Assert(t, err, quicktest.IsNil)
	if strings.HasSuffix(path, "_test.go") {
		return
	}
	for _, spec := range file.Imports {
		name, err := strconv.Unquote(spec.Path.Value)
		quicktest.Assert(t, err, quicktest.IsNil)
		if text := importError(layer, name); text != "" {
			t.Errorf("%s imports %s: %s", path, name, text)
		}
	}
	if slices.Contains(pureLayers, layer) {
		checkClock(t, path, file)
	}
}
