package node

import (
	"encoding/json"
	"testing"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/peerlink"
	"waxwingcleat.example/waxwingcleat/internal/serverlease"
	"waxwingcleat.example/waxwingcleat/internal/serving"
)

// BenchmarkDispatchedRequest measures what one request costs its dispatcher: the messages of another node are decoded, the
// slot is assigned, the answer is sent, and the slot is given back.
func BenchmarkDispatchedRequest(b *testing.B) {
	link, err := peerlink.Listen("127.0.0.1:0", "a", event.Discard())
	if err != nil {
		b.Fatal(err)
	}
	settings := DefaultSettings()
	settings.Store.Partitions = 8
	n := newNode(settings, Dependencies{Connections: NewConnections(), Events: event.Discard()}, link)
	n.leases.core = serverlease.New(serverlease.Options{Partitions: 1, TTL: time.Hour})
	n.leases.core.Joined(bootTime(), bootTime(), serving.Membership{Generation: 1, Partitions: []int{0}})
	for _, id := range []string{"s0", "s1", "s2"} {
		n.view.PutEntry(time.Now(), serving.Server{ID: id, Service: "plain", Address: id, Zone: "a", Slots: 6})
	}
	// Nobody reads the answers to this address.
	const from = "127.0.2.9:20192"
	receive := func(message *peerlink.SlotMessage) (bytes int) {
		data, err := json.Marshal(peerlink.Message{From: from, Zone: "a", Slots: message})
		if err != nil {
			b.Fatal(err)
		}
		var received peerlink.Message
		if err := json.Unmarshal(data, &received); err != nil {
			b.Fatal(err)
		}
		n.slots.handleMessage(time.Now(), received)
		return len(data)
	}
	bytes := 0
	id := uint64(time.Now().UnixMicro()) << 8
	for b.Loop() {
		id++
		bytes = receive(&peerlink.SlotMessage{Service: "plain", Ask: &peerlink.SlotAsk{ID: id, PatienceMs: 180, LifetimeMs: 600}})
		bytes += receive(&peerlink.SlotMessage{Service: "plain", Ends: []peerlink.SlotEnd{{ID: id, WorkUs: 15_000}}})
	}
	b.ReportMetric(float64(bytes), "received-B/request")
}
