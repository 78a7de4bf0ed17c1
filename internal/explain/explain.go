package explain

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/crashguard"
	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/forward"
	"waxwingcleat.example/waxwingcleat/internal/serving"
)

const (
	// serverWindowBefore and serverWindowAfter bound the search for events of a server around a failure: its holder
	// requests a report every 500 ms, and its entry expires within seconds.
	serverWindowBefore = 3 * time.Second
	serverWindowAfter  = 2 * time.Second
	// leaseWindowBefore is how far before a missing load a change of holders is searched; a lease lasts 3 s.
	leaseWindowBefore = 5 * time.Second
	// streamWindowBefore is how far before a refused resumption the start of a node is searched; most streams end within it.
	streamWindowBefore = 15 * time.Second
	// limitWindowBefore is how far before a refusal the limits of servers are searched; their use is logged each 5 s.
	limitWindowBefore = 10 * time.Second
	// noticeWindowBefore is how far before a refusal it's searched what servers said of leaving and rest.
	noticeWindowBefore = time.Minute
	// blockWindowBefore is how far before a refusal the block of a prompt part is searched.
	blockWindowBefore = time.Hour
	// correlationWindow is the time around a failure in which other requests are compared with it.
	correlationWindow = time.Second
	// minimumCorrelated is how many other requests must have failed alike for the cause to count as shared.
	minimumCorrelated = 2
)

// Explanation is the outcome of one request and its cause according to a log.
type Explanation struct {
	Request string
	// Outcome is the reason of the final answer; empty if the log contains none.
	Outcome string
	// Cause is one sentence; empty if it can't be determined from the log.
	Cause string
	// Own holds the events that name the request, Evidence the events that show the cause.
	Own      []Line
	Evidence []Line
}

// Failed returns the requests that didn't get a complete answer of a server, or got a server error, oldest first.
// Requests whose caller disconnected don't count as failed.
func (l *Log) Failed() (requests []string) {
	for _, line := range l.Lines {
		if isFinal(line) && failed(line) {
			requests = append(requests, line.text("request"))
		}
	}
	return requests
}

func isFinal(line Line) bool {
	return (line.Event == event.RequestAnswered.Number || line.Event == event.RequestRefused.Number) &&
		line.text("request") != ""
}

func failed(line Line) bool {
	reason := line.text("reason")
	if strings.HasPrefix(reason, forward.ReasonCallerLeft) {
		return false
	}
	return line.Event == event.RequestRefused.Number || reason == forward.ReasonBrokeOff ||
		line.number("status") >= http.StatusInternalServerError
}

// Explain returns the outcome of a request and its cause.
func (l *Log) Explain(request string) Explanation {
	e := Explanation{Request: request, Own: l.requestEvents(request)}
	for _, line := range e.Own {
		if isFinal(line) {
			e.Outcome = line.text("reason")
			e.Cause, e.Evidence = l.cause(line)
		}
	}
	return e
}

func (l *Log) cause(final Line) (string, []Line) {
	reason, server := final.text("reason"), final.text("server")
	switch {
	case strings.HasPrefix(reason, forward.ReasonCallerLeft):
		return "the caller disconnected before it got its answer", nil
	case reason == forward.ReasonNoRoute || reason == forward.ReasonBadTarget || reason == forward.ReasonTooLarge ||
		final.number("status") == http.StatusBadRequest || final.number("status") == http.StatusUnauthorized:
		return "the request isn't allowed: " + reason, nil
	case reason == forward.ReasonNoConfig:
		return "the node had no configuration yet", l.storeEvents(final)
	case reason == forward.ReasonKeyUnproven:
		return "the node couldn't tell whether its configuration was recent enough to check the API key", l.storeEvents(final)
	case reason == forward.ReasonUnknownOrigin:
		return "neither a reachable node nor the store knew at which software version the stream began", l.restarts(final)
	case reason == forward.ReasonNoServer:
		return l.noUsableServer(final)
	case reason == forward.ReasonLimited:
		return l.limited(final)
	case reason == forward.ReasonResting:
		return l.resting(final)
	case reason == forward.ReasonStopping:
		return "the node was stopping, and the request came late or its server worked for longer", nil
	case reason == forward.ReasonBrittle:
		return l.brittle(final)
	case reason == forward.ReasonCrashing, reason == forward.ReasonCrashingRequest:
		return l.crashing(final)
	case reason == forward.ReasonNotLoaded || reason == forward.ReasonOverloaded:
		return l.notLoaded(final)
	case reason == forward.ReasonPrefillQueueTooLong || reason == forward.ReasonAllBusy ||
		reason == forward.ReasonWaitedTooLong:
		return l.overload(final)
	case server != "":
		return l.serverFault(final, server)
	}
	return "", nil
}

