package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"

	"github.com/spf13/cobra"

	"waxwingcleat.example/waxwingcleat/internal/explain"
)

func (a *app) explainCommand() *cobra.Command {
	var admins, logs []string
	command := &cobra.Command{
		Use:   "explain NAME",
		Short: "Show the latest decisions about a request or adapter, or why a request failed according to logs",
		Args:  arguments(cobra.MaximumNArgs(1)),
		RunE: func(command *cobra.Command, args []string) error {
			switch {
			case len(logs) > 0 && len(admins) == 0:
				return a.explainLogs(logs, args)
			case len(admins) == 0 || len(logs) > 0:
				return usage("exactly one of the flags --admin and --log is required")
			case len(args) == 0:
				return usage("NAME is missing")
			}
			return a.explain(command.Context(), admins, args[0])
		},
	}
	command.Flags().StringArrayVar(&admins, "admin", nil, "admin address of a gateway or scheduler, ip:port; may be repeated")
	command.Flags().StringArrayVar(&logs, "log", nil, "log file of serving nodes, - for standard input; may be repeated. Without NAME, all failed requests are explained")
	return command
}

// processDecisions holds the decisions of one process.
type processDecisions struct {
	Admin     string            `json:"admin"`
	Decisions []json.RawMessage `json:"decisions"`
	Error     string            `json:"error,omitempty"`
}

// explain queries every admin endpoint, because each process records only its own decisions.
func (a *app) explain(ctx context.Context, admins []string, subject string) error {
	answers := make([]processDecisions, 0, len(admins))
	var failures []error
	for _, admin := range admins {
		answer := processDecisions{Admin: admin, Decisions: []json.RawMessage{}}
		path := "/debug/decisions?name=" + queryEscape(subject)
		if err := NewClient([]string{admin}, nil).call(ctx, http.MethodGet, path, nil, &answer.Decisions); err != nil {
			answer.Error = err.Error()
			failures = append(failures, fmt.Errorf("%s: %w", admin, err))
		}
		answers = append(answers, answer)
	}
	err := a.print(answers, func(out io.Writer) {
		for _, answer := range answers {
			for _, decision := range answer.Decisions {
				fmt.Fprintf(out, "%s\t%s\n", answer.Admin, decision)
			}
		}
	})
	return errors.Join(append(failures, err)...)
}

// stdinName is the file name that denotes standard input.
const stdinName = "-"

// explainLogs prints explanations from logs for one request, or for all failed requests if none is given.
func (a *app) explainLogs(files, requests []string) error {
	var log explain.Log
	for _, file := range files {
		if err := a.readLog(&log, file); err != nil {
			return err
		}
	}
	named := len(requests) > 0
	if !named {
		requests = log.Failed()
	}
	explanations := make([]explain.Explanation, 0, len(requests))
	for _, request := range requests {
		explanations = append(explanations, log.Explain(request))
	}
	if named && len(explanations[0].Own) == 0 {
		return fmt.Errorf("no log line is about request %s", requests[0])
	}
	return a.print(explanations, func(out io.Writer) { printExplanations(out, explanations, named) })
}

func (a *app) readLog(log *explain.Log, file string) error {
	if file == stdinName {
		return log.Read(a.streams.In)
	}
	opened, err := os.Open(file)
	if err != nil {
		return err
	}
	defer opened.Close()
	return log.Read(opened)
}

// printExplanations prints a line for each request, followed by its log lines with withLines, or else by a summary.
func printExplanations(out io.Writer, explanations []explain.Explanation, withLines bool) {
	known := 0
	for _, e := range explanations {
		cause := e.Cause
		if cause == "" {
			cause = "the logs don't tell"
		} else {
			known++
		}
		fmt.Fprintf(out, "%s\t%s\tcause: %s\n", e.Request, e.Outcome, cause)
		if !withLines {
			continue
		}
		for _, line := range e.Own {
			fmt.Fprintln(out, "  request ", line.Text)
		}
		for _, line := range e.Evidence {
			fmt.Fprintln(out, "  evidence", line.Text)
		}
	}
	if !withLines {
		fmt.Fprintf(out, "%d failed requests, cause known of %d\n", len(explanations), known)
	}
}
