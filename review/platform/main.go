// Command standin plays the scripts of the review: it starts the project's own entries as
// separate processes, with stand-ins of the platform's store, of backend servers and of
// callers, and checks a rule. Its argument is the number of the case.
package main

import (
	"fmt"
	"log"
	"os"
	"path/filepath"
	"time"

	"persimmonwind.dev/platform/platformtest"
)

// The exit statuses of a case.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// scenario plays a case on a trial. It returns the number of requests that broke the rule,
// and of those that the rule binds.
type scenario func(t *trial, trouble bool) (broken, checked int, err error)

var scenarios = map[string]scenario{
	"1": playCutInAnEvent,
	"2": playFailureAfterRun,
	"3": playSilentStore,
	"4": playSilentConnections,
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 2 || scenarios[os.Args[1]] == nil {
		fmt.Println("usage: standin CASE")
		return exitNotRun
	}
	number := os.Args[1]
	record, err := os.Create(filepath.Join("review", number, "record.txt"))
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	defer func() { _ = record.Close() }()
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	defer func() { _ = os.RemoveAll(folder) }()
	network, err := findNetwork()
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	t := &trial{
		network: network, folder: folder, started: time.Now(), record: log.New(record, "", 0),
		store: &store{Store: platformtest.NewStore()}, executions: platformtest.NewExecutionLog(),
	}
	t.key.Store(oldKey)
	defer t.stop()
	trouble := os.Getenv("TROUBLE") != "0"
	broken, checked, err := scenarios[number](t, trouble)
	if err != nil {
		t.logf("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return exitNotRun
	}
	t.recordCalls()
	outcome := fmt.Sprintf("case %s, trouble %t: rule broken by %d of %d requests that it binds", number, trouble, broken, checked)
	t.logf("%s", outcome)
	fmt.Println(outcome)
	switch {
	case checked == 0:
		return exitNotRun
	case broken > 0:
		return exitBroken
	}
	return exitHeld
}
