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

// order lists the layers from the top down. A layer may import itself and those
// after it.
var order = []string{"cmd", "platform", "transport", "protocol", "coordination", "state"}

// pure lists the layers without I/O, clock or goroutines.
var pure = []string{"coordination", "state"}

// impure lists standard packages that the pure layers must not import, with
// everything below them.
var impure = []string{"net", "os", "io", "log", "syscall", "sync", "context", "math/rand", "crypto/rand", "expvar", "runtime"}

// clockCalls are the functions of package time that read or wait on a clock.
var clockCalls = []string{"Now", "Since", "Until", "Sleep", "After", "AfterFunc", "Tick", "NewTicker", "NewTimer"}

// below reports whether path is pkg or lies below it.
func below(path, pkg string) bool { return path == pkg || strings.HasPrefix(path, pkg+"/") }

// fault returns why a file of the layer must not import the path, or "" if it
// may.
func fault(layer, path string) string {
	if below(path, "net/http/httputil") {
		return "the proxy of the standard library must not be used"
	}
	if slices.Contains(pure, layer) {
		for _, p := range impure {
			if below(path, p) && path != "math/rand/v2" {
				return "a pure layer must not use I/O, clocks or concurrency"
			}
		}
	}
	inside, found := strings.CutPrefix(path, module)
	if !found {
		return ""
	}
	target, _, _ := strings.Cut(inside, "/")
	from, to := slices.Index(order, layer), slices.Index(order, target)
	if to < 0 || from >= 0 && to < from {
		return "imports of a higher layer are not allowed"
	}
	return ""
}

func TestFaultsAreFound(t *testing.T) {
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
		quicktest.Check(t, fault(tc.layer, tc.path) != "", quicktest.Equals, tc.bad, quicktest.Commentf("%v", tc))
	}
}

func TestImportDirection(t *testing.T) {
	files := 0
	for _, layer := range order {
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
	quicktest.Check(t, files > len(order), quicktest.IsTrue)
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
		if text := fault(layer, name); text != "" {
			t.Errorf("%s imports %s: %s", path, name, text)
		}
	}
	if slices.Contains(pure, layer) {
		checkClock(t, path, file)
	}
}
