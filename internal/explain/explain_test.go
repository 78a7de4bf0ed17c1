package explain_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/explain"
	"waxwingcleat.example/waxwingcleat/internal/forward"
)

// logBuilder writes lines in the format of the nodes, each with a time in milliseconds, an event and further JSON
// fields.
type logBuilder struct{ text strings.Builder }

func (l *logBuilder) add(ms int, e event.Event, fields string) {
	at := time.Date(2026, 12, 3, 10, 0, 0, 0, time.UTC).Add(time.Duration(ms) * time.Millisecond)
	fmt.Fprintf(&l.text, `%9.4f node-1 {"time":%q,"event":%d,"node":"node-1",%s}`+"\n",
		float64(ms)/1000, at.Format("2006-01-02T15:04:05.000Z07:00"), e.Number, fields)
}

func (l *logBuilder) explain(g *gomega.WithT, request string) explain.Explanation {
	var log explain.Log
	g.Expect(log.Read(strings.NewReader(l.text.String()))).To(gomega.Succeed())
	return log.Explain(request)
}

func refusal(request, reason, extra string) string {
	return fmt.Sprintf(`"request":%q,"reason":%q,"status":503,"ms":400%s`, request, reason, extra)
}

// Guards against a failed request that is attributed to the network while its server was down.
func TestLostAnswerNamesTheServerThatWasDown(t *testing.T) {
	g := gomega.NewWithT(t)
	var l logBuilder
	l.add(1000, event.RequestAttempt, `"request":"r1","server":"s1","error":"connection reset by peer"`)
	l.add(1001, event.RequestRefused, refusal("r1", forward.ReasonNoAnswer, `,"server":"s1"`))
	l.add(1400, event.ServerReportFailed, `"server":"s1","error":"connection refused"`)
	l.add(1400, event.ServerReportFailed, `"server":"s2","error":"not this one"`)
	e := l.explain(g, "r1")
	g.Expect(e.Outcome).To(gomega.Equal(forward.ReasonNoAnswer))
	g.Expect(e.Cause).To(gomega.Equal("server s1 was out of reach: connection refused"))
	g.Expect(e.Own).To(gomega.HaveLen(2))
	g.Expect(e.Evidence).To(gomega.HaveLen(1))
}

// Guards against a refused resumption without the restarts of nodes that may have known the stream.
func TestRefusedResumptionNamesTheRestartedNodes(t *testing.T) {
	g := gomega.NewWithT(t)
	var l logBuilder
	l.add(500, event.ProcessStarted, `"listen":"x"`)
	l.add(1000, event.OriginResolved, `"request":"r1","reason":"unknown"`)
	l.add(1001, event.RequestRefused, refusal("r1", forward.ReasonUnknownOrigin, ""))
	e := l.explain(g, "r1")
	g.Expect(e.Cause).To(gomega.Equal("neither a reachable node nor the store knew at which software version the stream began"))
	g.Expect(e.Evidence).To(gomega.HaveLen(1))
}

// Guards against requests that are refused because of their keys without a cause.
func TestRefusedKeysHaveACause(t *testing.T) {
	g := gomega.NewWithT(t)
	var l logBuilder
	l.add(900, event.StoreLost, `"error":"refused"`)
	l.add(1000, event.RequestRefused, refusal("r1", forward.ReasonKeyUnproven, `,"status":503`))
	l.add(1001, event.RequestRefused, refusal("r2", forward.ReasonKeyUnknown, `,"status":401`))
	e := l.explain(g, "r1")
	g.Expect(e.Cause).To(gomega.ContainSubstring("recent enough to check the API key"))
	g.Expect(e.Evidence).To(gomega.HaveLen(1))
	g.Expect(l.explain(g, "r2").Cause).To(gomega.Equal("the request isn't allowed: " + forward.ReasonKeyUnknown))
}

