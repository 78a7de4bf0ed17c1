package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"waxwingcleat.example/waxwingcleat/internal/process"
	"waxwingcleat.example/waxwingcleat/internal/resource"
)

// Exit codes of waxwingctl.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitUsage    = 2
	ExitConflict = 3
)

const name = "waxwingctl"

// usageError is an invalid command line.
type usageError struct{ err error }

// Error implements error.
func (e *usageError) Error() string { return e.err.Error() }

// errConflict is wrapped by an error in which every refused change was a conflict.
var errConflict = errors.New("conflict")

// Streams are the inputs and outputs of a command.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// app holds the state that the commands share.
type app struct {
	streams Streams
	servers []string
	format  string
	tls     tlsFiles
}

// Run executes a command line, given without the program's name, and returns the exit code.
func Run(ctx context.Context, args []string, streams Streams) int {
	command := newRoot(streams)
	command.SetArgs(args)
	err := command.ExecuteContext(ctx)
	if err != nil {
		fmt.Fprintln(streams.Err, name+":", err)
	}
	return exitCode(err)
}

func exitCode(err error) int {
	var usage *usageError
	var refusal *APIError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage):
		return ExitUsage
	case errors.Is(err, errConflict):
		return ExitConflict
	case errors.As(err, &refusal) && refusal.Code == codeConflict:
		return ExitConflict
	}
	return ExitFailed
}

func newRoot(streams Streams) *cobra.Command {
	a := &app{streams: streams}
	root := &cobra.Command{
		Use:           name,
		Short:         "Declare resources and watch them come into force",
		SilenceErrors: true,
		SilenceUsage:  true,
		Args:          cobra.ArbitraryArgs,
		RunE: func(_ *cobra.Command, args []string) error {
			if len(args) == 0 {
				return usage("a command is missing; see %s --help", name)
			}
			return usage("unknown command %q; see %s --help", args[0], name)
		},
		PersistentPreRunE: func(*cobra.Command, []string) error {
			if a.format != "text" && a.format != "json" {
				return usage("flag --output has value %q; allowed: text or json", a.format)
			}
			return nil
		},
	}
	root.SetIn(streams.In)
	root.SetOut(streams.Out)
	root.SetErr(streams.Err)
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return &usageError{err} })
	root.PersistentFlags().StringArrayVar(&a.servers, "server", nil, "address of an API server, ip:port; may be repeated")
	root.PersistentFlags().StringVarP(&a.format, "output", "o", "text", "output format: text or json")
	a.tls.addFlags(root.PersistentFlags())
	root.AddCommand(a.applyCommand(), a.getCommand(), a.deleteCommand(), a.watchCommand(), a.waitCommand(),
		a.drainCommand(), a.statusCommand(), a.explainCommand(), a.whereCommand(), process.VersionCommand(name))
	return root
}

func usage(format string, values ...any) error { return &usageError{fmt.Errorf(format, values...)} }

// arguments turns cobra's argument errors into usage errors.
func arguments(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(command *cobra.Command, args []string) error {
		if err := check(command, args); err != nil {
			return &usageError{err}
		}
		return nil
	}
}

func (a *app) client() (*Client, error) {
	if len(a.servers) == 0 {
		return nil, usage("flag --server is missing")
	}
	config, err := a.tls.config()
	if err != nil {
		return nil, err
	}
	return NewClient(a.servers, config), nil
}

// print writes value as JSON or calls text, depending on the output format.
func (a *app) print(value any, text func(out io.Writer)) error {
	if a.format == "json" {
		return json.NewEncoder(a.streams.Out).Encode(value)
	}
	text(a.streams.Out)
	return nil
}

func kindArgument(text string) (resource.Kind, error) {
	kind := resource.Kind(text)
	if !kind.Valid() {
		return "", usage("kind has value %q; allowed: %v", text, resource.Kinds())
	}
	return kind, nil
}
