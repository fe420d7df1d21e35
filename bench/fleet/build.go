package fleet

import (
	"os/exec"
	"path/filepath"
	"testing"
)

// BuildForTest builds the binaries into a folder of the test and returns it.
func BuildForTest(t testing.TB) string {
	t.Helper()
	dir := t.TempDir()
	out, err := exec.Command("go", "list", "-m", "-f", "{{.Dir}}", "goldcrestport").Output()
	if err != nil {
		t.Fatalf("find the module: %v", err)
	}
	root := string(out[:len(out)-1])
	cmd := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "./cmd/goldcrestd", "./standin/cmd/standin")
	cmd.Dir = root
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return dir
}
