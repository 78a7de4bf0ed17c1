package explain

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/forward"
	"waxwingcleat.example/waxwingcleat/internal/serving"
)

const (
	// serverBefore and serverAfter bound the search for what befell a server around a failure: its holder asks for a
	// report each 500 ms, and its entry lapses within seconds.
	serverBefore = 3 * time.Second
	serverAfter  = 2 * time.Second
	// leaseBefore is how long before a missing load a change of holders may lie; a lease lasts 3 s.
	leaseBefore = 5 * time.Second
	// crowdWindow is the time in which other requests with the same fate speak for a shared cause.
	crowdWindow = time.Second
	// crowd is how many of them it takes.
	crowd = 2
)

// Explanation is what a log says of one request.
type Explanation struct {
	Request string
	// Outcome is the reason of the final answer; empty when the log has none.
	Outcome string
	// Cause is one sentence; empty when the log doesn't tell it.
	Cause string
	// Own are the events that name the request, Evidence those that tell the cause.
	Own      []Line
	Evidence []Line
}

// Failed returns the requests whose final answer isn't the whole answer of a server that served them, oldest first.
// Those whose caller left are not among them.
func (l *Log) Failed() (requests []string) {
	for _, line := range l.Lines {
		if isFinal(line) && failed(line) {
			requests = append(requests, line.text("request"))
		}
	}
	return requests
}

func isFinal(line Line) bool {
	return (line.Event == event.RequestAnswered.Number || line.Event == event.RequestRefused.Number) && line.text("request") != ""
}

func failed(line Line) bool {
	reason := line.text("reason")
	if strings.HasPrefix(reason, forward.ReasonCallerLeft) {
		return false
	}
	return line.Event == event.RequestRefused.Number || reason == forward.ReasonBrokeOff ||
		line.number("status") >= http.StatusInternalServerError
}

// Explain tells what became of a request and why.
func (l *Log) Explain(request string) Explanation {
	e := Explanation{Request: request, Own: l.of(request)}
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
		return "the caller left before its answer", nil
	case reason == forward.ReasonNoRoute || reason == forward.ReasonTooLarge || final.number("status") == http.StatusBadRequest:
		return "the request isn't allowed: " + reason, nil
	case reason == forward.ReasonNoConfig:
		return "the node had no configuration yet", l.dependencies(final)
	case reason == forward.ReasonNoServer:
		return l.noServer(final)
	case reason == forward.ReasonNotLoaded:
		return l.notLoaded(final)
	case reason == forward.ReasonPromptsInLine || reason == forward.ReasonAllBusy || reason == forward.ReasonWaitedTooLong:
		return l.crowded(final)
	case server != "":
		return l.serverFault(final, server)
	}
	return "", nil
}

// serverFault tells what befell the server that had the request.
func (l *Log) serverFault(final Line, server string) (string, []Line) {
	news := l.around(final.At, serverBefore, serverAfter, func(line Line) bool {
		return line.text("server") == server && isServerNews(line)
	})
	for _, line := range news {
		switch line.Event {
		case event.ServerRestarted.Number:
			return "server " + server + " restarted and lost what it held", news
		case event.ServerReportFailed.Number:
			return "server " + server + " was out of reach: " + line.text("error"), news
		case event.ServerEntryChanged.Number:
			return "server " + server + " was leaving", news
		}
	}
	others := l.around(final.At, crowdWindow, crowdWindow, func(line Line) bool {
		return line.text("server") == server && line.text("request") != final.text("request") &&
			(line.Event == event.RequestAttempt.Number || isFinal(line) && failed(line))
	})
	if len(others) >= crowd {
		return fmt.Sprintf("server %s failed %d other requests within a second", server, len(others)), others
	}
	well := l.around(final.At, crowdWindow, crowdWindow, func(line Line) bool {
		return line.text("server") == server && isFinal(line) && !failed(line)
	})
	if len(well) > 0 {
		return fmt.Sprintf("a single connection or answer of server %s was lost; it answered %d others within a second", server, len(well)),
			l.ofKind(final, event.RequestAttempt)
	}
	return "", nil
}

func isServerNews(line Line) bool {
	switch line.Event {
	case event.ServerRestarted.Number, event.ServerReportFailed.Number:
		return true
	case event.ServerEntryChanged.Number:
		gone, _ := line.Fields["removed"].(bool)
		draining, _ := line.Fields["draining"].(bool)
		return gone || draining || line.number("leavesInMs") > 0
	}
	return false
}

