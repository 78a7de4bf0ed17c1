package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"waxwingcleat.example/waxwingcleat/internal/load"
	"waxwingcleat.example/waxwingcleat/internal/settings"
	"waxwingcleat.example/waxwingcleat/internal/standin/fault"
)

const maximumCountersBytes = 64 << 20

func refusedCommand() *cobra.Command {
	var o load.RefusedOptions
	command := &cobra.Command{
		Use:   "refused",
		Short: "Send fresh non-idempotent calls and verify that each is refused at once as not run",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if len(o.Gateways) == 0 || o.Service == "" || o.Calls < 1 {
				return refuse(errors.New("--gateways and --service are required, --calls must be at least 1"))
			}
			summary, err := load.Refused(command.Context(), o)
			return report(command, summary, err)
		},
	}
	flags := command.Flags()
	flags.StringSliceVar(&o.Gateways, "gateways", nil, "addresses of gateways, ip:port")
	flags.StringVar(&o.Service, "service", "", "name of the plain service")
	flags.IntVar(&o.Calls, "calls", 20, "number of calls, each with its own key")
	flags.DurationVar(&o.MaximumDelay, "within", time.Second, "longest time for a refusal")
	return command
}

func countersCommand() *cobra.Command {
	var address string
	command := &cobra.Command{
		Use:   "counters PATH",
		Short: "Print one counter of the stand-ins, such as evictedInUse or engines.engine-1.requests (a sum)",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			body, err := call(http.MethodGet, address, nil)
			if err != nil {
				return err
			}
			value, err := load.Counter(body, arguments[0])
			if err != nil {
				return err
			}
			fmt.Fprintln(command.OutOrStdout(), value)
			return nil
		},
	}
	command.Flags().StringVar(&address, "url", "", "URL of the stand-ins' counters")
	_ = command.MarkFlagRequired("url")
	return command
}

func faultCommand() *cobra.Command {
	var admin string
	var off bool
	var duration, delay time.Duration
	var order fault.Order
	command := &cobra.Command{
		Use:   "fault TARGET KIND",
		Short: "Switch a fault of the stand-ins on, or off with --off",
		Args:  cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, arguments []string) error {
			order.Target, order.Kind = arguments[0], fault.Kind(arguments[1])
			order.Duration, order.Delay = settings.Duration(duration), settings.Duration(delay)
			faults := "http://" + admin + "/faults"
			if off {
				query := url.Values{"target": {order.Target}, "kind": {string(order.Kind)}}
				_, err := call(http.MethodDelete, faults+"?"+query.Encode(), nil)
				return err
			}
			body, err := json.Marshal(order)
			if err != nil {
				return err
			}
			_, err = call(http.MethodPost, faults, body)
			return err
		},
	}
	flags := command.Flags()
	flags.StringVar(&admin, "admin", "", "admin address of the stand-ins, ip:port")
	flags.BoolVar(&off, "off", false, "switch the fault off")
	flags.DurationVar(&duration, "duration", 0, "how long the fault stays active")
	flags.IntVar(&order.Count, "count", 0, "number of calls that the fault affects")
	flags.DurationVar(&delay, "delay", 0, "delay of the kind slow")
	_ = command.MarkFlagRequired("admin")
	return command
}

// call sends a request to the stand-ins and returns the body of an answer with status 200.
func call(method, address string, body []byte) ([]byte, error) {
	request, err := http.NewRequest(method, address, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	client := &http.Client{Timeout: probeTimeout}
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maximumCountersBytes))
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s %s: %s: %s", method, address, response.Status, strings.TrimSpace(string(answer)))
	}
	return answer, nil
}