// serverFault returns the fault of the server that handled the request.
func (l *Log) serverFault(final Line, server string) (string, []Line) {
	disruptions := l.around(final.At, serverWindowBefore, serverWindowAfter, func(line Line) bool {
		return line.text("server") == server && isDisruption(line)
	})
	for _, line := range disruptions {
		switch line.Event {
		case event.ServerRestarted.Number:
			return "server " + server + " restarted and lost everything it had loaded", disruptions
		case event.ServerReportFailed.Number:
			return "server " + server + " was out of reach: " + line.text("error"), disruptions
		case event.ServerEntryChanged.Number:
			return "server " + server + " was leaving", disruptions
		}
	}
	others := l.around(final.At, correlationWindow, correlationWindow, func(line Line) bool {
		return line.text("server") == server && line.text("request") != final.text("request") &&
			(line.Event == event.RequestAttempt.Number || isFinal(line) && failed(line))
	})
	if len(others) >= minimumCorrelated {
		return fmt.Sprintf("server %s failed %d other requests within a second", server, len(others)), others
	}
	succeeded := l.around(final.At, correlationWindow, correlationWindow, func(line Line) bool {
		return line.text("server") == server && isFinal(line) && !failed(line)
	})
	if len(succeeded) > 0 {
		cause := fmt.Sprintf("a single connection or answer of server %s was lost; it answered %d others within a second",
			server, len(succeeded))
		return cause, l.requestEventsOfKind(final, event.RequestAttempt)
	}
	return "", nil
}

// isDisruption reports whether an event shows that a server restarted, was unreachable, or was leaving.
func isDisruption(line Line) bool {
	switch line.Event {
	case event.ServerRestarted.Number, event.ServerReportFailed.Number:
		return true
	case event.ServerEntryChanged.Number:
		removed, _ := line.Fields["removed"].(bool)
		draining, _ := line.Fields["draining"].(bool)
		return removed || draining || line.number("leavesInMs") > 0
	}
	return false
}

// requestEventsOfKind returns the events of one kind that name the same request as final.
func (l *Log) requestEventsOfKind(final Line, kind event.Event) (found []Line) {
	for _, line := range l.requestEvents(final.text("request")) {
		if line.Event == kind.Number {
			found = append(found, line)
		}
	}
	return found
}

// noUsableServer returns why the request's node could use no server.
func (l *Log) noUsableServer(final Line) (string, []Line) {
	disruptions := l.around(final.At, serverWindowBefore, 0, func(line Line) bool {
		ejected := line.Event == event.ServerEjected.Number && line.text("node") == final.text("node")
		return ejected || isDisruption(line)
	})
	leaving := l.around(final.At, noticeWindowBefore, 0, func(line Line) bool {
		return line.Event == event.ServerSaysItLeaves.Number
	})
	if disruptions = append(leaving, disruptions...); len(disruptions) == 0 {
		return "", nil
	}
	return "the servers of the service were leaving, failing or unreachable", disruptions
}

// notLoaded returns why no server had loaded the adapter in time.
func (l *Log) notLoaded(final Line) (string, []Line) {
	adapter := final.text("adapter")
	waited := time.Duration(final.number("ms")) * time.Millisecond
	orders := l.around(final.At, waited+serverWindowBefore, 0, func(line Line) bool {
		return line.Event == event.OrderGiven.Number && line.text("adapter") == adapter &&
			line.text("order") == serving.Load.String()
	})
	if len(orders) > 0 {
		lastOrder := orders[len(orders)-1]
		return fmt.Sprintf("server %s was ordered to load the adapter and answered %q; the load did not finish in time",
			lastOrder.text("server"), lastOrder.text("outcome")), orders
	}
	for _, line := range l.requestEventsOfKind(final, event.AdapterWanted) {
		if cause, evidence := l.loadTargetFault(line, line.text("server")); cause != "" {
			return cause, append([]Line{line}, evidence...)
		}
	}
	return loadObstacles(final), nil
}

// loadObstacles returns why no server could load an adapter, according to the state known to the request's node.
func loadObstacles(final Line) string {
	servers := final.number("servers")
	unable := final.number("leaving") + final.number("resting") + final.number("leftAlone") + final.number("withoutHolder") + final.number("full")
	if servers == 0 || unable < servers/2 {
		return ""
	}
	return fmt.Sprintf("most servers could not load the adapter: of %.0f, "+
		"%.0f were leaving, %.0f had asked for rest, %.0f were ejected after failures, %.0f without a holder and %.0f full",
		servers, final.number("leaving"), final.number("resting"), final.number("leftAlone"), final.number("withoutHolder"), final.number("full"))
}

