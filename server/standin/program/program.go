// Package program builds the persimmonwind binary once for a package whose tests
// start it as processes, and starts them.
package program

import (
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
)

var (
	mu      sync.Mutex
	started []*os.Process
)

// Start starts the command in a process group of its own. Where the shell that runs
// the tests ends, the kernel hangs up a process group that it leaves behind with
// stopped processes, and tests stop theirs. An interrupt of the tests no longer
// reaches the process by itself; Run ends it then.
func Start(command *exec.Cmd) error {
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := command.Start(); err != nil {
		return err
	}
	mu.Lock()
	defer mu.Unlock()
	started = append(started, command.Process)
	return nil
}

// killOnInterrupt ends all started processes and the tests when the tests are
// interrupted.
func killOnInterrupt() {
	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupts
		mu.Lock()
		defer mu.Unlock()
		for _, process := range started {
			_ = process.Kill() // Most have ended.
		}
		os.Exit(1)
	}()
}

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
	killOnInterrupt()
	return m.Run()
}
