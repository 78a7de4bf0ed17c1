package slotdispatch_test

import (
	"testing"

	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/slotdispatch"
)

func brittleServer(slots, room, closedUntilMs int) []slotdispatch.Server {
	return []slotdispatch.Server{{ID: "s0", Zone: "a", Slots: slots, Room: room, ClosedUntil: at(closedUntilMs)}}
}

// Guards against a brittle server that gets more requests than it processes at once, which it may have to reject, however
// long the ways to it are.
func TestBrittleServerGetsNoExcessRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	d := slotdispatch.New(at(0), brittleServer(4, 4, 0))
	id, now := uint64(0), settled
	for range 50 {
		var used []uint64
		for d.Ask(at(now), slotdispatch.Request{Node: "n", ID: id, Zone: "a"}).Server != "" {
			used = append(used, id)
			id++
		}
		g.Expect(used).To(gomega.HaveLen(4))
		// The server works for a third of the time for which a slot is in use.
		now += 30
		for _, ended := range used {
			d.Return(at(now), "n", ended, slotdispatch.End{Work: at(10).Sub(at(0))})
		}
		id++
	}
}

// Guards against a new dispatcher that fills a brittle server beside the requests that it doesn't know yet.
func TestNewDispatcherAssumesThatBrittleServersAreFull(t *testing.T) {
	g := gomega.NewWithT(t)
	d := slotdispatch.New(at(0), brittleServer(4, 4, 0))
	g.Expect(d.Ask(at(1), ask(1)).Queued).To(gomega.BeTrue())
	decisions, _ := d.Next(at(settled))
	g.Expect(assigned(decisions)).To(gomega.Equal([]uint64{1}))
}

// Guards against a request to a server that has rejected nearly as many as it tolerates, and against one that is queued for
// good once it may get requests again.
func TestClosedServerGetsItsRequestsLater(t *testing.T) {
	g := gomega.NewWithT(t)
	d := slotdispatch.New(at(0), brittleServer(4, 3, 900))
	g.Expect(d.Ask(at(settled), ask(1)).Queued).To(gomega.BeTrue())
	decisions, next := d.Next(at(settled))
	g.Expect(decisions).To(gomega.BeEmpty())
	g.Expect(next).To(gomega.Equal(at(900)))
	decisions, _ = d.Next(at(900))
	g.Expect(assigned(decisions)).To(gomega.Equal([]uint64{1}))
}
