// Command waxwing-load sends requests to gateways, checks the answers, and measures them.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"waxwingcleat.example/waxwingcleat/internal/load"
	"waxwingcleat.example/waxwingcleat/internal/process"
)

const name = "waxwing-load"

// errMismatch means that not every request got a complete and correct answer.
var errMismatch = errors.New("answers differ from the expected ones, see the summary")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	command := &cobra.Command{Use: name, Short: "Send requests to gateways and check the answers"}
	command.SetContext(ctx)
	command.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return refuse(err) })
	command.AddCommand(checkCommand(), onceCommand(), refusedCommand(), pathCommand(), probeCommand(),
		countersCommand(), faultCommand(), process.VersionCommand(name))
	process.Main(command)
}

// refuse marks an error of the command line.
func refuse(err error) error { return &process.UsageError{Err: err} }

func checkCommand() *cobra.Command {
	var o load.CheckOptions
	command := &cobra.Command{
		Use:   "check",
		Short: "Send requests and verify that every answer is complete and from the right adapter version",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if err := validateCheck(o); err != nil {
				return refuse(err)
			}
			return check(command, o)
		},
	}
	flags := command.Flags()
	flags.StringSliceVar(&o.Gateways, "gateways", nil, "addresses of gateways, ip:port")
	flags.IntVar(&o.Requests, "requests", 1000, "number of requests")
	flags.DurationVar(&o.Duration, "duration", 0, "send new requests for this long instead of --requests")
	flags.IntVar(&o.Concurrency, "concurrency", 50, "requests in progress at a time")
	flags.IntVar(&o.Adapters, "adapters", 100, "number of adapters, numbered from 0 in the order of popularity")
	flags.StringVar(&o.AdapterName, "adapter-name", "adapter-%04d", "format of an adapter's name for its number")
	flags.StringVar(&o.Version, "version-name", "v1", "version of the adapters")
	flags.StringVar(&o.OtherVersion, "other-version", "", "name only the adapter; answers may be from this version too")
	flags.BoolVar(&o.RefuseBroken, "refuse-broken", false, "fail also when an attempt broke visibly")
	flags.IntVar(&o.MaxTokens, "tokens", 32, "largest number of tokens of an answer")
	flags.Float64Var(&o.Skew, "skew", 1.1, "exponent of the Zipf distribution, above 1")
	flags.Float64Var(&o.StreamShare, "stream-share", 0.5, "share of streamed requests, 0 to 1")
	flags.StringVar(&o.Priority, "priority", "", "priority class of all requests; empty for the adapter's")
	flags.Uint64Var(&o.Seed, "seed", 1, "seed of the requests")
	flags.DurationVar(&o.AttemptTimeout, "attempt-timeout", 30*time.Second, "time limit of one attempt")
	flags.DurationVar(&o.RequestTimeout, "request-timeout", 2*time.Minute, "time limit of a request with its retries")
	return command
}

func validateCheck(o load.CheckOptions) error {
	switch {
	case len(o.Gateways) == 0:
		return errors.New("--gateways needs at least one address ip:port")
	case o.Requests < 1 || o.Concurrency < 1 || o.Adapters < 1 || o.MaxTokens < 1:
		return errors.New("--requests, --concurrency, --adapters and --tokens must be at least 1")
	case o.Skew <= 1:
		return errors.New("--skew must be above 1")
	default:
		return nil
	}
}

func check(command *cobra.Command, o load.CheckOptions) error {
	summary, err := load.Check(command.Context(), o)
	return report(command, summary, err)
}

// summary is the result of a check.
type summary interface{ OK() bool }

// report prints the summary as one JSON line. It returns errMismatch when the check ended without an error but found a
// wrong answer.
func report(command *cobra.Command, result summary, err error) error {
	line, encodeErr := json.Marshal(result)
	if encodeErr != nil {
		return encodeErr
	}
	fmt.Fprintln(command.OutOrStdout(), string(line))
	if err == nil && !result.OK() {
		return errMismatch
	}
	return err
}

func pathCommand() *cobra.Command {
	var o load.PathOptions
	command := &cobra.Command{
		Use:   "path",
		Short: "Measure streamed answers through a gateway against direct calls to an engine",
		Long: "Measure streamed answers through a gateway against direct calls to the same engine.\n" +
			"Prints tab-separated lines: name, baseline, value, ratio median, ratio min, ratio max, seeds.",
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if err := validatePath(o); err != nil {
				return refuse(err)
			}
			return path(command, o)
		},
	}
	flags := command.Flags()
	flags.StringVar(&o.Gateway, "gateway", "", "address of the gateway, ip:port")
	flags.StringVar(&o.Engine, "engine", "", "address of the engine, ip:port")
	flags.StringVar(&o.Adapter, "adapter", "", "adapter to request; empty for the engine's first")
	flags.IntVar(&o.Tokens, "tokens", 100, "tokens of an answer")
	flags.IntSliceVar(&o.Streams, "streams", []int{1, 50, 500}, "numbers of concurrent streams")
	flags.IntVar(&o.Rounds, "rounds", 5, "number of rounds")
	flags.IntVar(&o.Pairs, "pairs", 10, "minimum number of pairs of a direct and a gateway call in a round")
	flags.Uint64Var(&o.Seed, "seed", 1, "seed of the first round; each round adds 1")
	return command
}

func validatePath(o load.PathOptions) error {
	if o.Gateway == "" || o.Engine == "" {
		return errors.New("--gateway and --engine need an address ip:port")
	}
	if o.Tokens < 1 || o.Rounds < 1 || o.Pairs < 1 || len(o.Streams) == 0 {
		return errors.New("--tokens, --rounds and --pairs must be at least 1, and --streams must not be empty")
	}
	for _, streams := range o.Streams {
		if streams < 1 {
			return errors.New("--streams must be at least 1 each")
		}
	}
	return nil
}

func path(command *cobra.Command, o load.PathOptions) error {
	lines, err := load.Path(command.Context(), o)
	if err != nil {
		return err
	}
	for _, line := range lines {
		fmt.Fprintln(command.OutOrStdout(), line)
	}
	return nil
}
