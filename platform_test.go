package layers

import (
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/frankban/quicktest"
)

// platformNames are names of the users' platform that only the adapter and the
// stand-ins may contain.
var platformNames = []string{
	"kv-range", "kv-watch", "kv-txn", "kv-lease", "op/config", "servers/", "pathPrefix", "routeKind", "apiKeys", "sloMs", "itlTargetMs",
	"Attempt-Id", "Replica-Stamp", "Not-Executed", "Prompt-Prefix", "Expect-Replica", "Deadline-Ms", "Replica-Load", "Token-Count", "GOLDCRESTPORT_BOOT",
}

// TestOnlyAdapterUsesPlatformNames checks that the platform's names are used in the
// adapter only, and that only main packages import the adapter.
func TestOnlyAdapterUsesPlatformNames(t *testing.T) {
	for _, layer := range []string{"cmd", "transport", "protocol", "coordination", "state"} {
		err := filepath.WalkDir(layer, func(path string, _ fs.DirEntry, err error) error {
			if err != nil || filepath.Ext(path) != ".go" {
				return err
			}
			checkNames(t, path)
			if layer != "cmd" {
				checkAdapterImport(t, path)
			}
			return nil
		})
		quicktest.Assert(t, err, quicktest.IsNil)
	}
}

func checkNames(t *testing.T, path string) {
	data, err := os.ReadFile(path)
	quicktest.Assert(t, err, quicktest.IsNil)
	for _, name := range platformNames {
		if strings.Contains(string(data), name) {
			t.Errorf("%s contains the platform's name %q", path, name)
		}
	}
}

func checkAdapterImport(t *testing.T, path string) {
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
	quicktest.Assert(t, err, quicktest.IsNil)
	for _, spec := range file.Imports {
		if spec.Path.Value == `"goldcrestport/platform"` {
			t.Errorf("%s imports the adapter", path)
		}
	}
}
