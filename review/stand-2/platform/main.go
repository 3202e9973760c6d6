package main

import (
	"fmt"
	"os"
)

// main runs the case that the first argument names; the second one is the path of its
// record. The variable TROUBLE=0 leaves the disruption out.
func main() {
	cases := map[string]func(*record, string, bool) int{
		"gone-worker":  goneWorker,
		"large-bodies": largeBodies,
		"rolling-stop": rollingStop,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: stand-2 CASE RECORD")
		os.Exit(exitCouldNot)
	}
	os.Exit(runCase(cases[os.Args[1]], os.Args[2]))
}

func runCase(run func(*record, string, bool) int, path string) int {
	r, err := newRecord(path)
	if err != nil {
		fmt.Println(err)
		return exitCouldNot
	}
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Println(err)
		return exitCouldNot
	}
	defer func() { _ = os.RemoveAll(folder) }()
	return run(r, folder, os.Getenv("TROUBLE") != "0")
}
