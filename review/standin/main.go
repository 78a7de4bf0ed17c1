// Command standin plays one case of the review: it starts stand-ins for the platform's store, the servers and the clients, and
// the nodes of the system as processes, and judges what the servers and clients have seen.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// caseTime bounds a case.
const caseTime = 110 * time.Second

// verdict is the outcome of a case.
type verdict struct {
	broken bool
	text   string
}

// cases holds the cases by the names that the scripts use.
var cases = map[string]func(s *site) (verdict, error){
	"versions": playVersions, "endless": playEndless, "fence": playFence, "silence": playSilence, "path": playPath,
	// These have no folder of their own; the report says why.
	"configuration": playConfiguration, "poison": playPoison, "late-poison": playLatePoison, "memory": playMemory,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(run func(s *site) (verdict, error), recordPath string) (status int) {
	ctx, cancel := context.WithTimeout(context.Background(), caseTime)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	record, err := newRecorder(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(folder)
	}
	s, err := newSite(ctx, record, folder, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	result, err := run(s)
	s.stop()
	if err == nil && ctx.Err() != nil {
		err = fmt.Errorf("%w: the time is over", errUnfit)
	}
	if err != nil {
		record.line("couldn't run: %v", err)
		result.text = err.Error()
		status = 2
	} else if result.broken {
		status = 1
	}
	record.line("result %d: %s", status, result.text)
	if err := record.close(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	fmt.Println(result.text)
	return status
}
