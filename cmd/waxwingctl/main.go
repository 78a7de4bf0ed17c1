// Command waxwingctl is the operators' command-line client.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"waxwingcleat.example/waxwingcleat/internal/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	code := ctl.Run(ctx, os.Args[1:], ctl.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr})
	stop()
	os.Exit(code)
}
