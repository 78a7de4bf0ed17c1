package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"waxwingcleat.example/waxwingcleat/internal/load"
)

const (
	probeTimeout      = 2 * time.Second
	maximumProbeBytes = 4 << 10
)

func onceCommand() *cobra.Command {
	var o load.OnceOptions
	command := &cobra.Command{
		Use:   "once",
		Short: "Send non-idempotent calls several times at once and verify that each ran at most once",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if len(o.Gateways) == 0 || o.Service == "" || o.Counters == "" || o.Keys < 1 || o.Copies < 1 {
				return refuse(errors.New("--gateways, --service and --counters are required, " +
					"--keys and --copies must be at least 1"))
			}
			summary, err := load.Once(command.Context(), o)
			return report(command, summary, err)
		},
	}
	flags := command.Flags()
	flags.StringSliceVar(&o.Gateways, "gateways", nil, "addresses of gateways, ip:port")
	flags.StringVar(&o.Service, "service", "", "name of the plain service")
	flags.IntVar(&o.Keys, "keys", 20, "number of calls")
	flags.IntVar(&o.Copies, "copies", 3, "callers that send each call at the same time")
	flags.DurationVar(&o.Interval, "interval", 0, "time between the first attempts of two keys")
	flags.StringVar(&o.Counters, "counters", "", "URL of the stand-ins' counters")
	flags.DurationVar(&o.Timeout, "timeout", time.Minute, "time limit of a call with its retries")
	return command
}

func probeCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "probe URL",
		Short: "Exit with 0 when URL answers with status 200",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, arguments []string) error {
			client := &http.Client{Timeout: probeTimeout}
			response, err := client.Get(arguments[0])
			if err != nil {
				return err
			}
			defer response.Body.Close()
			answer, err := io.ReadAll(io.LimitReader(response.Body, maximumProbeBytes))
			if err != nil {
				return err
			}
			if response.StatusCode != http.StatusOK {
				return fmt.Errorf("%s: %s", response.Status, strings.TrimSpace(string(answer)))
			}
			return nil
		},
	}
}
