package peerlink_test

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"pgregory.net/rapid"

	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/peerlink"
	"waxwingcleat.example/waxwingcleat/internal/residency"
	"waxwingcleat.example/waxwingcleat/internal/serverview"
	"waxwingcleat.example/waxwingcleat/internal/serving"
	"waxwingcleat.example/waxwingcleat/internal/steptime"
)

var adapterGenerator = rapid.Custom(func(t *rapid.T) serving.Adapter {
	return serving.Adapter{
		Model: rapid.StringMatching(`[a-z]{1,4}`).Draw(t, "model"), Name: rapid.StringMatching(`[a-z0-9]{0,4}`).Draw(t, "name"),
	}
})

// Guards against fields of a published state that are omitted or swapped when it's encoded into a message.
func TestPublishedStatesRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent := serverview.Published{
			Kind:     rapid.SampledFrom([]serverview.PublicationKind{serverview.Full, serverview.Delta}).Draw(t, "kind"),
			Revision: rapid.Uint64().Draw(t, "revision"), Base: rapid.Uint64().Draw(t, "base"),
			Removed:  rapid.SliceOfN(adapterGenerator, 1, 3).Draw(t, "removed"),
			ServerID: rapid.String().Draw(t, "server"), Born: rapid.Int64().Draw(t, "born"),
			Fence: rapid.Int64().Draw(t, "fence"), Sequence: rapid.Uint64().Draw(t, "sequence"),
			Ready: rapid.Bool().Draw(t, "ready"), Slots: serving.SlotQueue{
				Free: rapid.IntRange(-3, 9).Draw(t, "free"), Waiting: [serving.RankCount]int{1, 2, 3, rapid.IntRange(0, 9).Draw(t, "slot queue")},
				Turnover: time.Duration(rapid.IntRange(0, 5000).Draw(t, "turnover")) * time.Millisecond,
				OrdersIn: time.Duration(rapid.IntRange(0, 5000).Draw(t, "orders in")) * time.Millisecond,
			},
			Adapters: rapid.MapOfN(adapterGenerator, rapid.IntRange(0, 9), 0, 3).Draw(t, "adapters"),
			Hot:      adapterGenerator.Draw(t, "hot"),
			Waiting:  rapid.IntRange(0, 99).Draw(t, "waiting"), Running: rapid.IntRange(0, 99).Draw(t, "running"),
			Backlog: time.Duration(rapid.IntRange(0, 5000).Draw(t, "backlog")) * time.Millisecond,
			LoadAge: time.Duration(rapid.IntRange(0, 5000).Draw(t, "load age")) * time.Millisecond,
			Asked:   rapid.IntRange(0, 99).Draw(t, "asked"), Arrivals: float64(rapid.IntRange(0, 999).Draw(t, "arrivals")) / 10,
			Step: steptime.Cost{
				Base:     time.Duration(rapid.IntRange(0, 99999).Draw(t, "step")) * time.Microsecond,
				PerRun:   time.Duration(rapid.IntRange(0, 9999).Draw(t, "step per run")) * time.Microsecond,
				Slowness: float64(rapid.IntRange(0, 999).Draw(t, "slowness")) / 100,
			},
			LoadTimes: serving.LoadTimes{
				Cold: time.Duration(rapid.IntRange(0, 999).Draw(t, "cold load")) * time.Millisecond,
				Warm: time.Duration(rapid.IntRange(0, 999).Draw(t, "warm load")) * time.Millisecond,
			},
			Holder: "10.0.0.1:7000",
		}
		message := peerlink.Message{From: sent.Holder}
		message.AddState(sent)
		message.Arrived = []peerlink.Arrival{{ServerID: "s", Adapter: sent.Hot.String(), Version: 3}}
		data, err := json.Marshal(message)
		if err != nil {
			t.Fatal(err)
		}
		var received peerlink.Message
		if err := json.Unmarshal(data, &received); err != nil {
			t.Fatal(err)
		}
		g := gomega.NewWithT(t)
		g.Expect(received.Published()).To(gomega.Equal([]serverview.Published{sent}))
		g.Expect(received.Arrived[0].AdapterVersion()).To(gomega.Equal(serving.AdapterVersion{Adapter: sent.Hot, Version: 3}))
	})
}

// Guards against messages that are counted as another kind, or not at all, so that the cost of a large site can't be explained.
func TestMessagesAreCountedByKind(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx, stop := context.WithCancel(t.Context())
	a, err := peerlink.Listen("127.0.0.1:0", "z", event.Discard())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	received := make(chan peerlink.Message, 1)
	ended := make(chan error, 1)
	// No other test binds ports of this address.
	b, err := peerlink.Listen("127.0.2.7:20191", "z", event.Discard())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	go func() { ended <- b.Run(ctx, func(_ time.Time, m peerlink.Message) { received <- m }) }()
	count := func(name string) int64 { return metrics.GetOrRegisterCounter("peerlink."+name, nil).Count() }
	for kind, message := range map[string]peerlink.Message{
		"keepalive": {Nodes: 3}, "ends": {BlockedParts: []peerlink.BlockedPart{{}}}, "usage": {Usage: []peerlink.ServerUsage{{}}},
		"admission": {Granted: []uint64{1}}, "origins": {OriginQuery: &peerlink.OriginQuery{}},
		"unreachable": {UnreachableServers: []string{"s"}}, "limits": {LimitRequest: &peerlink.LimitRequest{}},
		"arrivals": {Arrived: []peerlink.Arrival{{}}}, "slots": {Slots: &peerlink.SlotMessage{}},
	} {
		sent, got, bytes := count("sent."+kind), count("received."+kind), count("sentBytes")
		a.Send(message, b.Address(), b.Address())
		<-received
		<-received
		g.Expect(count("sent."+kind)-sent).To(gomega.BeEquivalentTo(2), kind)
		g.Expect(count("received."+kind)-got).To(gomega.BeEquivalentTo(2), kind)
		g.Expect(count("sentBytes") - bytes).To(gomega.BeNumerically(">", 2*10))
	}
	stop()
	g.Expect(<-ended).NotTo(gomega.HaveOccurred())
}

// Guards against observations of events that don't reach the holder, or count for another incarnation of the server.
func TestObservedEventsRoundTrip(t *testing.T) {
	g := gomega.NewWithT(t)
	sent := residency.Usage{EventGap: 41234 * time.Microsecond, Events: 4, EventsBorn: 7}
	received := peerlink.NewUsage("s", sent).Decode("n")
	g.Expect(received.EventGap).To(gomega.Equal(sent.EventGap))
	g.Expect(received.Events).To(gomega.Equal(4))
	g.Expect(received.EventsBorn).To(gomega.Equal(int64(7)))
}
