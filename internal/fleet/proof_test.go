package fleet

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"waxwingcleat.example/waxwingcleat/internal/engine"
	"waxwingcleat.example/waxwingcleat/internal/permits"
	"waxwingcleat.example/waxwingcleat/internal/rpc/peerpb"
)

const (
	leavingBound = 3 * time.Second
	owningNode   = "10.0.0.1:1"
	syncPeriod   = time.Second
	hold         = time.Second
)

// link joins an owner's aggregate and a gateway's permit table by syncs that are delayed, lost and doubled.
type link struct {
	t        *rapid.T
	now      time.Time
	server   *Server
	version  *Version
	table    *permits.Table
	gateway  GatewayID
	messages []message
	nextSync time.Time
	// cut is true while no message gets through.
	cut bool
}

func (l *link) later(name string, f func()) {
	for range rapid.SampledFrom([]int{1, 1, 1, 0, 2}).Draw(l.t, name+" copies") {
		delay := time.Duration(rapid.SampledFrom([]int{0, 0, 100, 300, 1500, 5000}).Draw(l.t, name+" ms")) * time.Millisecond
		l.messages = append(l.messages, message{l.now.Add(delay), f})
	}
}

// sync sends a sync. The owner answers at once or holds its answer, and the answer travels back.
func (l *link) sync() {
	sent := l.now
	request := l.table.Sync(owningNode, permits.Identity{}, permits.Report{}, 0)
	l.later("sync", func() {
		if l.cut || !l.server.Sync(l.now, Sync{Gateway: l.gateway, Sequence: request.Sequence, Held: request.PermitsVersion}) {
			return
		}
		received := l.now
		held := time.Duration(rapid.IntRange(0, int(hold/time.Millisecond)).Draw(l.t, "hold ms")) * time.Millisecond
		l.messages = append(l.messages, message{l.now.Add(held), func() { l.answer(sent, received) }})
	})
}

func (l *link) answer(sent, received time.Time) {
	granted := l.server.Grant(l.now, l.gateway, received)
	server := &peerpb.ServerPermits{
		Server: "s", Address: "10.0.0.9:1", Concurrent: granted.Concurrent, Leaving: granted.Leaving, Fence: uint64(l.server.Fence()),
	}
	for _, p := range granted.Loads {
		state := peerpb.LoadState_LOADING
		switch p.State {
		case Resident:
			state = peerpb.LoadState_RESIDENT
		case Closing:
			state = peerpb.LoadState_CLOSING
		}
		server.Loads = append(server.Loads, &peerpb.LoadPermit{
			Load: uint64(p.Number), Name: string(p.Name), Adapter: p.Of.Adapter, Version: p.Of.Version, State: state,
		})
	}
	response := &peerpb.SyncResponse{
		SchedulerIncarnation: "i", PermitsVersion: l.version.Current(), PermitMs: uint32(validity / time.Millisecond),
		Servers: []*peerpb.ServerPermits{server},
	}
	l.later("answer", func() {
		if !l.cut {
			l.table.Apply(owningNode, sent, response)
		}
	})
}

func (l *link) step() {
	l.now = l.now.Add(step)
	due := l.messages
	l.messages = nil
	for _, m := range due {
		if m.at.After(l.now) {
			l.messages = append(l.messages, m)
			continue
		}
		m.deliver()
	}
	if !l.now.Before(l.nextSync) {
		l.nextSync = l.now.Add(syncPeriod)
		l.sync()
	}
	if rapid.IntRange(0, 19).Draw(l.t, "cut") == 0 {
		l.cut = !l.cut
	}
}

// dispatches reports whether the gateway may send a request to the server now.
func (l *link) dispatches() bool {
	use, ok := l.table.Acquire("s", 7, l.now)
	if ok {
		l.table.Release(use)
	}
	return ok
}

// leave gives the owner one of the signs of leaving.
func (l *link) leave() {
	switch rapid.IntRange(0, 2).Draw(l.t, "sign") {
	case 0:
		l.server.SetVMLeaving(true)
	case 1:
		spec := l.server.Spec()
		spec.Drain = true
		l.server.SetSpec(spec)
	case 2:
		l.server.Report(l.now, l.now, engine.Report{Incarnation: "1", Slots: 2, AsOf: time.Hour, Now: time.Hour, Draining: true,
			Adapters: []engine.LoadedAdapter{{Name: "a@1#7"}}})
	}
}

// TestLeavingEndsPermitsInTime guards P6: from 3 s after the first sign of leaving that reaches the owner, no gateway
// sends a request to the server, whatever syncs and answers are lost, doubled, late or held back, and also when the
// gateway is cut off from the owner. The clock is virtual.
func TestLeavingEndsPermitsInTime(t *testing.T) {
	before, histories := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		version := &Version{}
		l := &link{t: t, now: now, version: version, gateway: GatewayID{"g", "1"}, table: permits.NewTable()}
		l.table.AddScheduler(owningNode)
		l.server = New(now, validity, version, Spec{Name: "s", Slots: 2, Concurrency: 8},
			Ownership{Fence: 1, LeaseUntil: now.Add(time.Hour), PredecessorsStopped: true})
		for i := range 2 {
			at := now.Add(time.Duration(i) * time.Millisecond)
			l.server.Report(now, at, engine.Report{Incarnation: "1", Slots: 2, AsOf: time.Duration(i), Now: time.Duration(i)})
		}
		if _, _, err := l.server.StartLoad(AdapterVersion{"a", "1"}, 7); err != nil {
			t.Fatal(err)
		}
		l.server.LoadEnded(now, 7, nil)
		dispatched := false
		for range rapid.IntRange(30, 80).Draw(t, "steps before") {
			l.step()
			dispatched = dispatched || l.dispatches()
		}
		histories++
		if dispatched {
			before++
		}
		l.leave()
		sign := l.now
		for l.now.Before(sign.Add(20 * time.Second)) {
			l.step()
			if l.dispatches() && !l.now.Before(sign.Add(leavingBound)) {
				t.Fatalf("a request is sent %s after the first sign of leaving", l.now.Sub(sign))
			}
		}
	})
	if before*2 < histories {
		t.Fatalf("only %d of %d histories have a permit before the sign, so they prove little", before, histories)
	}
}

// TestEndlessGatewaysLeaveNothing guards against memory that grows with every gateway incarnation that was ever seen.
func TestEndlessGatewaysLeaveNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	s := loaded(now, Ownership{Fence: 1, LeaseUntil: now.Add(time.Hour), PredecessorsStopped: true})
	for i := range 3000 {
		now = now.Add(step)
		gateway := GatewayID{"g", string(rune('a' + i))}
		s.Sync(now, Sync{Gateway: gateway, Sequence: 1})
		s.Grant(now, gateway, now)
		clock := time.Duration(i+2) * step
		s.Report(now, now, engine.Report{Incarnation: "1", Slots: 2, AsOf: clock, Now: clock - step/2,
			Adapters: []engine.LoadedAdapter{{Name: "a@1#7"}}})
		// The life of a session is 10 s at 10 gateways a second; users end earlier, with their permits.
		if users := len(s.loads[7].users); len(s.sessions) > 150 || users > 150 {
			t.Fatalf("%d sessions and %d users are kept after %d gateways", len(s.sessions), users, i+1)
		}
	}
}
