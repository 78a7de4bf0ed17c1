package ctl

import (
	"cmp"
	"fmt"
	"io"
	"math"
	"net/http"
	"slices"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"waxwingcleat.example/waxwingcleat/internal/forward"
)

func (a *app) whereCommand() *cobra.Command {
	var admin string
	var description forward.Description
	command := &cobra.Command{
		Use:   "where",
		Short: "Show where a serving node would route a request now, and why, without sending it",
		Args:  arguments(cobra.NoArgs),
		RunE: func(command *cobra.Command, _ []string) error {
			if admin == "" {
				return usage("flag --admin is missing")
			}
			flags := command.Flags()
			description.TokensNamed = flags.Changed("prompt-tokens") || flags.Changed("output-tokens")
			if err := description.Validate(); err != nil {
				return &usageError{err}
			}
			var where forward.Where
			path := "/where?" + description.Values().Encode()
			if err := NewClient([]string{admin}, nil).call(command.Context(), http.MethodGet, path, nil, &where); err != nil {
				return err
			}
			return a.print(where, func(out io.Writer) { printWhere(out, where) })
		},
	}
	flags := command.Flags()
	flags.StringVar(&admin, "admin", "", "admin address of a serving node, ip:port")
	flags.StringVar(&description.Host, "host", "", "host of the request")
	flags.StringVar(&description.Path, "path", "", "path of the request")
	flags.StringVar(&description.Route, "route", "", "name of the route, instead of host and path")
	flags.StringVar(&description.Adapter, "adapter", "", "adapter, as MODEL/NAME, or MODEL for the base model")
	flags.BoolVar(&description.Unseen, "unseen", false, "accept an adapter that was never declared and that no server holds")
	flags.StringVar(&description.Customer, "customer", "", "name of the customer")
	flags.IntVar(&description.PromptTokens, "prompt-tokens", 0, "length of the prompt")
	flags.IntVar(&description.OutputTokens, "output-tokens", 0, "maximum length of the output")
	flags.DurationVar(&description.Deadline, "deadline", 0, "time that the caller has for the answer, for example 800ms")
	return command
}

// printWhere prints an explanation as text.
func printWhere(out io.Writer, w forward.Where) {
	fmt.Fprintf(out, "configuration %d, node in zone %s, %d nodes\n", w.ConfigurationVersion, w.Zone, w.Nodes)
	if w.Route != "" {
		fmt.Fprintf(out, "route %s, rank %d, deadline %s, waits up to %d ms\n", w.Route, w.Rank, milliseconds(w.DeadlineMs), w.WaitMs)
	}
	if w.Customer != "" {
		fmt.Fprintf(out, "customer %s\n", w.Customer)
	}
	if k := w.Keys; k != nil && k.ProofAgeMs == nil {
		fmt.Fprintln(out, "API keys are accepted without a proof")
	} else if k != nil {
		fmt.Fprintf(out, "API keys: accepted %t, age of the proof %d ms\n", k.Accepted, *k.ProofAgeMs)
	}
	if q := w.Quota; q != nil {
		fmt.Fprintf(out, "quota: %s; cost %g of %g %s a second, burst %g; credit %g, share %g a second, %d waiting; coordinator %s, answered %d ms ago\n",
			q.Decision, q.Cost, q.PerSecond, q.Unit, q.Burst, q.Credit, q.Share, q.Waiting, cmp.Or(q.Coordinator, "none"), q.AnsweredMsAgo)
		if c := q.Coordinated; c != nil {
			fmt.Fprintf(out, "quota coordinator: available %g, granted in advance %g, %d nodes, %d waiting\n",
				c.Available, c.Outstanding, c.Nodes, c.Waiting)
		}
	}
	printRefusal(out, w.Refusal)
	for _, d := range w.Destinations {
		printDestination(out, d)
	}
}

func milliseconds(ms int64) string {
	if ms == 0 {
		return "none"
	}
	return fmt.Sprintf("%d ms", ms)
}

func printRefusal(out io.Writer, r *forward.WhereRefusal) {
	if r != nil {
		fmt.Fprintf(out, "refused: status %d, %s, Retry-After %d to %d ms\n", r.Status, r.Reason, r.RetryAfterMinMs, r.RetryAfterMaxMs)
	}
}

func printDestination(out io.Writer, d forward.WhereDestination) {
	fmt.Fprintf(out, "\nservice %s, probability %.3g: %s", d.Service, d.Probability, d.Outcome)
	if d.Server != "" {
		fmt.Fprintf(out, ", server %s", d.Server)
	}
	if d.Reason != "" {
		fmt.Fprintf(out, " (%s)", d.Reason)
	}
	fmt.Fprintln(out)
	if a := d.Adapter; a != nil {
		fmt.Fprintf(out, "adapter %s, declared version %d, at least %d\n", a.Name, a.Declared, a.MinVersion)
	}
	if d.Load != nil {
		fmt.Fprintf(out, "load target %s, expected wait %d ms\n", d.Load.Server, d.Load.WaitMs)
	}
	if d.HandOver != nil {
		fmt.Fprintf(out, "handed over for servers %v, for example to %s\n", d.HandOver.Servers, d.HandOver.Peer)
	}
	if s := d.Slots; s != nil && s.Active {
		fmt.Fprintf(out, "slots: dispatcher %s", cmp.Or(s.Dispatcher, "none"))
		if s.Here {
			fmt.Fprintf(out, " (this node), %d of %d in use, %d waiting %v", s.InUse, s.Slots, s.Waiting, s.Servers)
		}
		fmt.Fprintln(out)
	}
	printRefusal(out, d.Refusal)
	printCandidates(out, d.Candidates)
}

// loadOrder orders the servers by when they could serve an adapter that they have to load.
func loadOrder(c forward.WhereCandidate) int64 {
	if c.LoadOption == nil || c.LoadOption.Excluded != "" {
		return math.MaxInt64
	}
	return c.LoadOption.WaitMs
}

// printCandidates prints a table of the servers, those first that the request can go to.
func printCandidates(out io.Writer, candidates []forward.WhereCandidate) {
	if len(candidates) == 0 {
		return
	}
	sorted := slices.Clone(candidates)
	slices.SortStableFunc(sorted, func(a, b forward.WhereCandidate) int {
		return cmp.Or(
			cmp.Compare(b.Probability, a.Probability), cmp.Compare(loadOrder(a), loadOrder(b)), cmp.Compare(a.Total, b.Total),
		)
	})
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "SERVER\tZONE\tPROBABILITY\tSCORE\t= LOAD\t+ FAILURES\t+ BACKLOG\t+ ZONE\t+ CONNECTION\t+ GAP\t+ EXCESS\tRUNS\tAGE\tROOM IN\tLOAD WAIT\tEXCLUDED")
	for _, c := range sorted {
		load := "-"
		if o := c.LoadOption; o != nil && o.Excluded == "" {
			load = fmt.Sprintf("%d ms", o.WaitMs)
		} else if o != nil {
			load = o.Excluded
		}
		age := "-"
		if c.AgeMs >= 0 {
			age = fmt.Sprintf("%d ms", c.AgeMs)
		}
		fmt.Fprintf(table, "%s\t%s\t%.3g\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%d/%d\t%s\t%d ms\t%s\t%s\n", c.Server, c.Zone,
			c.Probability, c.Total, c.Score.Load, c.Score.Failures, c.Score.Backlog, c.Score.Zone, c.Score.Connection, c.Score.Gap,
			c.Score.Excess, c.Load, c.Slots, age, c.RoomInMs, load, c.Excluded)
	}
	_ = table.Flush()
}
