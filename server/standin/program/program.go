// Package program builds the persimmonwind binary once for a package whose tests
// run it as separate processes, and starts these processes.
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

// Start starts the command in a process group of its own. When the shell that runs
// the tests exits, the kernel sends SIGHUP to an orphaned process group that has
// stopped processes, and some tests stop processes. Since an interrupt of the tests
// does not reach the other process group, Run then kills the process.
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

// killOnInterrupt kills all started processes and ends the tests when the tests
// are interrupted.
func killOnInterrupt() {
	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupts
		mu.Lock()
		defer mu.Unlock()
		for _, process := range started {
			_ = process.Kill() // Most have already exited.
		}
		os.Exit(1)
	}()
}

// Run builds the binary, stores its path in path and runs the tests. It returns
// the exit code of the test run, or 1 if the binary can't be built.
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
