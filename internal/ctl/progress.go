package ctl

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"waxwingcleat.example/waxwingcleat/internal/delay"
	"waxwingcleat.example/waxwingcleat/internal/ident"
	"waxwingcleat.example/waxwingcleat/internal/platform"
	"waxwingcleat.example/waxwingcleat/internal/resource"
)

const (
	pollInterval  = 200 * time.Millisecond
	watchPause    = 500 * time.Millisecond
	defaultWait   = time.Minute
	bookmarkEvent = "BOOKMARK"
	errorEvent    = "ERROR"
)

func queryEscape(text string) string { return url.QueryEscape(text) }

func statusPath(version platform.Offset) string {
	return fmt.Sprintf("/apis/v1/status?resourceVersion=%d", version)
}

func (a *app) statusCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "status [VERSION]",
		Short: "Show at which nodes a resource version, or the newest, is in force",
		Args:  arguments(cobra.MaximumNArgs(1)),
		RunE: func(command *cobra.Command, args []string) error {
			path := "/apis/v1/status"
			if len(args) == 1 {
				version, err := versionArgument(args[0])
				if err != nil {
					return err
				}
				path = statusPath(version)
			}
			client, err := a.client()
			if err != nil {
				return err
			}
			var current status
			if err := client.call(command.Context(), http.MethodGet, path, nil, &current); err != nil {
				return err
			}
			return a.print(current, func(out io.Writer) { printStatus(out, current) })
		},
	}
}

func printStatus(out io.Writer, s status) {
	if s.InForce {
		fmt.Fprintf(out, "version %d is in force at all %d nodes\n", s.ResourceVersion, len(s.Nodes))
	} else {
		fmt.Fprintf(out, "version %d is not in force: %s\n", s.ResourceVersion, s.Reason)
	}
	for _, node := range s.Nodes {
		fmt.Fprintf(out, "%s\t%s\t%s\tapplied %d\n", node.Name, node.Zone, node.State, node.Applied)
	}
}

// versionArgument parses a resource version on the command line.
func versionArgument(text string) (platform.Offset, error) {
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, usage("VERSION has value %q; allowed: an integer from 0", text)
	}
	return platform.Offset(version), nil
}

func (a *app) waitCommand() *cobra.Command {
	var timeout time.Duration
	command := &cobra.Command{
		Use:   "wait [VERSION]",
		Short: "Wait until a resource version, or the newest at the time of the call, is in force at every node",
		Args:  arguments(cobra.MaximumNArgs(1)),
		RunE: func(command *cobra.Command, args []string) error {
			client, err := a.client()
			if err != nil {
				return err
			}
			version, err := versionToAwait(command.Context(), client, args)
			if err != nil {
				return err
			}
			return a.waitInForce(command.Context(), client, version, timeout)
		},
	}
	command.Flags().DurationVar(&timeout, "timeout", defaultWait, "longest time to wait")
	return command
}

// versionToAwait returns the version that was given, or the newest that the API server has applied.
func versionToAwait(ctx context.Context, client *Client, args []string) (platform.Offset, error) {
	if len(args) == 1 {
		return versionArgument(args[0])
	}
	var current status
	if err := client.call(ctx, http.MethodGet, "/apis/v1/status", nil, &current); err != nil {
		return 0, err
	}
	return current.ResourceVersion, nil
}

// waitInForce polls until the version is in force. It retries while servers can't be reached.
func (a *app) waitInForce(ctx context.Context, client *Client, version platform.Offset, timeout time.Duration) error {
	limited, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reason := "no API server has answered"
	for {
		var current status
		err := client.call(limited, http.MethodGet, statusPath(version), nil, &current)
		switch {
		case err == nil && current.InForce:
			return a.print(current, func(out io.Writer) { fmt.Fprintf(out, "version %d is in force\n", version) })
		case err == nil:
			reason = current.Reason
		case limited.Err() == nil:
			reason = err.Error()
		}
		delay.For(limited, pollInterval)
		if limited.Err() != nil {
			return fmt.Errorf("version %d is not in force: %s: %w", version, reason, limited.Err())
		}
	}
}

func (a *app) drainCommand() *cobra.Command {
	var wait, undo bool
	var timeout time.Duration
	command := &cobra.Command{
		Use:   "drain SERVER",
		Short: "Stop new work to a backend server",
		Args:  arguments(cobra.ExactArgs(1)),
		RunE: func(command *cobra.Command, args []string) error {
			client, err := a.client()
			if err != nil {
				return err
			}
			version, err := a.drain(command.Context(), client, args[0], !undo)
			if err != nil || !wait {
				return err
			}
			return a.waitInForce(command.Context(), client, version, timeout)
		},
	}
	command.Flags().BoolVar(&wait, "wait", false, "wait until the change is in force at every node")
	command.Flags().BoolVar(&undo, "undo", false, "let the server have new work again")
	command.Flags().DurationVar(&timeout, "timeout", defaultWait, "longest time to wait with --wait")
	return command
}