// ofKind returns the events of one kind that name the same request as the final one.
func (l *Log) ofKind(final Line, kind event.Event) (found []Line) {
	for _, line := range l.of(final.text("request")) {
		if line.Event == kind.Number {
			found = append(found, line)
		}
	}
	return found
}

// noServer tells what took the servers out of use at the request's node.
func (l *Log) noServer(final Line) (string, []Line) {
	news := l.around(final.At, serverBefore, 0, func(line Line) bool {
		ejected := line.Event == event.ServerEjected.Number && line.text("node") == final.text("node")
		return ejected || isServerNews(line)
	})
	if len(news) == 0 {
		return "", nil
	}
	return "the servers of the service were leaving, failing or out of reach", news
}

// notLoaded tells why no server had the adapter in time.
func (l *Log) notLoaded(final Line) (string, []Line) {
	adapter := final.text("adapter")
	waited := time.Duration(final.number("ms")) * time.Millisecond
	orders := l.around(final.At, waited+serverBefore, 0, func(line Line) bool {
		return line.Event == event.OrderGiven.Number && line.text("adapter") == adapter && line.text("order") == serving.Load.String()
	})
	if len(orders) > 0 {
		last := orders[len(orders)-1]
		return fmt.Sprintf("server %s was told to load the adapter and answered %q; it wasn't there in time",
			last.text("server"), last.text("outcome")), orders
	}
	for _, line := range l.ofKind(final, event.AdapterWanted) {
		if cause, evidence := l.homeFault(line, line.text("server")); cause != "" {
			return cause, append([]Line{line}, evidence...)
		}
	}
	return obstacles(final), nil
}

// obstacles tells why no server could be asked to load an adapter, from what the request's node believed.
func obstacles(final Line) string {
	servers := final.number("servers")
	hindered := final.number("leaving") + final.number("leftAlone") + final.number("withoutHolder") + final.number("full")
	if servers == 0 || hindered < servers/2 {
		return ""
	}
	return fmt.Sprintf("most servers could load nothing: of %.0f, %.0f were leaving, %.0f left alone after failures, %.0f without a holder and %.0f full",
		servers, final.number("leaving"), final.number("leftAlone"), final.number("withoutHolder"), final.number("full"))
}

// homeFault tells why the server that was to load an adapter got no order for it.
func (l *Log) homeFault(wanted Line, home string) (string, []Line) {
	news := l.around(wanted.At, serverBefore, serverAfter, func(line Line) bool {
		return line.text("server") == home && isServerNews(line)
	})
	if len(news) > 0 {
		return "server " + home + ", which was to load the adapter, was out of reach, restarted or leaving", news
	}
	leases := l.around(wanted.At, leaseBefore, serverAfter, func(line Line) bool {
		return line.Event == event.LeaseGained.Number || line.Event == event.LeaseLost.Number
	})
	if len(leases) > 0 {
		return "server " + home + " was to load the adapter while its holder changed", leases
	}
	busy := l.around(wanted.At, crowdWindow, serverAfter, func(line Line) bool {
		return line.Event == event.OrderGiven.Number && line.text("server") == home
	})
	if len(busy) > 0 {
		return fmt.Sprintf("server %s was busy with %d orders for other adapters", home, len(busy)), busy
	}
	return "", nil
}

// crowded tells of other requests that were refused for the same reason at the same time.
func (l *Log) crowded(final Line) (string, []Line) {
	others := l.around(final.At, crowdWindow, crowdWindow, func(line Line) bool {
		return isFinal(line) && line.text("reason") == final.text("reason") && line.text("request") != final.text("request")
	})
	served := l.around(final.At, crowdWindow, crowdWindow, func(line Line) bool { return isFinal(line) && !failed(line) })
	if len(others) < crowd && final.text("server") != "" {
		return l.serverFault(final, final.text("server"))
	}
	if len(others) < crowd {
		return obstacles(final), nil
	}
	return fmt.Sprintf("the servers were full: %d other requests got the same answer within a second, %d were served", len(others), len(served)), others
}

// dependencies returns what the request's node lost or regained before.
func (l *Log) dependencies(final Line) []Line {
	return l.around(final.At, leaseBefore, 0, func(line Line) bool {
		return line.text("node") == final.text("node") && (line.Event == event.StoreLost.Number ||
			line.Event == event.StoreRegained.Number || line.Event == event.ProcessStarted.Number)
	})
}
