// Command standin-2 plays the cases of the second review: it starts the nodes with the command of the deploy file before
// stand-ins for the store, the model servers and the clients. It exits with 1 if the rule of the case was broken, with 0 if
// it held, and with 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"time"
)

// longestCase bounds the time of a case.
const longestCase = 115 * time.Second

// Exit codes.
const (
	held   = 0
	broken = 1
	failed = 2
)

var errTooFew = errors.New("too few streams began or were taken up")

// play is a case. trouble is false for the run without the disruption.
type play func(s *site, trouble bool) (isBroken bool, err error)

var plays = map[string]play{}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE RECORD")
		os.Exit(failed)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, path string) int {
	chosen, found := plays[name]
	if !found {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return failed
	}
	trouble := os.Getenv("TROUBLE") != "0"
	s, err := newSite(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer s.close()
	s.rec.add("case %s, trouble %v", name, trouble)
	time.AfterFunc(longestCase, func() {
		fmt.Println("the case takes too long")
		s.close()
		os.Exit(failed)
	})
	isBroken, err := chosen(s, trouble)
	switch {
	case err != nil:
		s.rec.add("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return failed
	case isBroken:
		s.rec.add("the rule was broken")
		fmt.Println("broken")
		return broken
	}
	s.rec.add("the rule held")
	fmt.Println("held")
	return held
}