// drain sets or clears the drain field and returns the version that contains it. It writes nothing if the field already
// has the value.
func (a *app) drain(ctx context.Context, client *Client, server string, drain bool) (platform.Offset, error) {
	var found object
	if err := client.call(ctx, http.MethodGet, resourcePath(resource.KindBackendServer, server), nil, &found); err != nil {
		return 0, err
	}
	var spec resource.BackendServerSpec
	if err := resource.DecodeStrict(found.Spec, &spec); err != nil {
		return 0, fmt.Errorf("the API server's spec of %s can't be changed by this version of %s: %w", server, name, err)
	}
	written := changeResult{
		Kind: found.Kind, Name: server, Outcome: resource.Accepted, ResourceVersion: found.ResourceVersion,
	}
	if spec.Drain != drain {
		spec.Drain = drain
		changed, err := json.Marshal(spec)
		if err != nil {
			return 0, err
		}
		c := change{Kind: found.Kind, Name: server, ResourceVersion: found.ResourceVersion, OperationID: ident.New(), Spec: changed}
		if written, err = writeOne(ctx, client, c); err != nil {
			return 0, err
		}
	}
	return written.ResourceVersion, a.print(written, func(out io.Writer) {
		fmt.Fprintf(out, "%s has drain=%t at version %d\n", server, drain, written.ResourceVersion)
	})
}

func (a *app) watchCommand() *cobra.Command {
	var version uint64
	command := &cobra.Command{
		Use:   "watch KIND",
		Short: "Print the changes of a kind until interrupted",
		Args:  arguments(cobra.ExactArgs(1)),
		RunE: func(command *cobra.Command, args []string) error {
			kind, err := kindArgument(args[0])
			if err != nil {
				return err
			}
			client, err := a.client()
			if err != nil {
				return err
			}
			after := platform.Offset(version)
			if !command.Flags().Changed("resource-version") {
				var all objectList
				if err := client.call(command.Context(), http.MethodGet, "/apis/v1/"+string(kind), nil, &all); err != nil {
					return err
				}
				after = all.ResourceVersion
			}
			return a.watch(command.Context(), client, kind, after)
		},
	}
	command.Flags().Uint64Var(&version, "resource-version", 0, "print the changes after this version; default: from now on")
	return command
}

// watch prints changes and resumes at another server when a watch ends, without missing or repeating a change.
func (a *app) watch(ctx context.Context, client *Client, kind resource.Kind, after platform.Offset) error {
	progress := &watchProgress{after: after, printed: map[string]bool{}}
	for ctx.Err() == nil {
		err := a.watchOnce(ctx, client, kind, progress)
		var refusal *APIError
		if errors.As(err, &refusal) && !refusal.retryElsewhere() {
			return err
		}
		client.next()
		delay.For(ctx, watchPause)
	}
	return nil
}

type watchEvent struct {
	Type            string          `json:"type"`
	ResourceVersion platform.Offset `json:"resourceVersion,omitempty"`
	Object          *object         `json:"object,omitempty"`
	Error           *APIError       `json:"error,omitempty"`
}

// watchProgress records which events were printed. One record may change several resources at one version, so a version
// is complete only when a later event or a bookmark arrives.
type watchProgress struct {
	// after is the version up to which all events were printed.
	after platform.Offset
	// version is the version of the events in printed.
	version platform.Offset
	printed map[string]bool
}

// record records an event and reports whether it is new.
func (p *watchProgress) record(event watchEvent) bool {
	if event.Type == bookmarkEvent {
		p.after = max(p.after, event.ResourceVersion)
		return false
	}
	if event.Object == nil || event.ResourceVersion <= p.after {
		return false
	}
	if event.ResourceVersion > p.version {
		p.after = event.ResourceVersion - 1
		p.version = event.ResourceVersion
		clear(p.printed)
	}
	key := event.Type + " " + event.Object.Name
	duplicate := p.printed[key]
	p.printed[key] = true
	return !duplicate
}

func (a *app) watchOnce(ctx context.Context, client *Client, kind resource.Kind, progress *watchProgress) error {
	path := fmt.Sprintf("/apis/v1/%s?watch=1&resourceVersion=%d", kind, progress.after)
	response, err := client.send(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	lines := bufio.NewReader(response.Body)
	for {
		text, err := lines.ReadString('\n')
		if err != nil {
			return err
		}
		var event watchEvent
		if err := json.Unmarshal([]byte(text), &event); err != nil {
			return err
		}
		if event.Type == errorEvent && event.Error != nil {
			return event.Error
		}
		if progress.record(event) {
			a.printEvent(strings.TrimSpace(text), event)
		}
	}
}

func (a *app) printEvent(text string, event watchEvent) {
	if a.format == "json" {
		fmt.Fprintln(a.streams.Out, text)
		return
	}
	fmt.Fprintf(a.streams.Out, "%s\t", event.Type)
	printObject(a.streams.Out, *event.Object)
}
