package peerlink_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"waxwingcleat.example/waxwingcleat/internal/peerlink"
	"waxwingcleat.example/waxwingcleat/internal/slotdispatch"
)

// Guards against fields of requests and answers about slots that are omitted or swapped in a message.
func TestSlotMessagesRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		milliseconds := func(label string) time.Duration {
			return time.Duration(rapid.IntRange(0, 5000).Draw(t, label)) * time.Millisecond
		}
		request := slotdispatch.Request{
			Node: "10.0.0.1:7000", Zone: "z", ID: rapid.Uint64().Draw(t, "id"), Priority: rapid.IntRange(0, 9).Draw(t, "priority"),
			Customer: rapid.String().Draw(t, "customer"), Patience: milliseconds("patience"), Lifetime: milliseconds("lifetime"),
			Excluded: rapid.SliceOfN(rapid.StringMatching(`[a-z]{1,4}`), 1, 3).Draw(t, "excluded"),
		}
		answer := slotdispatch.Answer{
			Server: rapid.String().Draw(t, "server"), Queued: rapid.Bool().Draw(t, "queued"),
			Unusable: rapid.Bool().Draw(t, "unusable"), TurnIn: milliseconds("turn") + time.Millisecond,
			Ahead: rapid.IntRange(0, 99).Draw(t, "ahead"), PerSecond: rapid.Float64Range(0, 999).Draw(t, "rate"),
		}
		use := slotdispatch.Use{Node: "n", ID: 7, Server: answer.Server, Lifetime: request.Lifetime}
		end := slotdispatch.End{Work: milliseconds("work"), Full: rapid.Bool().Draw(t, "full")}
		sent := peerlink.Message{Slots: &peerlink.SlotMessage{
			Service: "plain", Instance: 5, Ask: peerlink.NewSlotAsk(request),
			Answers: []peerlink.SlotAnswer{peerlink.NewSlotAnswer(request.ID, answer)},
			Uses:    []peerlink.SlotUse{{ID: 7, Server: use.Server, LifetimeMs: use.Lifetime.Milliseconds()}},
			Ends:    []peerlink.SlotEnd{{ID: 8, WorkUs: end.Work.Microseconds(), Full: end.Full}},
		}}
		data, err := json.Marshal(sent)
		if err != nil {
			t.Fatal(err)
		}
		var received peerlink.Message
		if err := json.Unmarshal(data, &received); err != nil {
			t.Fatal(err)
		}
		g := gomega.NewWithT(t)
		g.Expect(received.Slots).To(gomega.Equal(sent.Slots))
		g.Expect(received.Slots.Ask.Decode(request.Node, request.Zone)).To(gomega.Equal(request))
		g.Expect(received.Slots.Answers[0].Decode()).To(gomega.Equal(answer))
		g.Expect(received.Slots.Uses[0].Decode("n")).To(gomega.Equal(use))
		g.Expect(received.Slots.Ends[0].Decode()).To(gomega.Equal(end))
	})
}

// Guards against an answer that a node takes for an assignment or for a rejection without a time, and against the size of
// the three messages of a request.
func TestSlotMessagesAreSmall(t *testing.T) {
	g := gomega.NewWithT(t)
	const id = uint64(1_764_873_000_000_000) << 8
	short := peerlink.NewSlotAnswer(id, slotdispatch.Answer{TurnIn: time.Microsecond})
	g.Expect(short.Decode().TurnIn).To(gomega.BeNumerically(">", 0))
	total := 0
	for _, slots := range []*peerlink.SlotMessage{
		{Service: "captions", Ask: peerlink.NewSlotAsk(slotdispatch.Request{ID: id, Customer: "customer-01", Patience: time.Second, Lifetime: time.Second})},
		{Service: "captions", Instance: 1_764_873_000_001, Answers: []peerlink.SlotAnswer{peerlink.NewSlotAnswer(id, slotdispatch.Answer{Server: "captions-1"})}},
		{Service: "captions", Ends: []peerlink.SlotEnd{{ID: id, WorkUs: 15_000}}},
	} {
		data, err := json.Marshal(peerlink.Message{From: "10.20.30.40:7000", Zone: "zone-a", Slots: slots})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		t.Logf("%d B: %s", len(data), data)
		total += len(data)
	}
	g.Expect(total).To(gomega.BeNumerically("<", 512))
}