// Guards against a server that is reported as failing after one lost answer while it serves all other requests.
func TestSingleLostAnswerIsDistinguishedFromAFailingServer(t *testing.T) {
	g := gomega.NewWithT(t)
	var l logBuilder
	l.add(1000, event.RequestAnswered, `"request":"r2","server":"s1","reason":"passed on whole","status":200`)
	l.add(1001, event.RequestRefused, refusal("r1", forward.ReasonNoAnswer, `,"server":"s1"`))
	g.Expect(l.explain(g, "r1").Cause).To(gomega.HavePrefix("a single connection or answer of server s1 was lost"))
	l.add(1100, event.RequestAttempt, `"request":"r3","server":"s1"`)
	l.add(1200, event.RequestAttempt, `"request":"r4","server":"s1"`)
	g.Expect(l.explain(g, "r1").Cause).To(gomega.Equal("server s1 failed 2 other requests within a second"))
}

// Guards against a missing cause for an adapter that wasn't loaded although the log shows a change of its holder, an
// unreachable server, or a refused order.
func TestMissingAdapterNamesWhatDelayedItsLoad(t *testing.T) {
	for name, c := range map[string]struct {
		kind  event.Event
		field string
		cause string
	}{
		"holder": {event.LeaseGained, `"partitions":[1]`, "while its holder changed"},
		"server": {event.ServerReportFailed, `"server":"s1"`, "unreachable, restarted or leaving"},
		"orders": {event.OrderGiven, `"server":"s1","adapter":"m/other"`, "busy with 1 orders"},
		"refused": {
			event.OrderGiven, `"server":"s1","adapter":"m/a","order":"load","outcome":"conflict"`, `answered "conflict"`,
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var l logBuilder
			l.add(900, event.AdapterWanted, `"request":"r1","server":"s1","adapter":"m/a"`)
			l.add(1000, c.kind, c.field)
			l.add(1300, event.RequestRefused, refusal("r1", forward.ReasonNotLoaded, `,"adapter":"m/a"`))
			g.Expect(l.explain(g, "r1").Cause).To(gomega.ContainSubstring(c.cause))
		})
	}
}

// Guards against a missing cause for a refusal without a server that could be chosen to load the adapter.
func TestRefusalWithoutALoadTargetNamesTheObstacles(t *testing.T) {
	g := gomega.NewWithT(t)
	var l logBuilder
	l.add(1300, event.RequestRefused, refusal("r1", forward.ReasonNotLoaded,
		`,"adapter":"m/a","servers":9,"leftAlone":2,"withoutHolder":5,"full":1`))
	g.Expect(l.explain(g, "r1").Cause).To(gomega.Equal("most servers could not load the adapter: of 9, " +
		"0 were leaving, 0 had asked for rest, 2 were ejected after failures, 5 without a holder and 1 full"))
}

// Guards against a missing cause for a request that was refused at once because every server was full.
func TestRefusalAtOnceNamesTheObstacles(t *testing.T) {
	g := gomega.NewWithT(t)
	var l logBuilder
	l.add(1300, event.RequestRefused, refusal("r1", forward.ReasonOverloaded,
		`,"adapter":"m/a","servers":9,"leftAlone":0,"withoutHolder":1,"full":8`))
	g.Expect(l.explain(g, "r1").Cause).To(gomega.Equal("most servers could not load the adapter: of 9, " +
		"0 were leaving, 0 had asked for rest, 0 were ejected after failures, 1 without a holder and 8 full"))
}

// Guards against a missing cause for a request that the limits of servers left no room for.
func TestRefusalByALimitNamesIt(t *testing.T) {
	g := gomega.NewWithT(t)
	var l logBuilder
	l.add(400, event.LimitLearned, `"server":"s1","perSecond":2.8,"source":"answer"`)
	l.add(1300, event.RequestRefused, refusal("r1", forward.ReasonLimited,
		`,"server":"s1","servers":2,"limited":1,"roomInMs":900`))
	e := l.explain(g, "r1")
	g.Expect(e.Cause).To(gomega.Equal("1 of 2 servers named a limit of requests, and there was no room for 900 ms"))
	g.Expect(e.Evidence).To(gomega.HaveLen(1))
}