// limited returns which limits of servers left no room for a request.
func (l *Log) limited(final Line) (string, []Line) {
	limits := l.around(final.At, limitWindowBefore, 0, func(line Line) bool {
		return line.Event == event.LimitLearned.Number || line.Event == event.LimitChanged.Number ||
			line.Event == event.LimitUsage.Number
	})
	return fmt.Sprintf("%.0f of %.0f servers named a limit of requests, and there was no room for %.0f ms",
		final.number("limited"), final.number("servers"), final.number("roomInMs")), limits
}

// resting returns which servers had asked the request's node for rest.
func (l *Log) resting(final Line) (string, []Line) {
	rests := l.around(final.At, noticeWindowBefore, 0, func(line Line) bool {
		return line.Event == event.ServerAsksForRest.Number && line.text("node") == final.text("node")
	})
	return fmt.Sprintf("%.0f of %.0f servers had asked the node for rest and the others were leaving; the first rest had %.0f ms left",
		final.number("resting"), final.number("servers"), final.number("restEndsInMs")), rests
}

// brittle returns which servers were brittle while no coordinator assigned their room.
func (l *Log) brittle(final Line) (string, []Line) {
	servers := l.around(final.At, limitWindowBefore, 0, func(line Line) bool {
		return line.Event == event.ServerBrittle.Number || line.Event == event.SlotDispatcherSilent.Number
	})
	return "servers were brittle, and the node that knows the requests of all nodes there didn't answer", servers
}

// crashing returns under which part of its prompt servers ended, so that the request was refused.
func (l *Log) crashing(final Line) (string, []Line) {
	part := final.text("part")
	blocks := l.around(final.At, blockWindowBefore, 0, func(line Line) bool {
		return line.text("part") == part &&
			(line.Event == event.PartBlocked.Number || line.Event == event.PartTried.Number)
	})
	cause := fmt.Sprintf("servers ended under requests with the prompt part %s, so that no more of them are sent", part)
	if crashguard.IsRequest(part) {
		cause = fmt.Sprintf("servers ended under this request (%s), so that it isn't sent again", part)
	}
	return cause, blocks
}

// loadTargetFault returns why the server chosen to load an adapter got no order for it.
func (l *Log) loadTargetFault(demand Line, target string) (string, []Line) {
	disruptions := l.around(demand.At, serverWindowBefore, serverWindowAfter, func(line Line) bool {
		return line.text("server") == target && isDisruption(line)
	})
	if len(disruptions) > 0 {
		return "server " + target + ", chosen to load the adapter, was unreachable, restarted or leaving", disruptions
	}
	leases := l.around(demand.At, leaseWindowBefore, serverWindowAfter, func(line Line) bool {
		return line.Event == event.LeaseGained.Number || line.Event == event.LeaseLost.Number
	})
	if len(leases) > 0 {
		return "server " + target + " was chosen to load the adapter while its holder changed", leases
	}
	otherOrders := l.around(demand.At, correlationWindow, serverWindowAfter, func(line Line) bool {
		return line.Event == event.OrderGiven.Number && line.text("server") == target
	})
	if len(otherOrders) > 0 {
		return fmt.Sprintf("server %s was busy with %d orders for other adapters", target, len(otherOrders)), otherOrders
	}
	return "", nil
}

// overload looks for other requests that were refused for the same reason at the same time.
func (l *Log) overload(final Line) (string, []Line) {
	others := l.around(final.At, correlationWindow, correlationWindow, func(line Line) bool {
		return isFinal(line) && line.text("reason") == final.text("reason") && line.text("request") != final.text("request")
	})
	served := l.around(final.At, correlationWindow, correlationWindow, func(line Line) bool {
		return isFinal(line) && !failed(line)
	})
	if len(others) < minimumCorrelated && final.text("server") != "" {
		return l.serverFault(final, final.text("server"))
	}
	if len(others) < minimumCorrelated {
		return loadObstacles(final), nil
	}
	return fmt.Sprintf("the servers were full: %d other requests got the same answer within a second, %d were served",
		len(others), len(served)), others
}

// restarts returns the starts of nodes that may have forgotten a stream.
func (l *Log) restarts(final Line) []Line {
	return l.around(final.At, streamWindowBefore, 0, func(line Line) bool {
		return line.Event == event.ProcessStarted.Number
	})
}

// storeEvents returns the outages and recoveries of the store, and the start, of the request's node before.
func (l *Log) storeEvents(final Line) []Line {
	return l.around(final.At, leaseWindowBefore, 0, func(line Line) bool {
		return line.text("node") == final.text("node") && (line.Event == event.StoreLost.Number ||
			line.Event == event.StoreRegained.Number || line.Event == event.ProcessStarted.Number)
	})
}
