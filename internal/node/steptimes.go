package node

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"waxwingcleat.example/waxwingcleat/internal/crashguard"
	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/modelpick"
	"waxwingcleat.example/waxwingcleat/internal/residency"
	"waxwingcleat.example/waxwingcleat/internal/serving"
	"waxwingcleat.example/waxwingcleat/internal/steptime"
)

// recordEvent records the time between two events of a stream. On sites of few nodes nothing is recorded, as the choice
// doesn't use it there.
func (n *Node) recordEvent(now time.Time, server crashguard.Incarnation, gap time.Duration) {
	if !(modelpick.Query{Nodes: n.peers.count()}).Spreads() {
		return
	}
	if n.stepTimes.Record(now, steptime.Server{ID: server.ServerID, Born: server.Born}, gap) {
		n.usage.Changed(server.ServerID)
	}
}

// addEvents adds what this node saw of a server's events to its usage.
func (n *Node) addEvents(now time.Time, server string, usage *residency.Usage) {
	if born, observed, known := n.stepTimes.Report(now, server); known {
		usage.EventGap, usage.Events, usage.EventsBorn = observed.Gap, observed.Events, born
	}
}

func (n *Node) logSlowness(server serving.Server, cost steptime.Cost, running int) {
	if cost.Slowness > 1 {
		metrics.GetOrRegisterCounter("holders.slowSpells", nil).Inc(1)
	}
	n.events.Emit(event.ServerSlow, event.Fields{
		"server": server.ID, "born": server.Born, "slowness": cost.Slowness, "running": running,
		"eventMs": cost.Gap(running).Milliseconds(), "baseUs": cost.Base.Microseconds(), "perRunUs": cost.PerRun.Microseconds(),
	})
}