// Guards against refusals without a cause while servers rest or say that they leave.
func TestRefusalNamesWhatServersSay(t *testing.T) {
	g := gomega.NewWithT(t)
	var l logBuilder
	l.add(400, event.ServerAsksForRest, `"server":"s1","restMs":3000,"source":"answer"`)
	l.add(500, event.ServerSaysItLeaves, `"server":"s2","source":"answer"`)
	l.add(1300, event.RequestRefused, refusal("r1", forward.ReasonResting,
		`,"servers":2,"resting":1,"leaving":1,"restEndsInMs":2100`))
	l.add(30_000, event.RequestRefused, refusal("r2", forward.ReasonNoServer, ""))
	e := l.explain(g, "r1")
	g.Expect(e.Cause).To(gomega.Equal(
		"1 of 2 servers had asked the node for rest and the others were leaving; the first rest had 2100 ms left"))
	g.Expect(e.Evidence).To(gomega.HaveLen(1))
	e = l.explain(g, "r2")
	g.Expect(e.Cause).To(gomega.ContainSubstring("leaving"))
	g.Expect(e.Evidence).To(gomega.HaveLen(1))
}

// Guards against a refusal beside brittle servers that counts as one for lack of servers.
func TestRefusalBesideBrittleServersNamesThem(t *testing.T) {
	g := gomega.NewWithT(t)
	var l logBuilder
	l.add(400, event.ServerBrittle, `"server":"s1","rejectionsPerSecond":3,"source":"answer"`)
	l.add(1200, event.SlotDispatcherSilent, `"service":"plain","dispatcher":"10.0.0.1:7"`)
	l.add(1300, event.RequestRefused, refusal("r1", forward.ReasonBrittle, ""))
	e := l.explain(g, "r1")
	g.Expect(e.Cause).To(gomega.HavePrefix("servers were brittle"))
	g.Expect(e.Evidence).To(gomega.HaveLen(2))
}

// Guards against a refusal that doesn't name the part of the prompt on which servers crash.
func TestRefusalByACrashingPartNamesIt(t *testing.T) {
	g := gomega.NewWithT(t)
	var l logBuilder
	l.add(400, event.PartBlocked, `"part":"bad0","servers":["s1","s2","s3"]`)
	l.add(500, event.PartBlocked, `"part":"other","servers":["s4"]`)
	l.add(9000, event.RequestRefused, refusal("r1", forward.ReasonCrashing, `,"part":"bad0"`))
	explanation := l.explain(g, "r1")
	g.Expect(explanation.Cause).To(gomega.ContainSubstring("bad0"))
	g.Expect(explanation.Evidence).To(gomega.HaveLen(1))
}

// Guards against a made-up cause when the log doesn't show any.
func TestUnknownCauseIsEmpty(t *testing.T) {
	g := gomega.NewWithT(t)
	var l logBuilder
	l.add(1000, event.RequestRefused, refusal("r1", forward.ReasonNoAnswer, `,"server":"s1"`))
	g.Expect(l.explain(g, "r1").Cause).To(gomega.BeEmpty())
	g.Expect(l.explain(g, "r9")).To(gomega.Equal(explain.Explanation{Request: "r9"}))
}

// Guards against a reader that stops at lines of other programs, and against counting disconnected callers as failed.
func TestFailedRequestsAreListed(t *testing.T) {
	g := gomega.NewWithT(t)
	var l logBuilder
	l.text.WriteString("something else\n{\"no\": \"event\"}\n")
	l.add(1, event.RequestRefused, refusal("r1", forward.ReasonAllBusy, ""))
	l.add(2, event.RequestAnswered, `"request":"r2","reason":"passed on whole","status":200`)
	l.add(3, event.RequestRefused, refusal("r3", forward.ReasonCallerLeft, ""))
	l.add(4, event.RequestAnswered, `"request":"r4","reason":"stream broke off","status":200`)
	var log explain.Log
	g.Expect(log.Read(strings.NewReader(l.text.String()))).To(gomega.Succeed())
	g.Expect(log.Failed()).To(gomega.Equal([]string{"r1", "r4"}))
	g.Expect(log.Unread).To(gomega.Equal(2))
}
