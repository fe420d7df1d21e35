package fleet

import (
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/cockroachdb/errors"
)

// BuildForTest builds the binaries into a folder of the test and returns it.
func BuildForTest(t testing.TB) string {
	t.Helper()
	dir := t.TempDir()
	if err := Build(dir); err != nil {
		t.Fatal(err)
	}
	return dir
}

// Build builds the binaries of this module's sources into the folder.
func Build(dir string) error {
	out, err := exec.Command("go", "list", "-m", "-f", "{{.Dir}}", "goldcrestport").Output()
	if err != nil {
		return errors.Wrap(err, "find the module")
	}
	root := string(out[:len(out)-1])
	cmd := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "./cmd/goldcrestd", "./standin/cmd/standin")
	cmd.Dir = root
	out, err = cmd.CombinedOutput()
	return errors.Wrapf(err, "build: %s", out)
}
