// Package program builds the persimmonwind binary once for a package whose tests
// start it as processes.
package program

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// Run builds the binary, stores its path and runs the tests. It returns the exit
// code of the test run, 1 where the binary can't be built.
func Run(m *testing.M, path *string) int {
	dir, err := os.MkdirTemp("", "persimmonwind-tests")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	*path = filepath.Join(dir, "persimmonwind")
	build := exec.Command("go", "build", "-o", *path, "persimmonwind.dev/server/cmd/persimmonwind")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, output)
		return 1
	}
	return m.Run()
}
