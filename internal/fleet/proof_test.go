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
	maxHold      = time.Second
)

// link connects an owner's aggregate and a gateway's permit table by syncs that are delayed, lost and duplicated.
type link struct {
	t        *rapid.T
	now      time.Time
	server   *Server
	version  *Version
	table    *permits.Table
	gateway  GatewayID
	messages []message
	nextSync time.Time
	// partitioned is true while no message is delivered.
	partitioned bool
}

func (l *link) sendLater(name string, f func()) {
	for range rapid.SampledFrom([]int{1, 1, 1, 0, 2}).Draw(l.t, name+" copies") {
		delay := time.Duration(rapid.SampledFrom([]int{0, 0, 100, 300, 1500, 5000}).Draw(l.t, name+" ms")) * time.Millisecond
		l.messages = append(l.messages, message{l.now.Add(delay), f})
	}
}

// sync sends a sync. The owner answers at once or after a delay.
func (l *link) sync() {
	sent := l.now
	request := l.table.Sync(owningNode, permits.Identity{}, permits.Report{}, 0)
	l.sendLater("sync", func() {
		if l.partitioned || !l.server.Sync(l.now, Sync{Gateway: l.gateway, Sequence: request.Sequence, PermitsVersion: request.PermitsVersion}) {
			return
		}
		received := l.now
		delay := time.Duration(rapid.IntRange(0, int(maxHold/time.Millisecond)).Draw(l.t, "answer delay ms")) * time.Millisecond
		l.messages = append(l.messages, message{l.now.Add(delay), func() { l.sendAnswer(sent, received) }})
	})
}

func (l *link) sendAnswer(sent, received time.Time) {
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
			Load: uint64(p.Number), Name: string(p.Name), Adapter: p.AdapterVersion.Adapter, Version: p.AdapterVersion.Version, State: state,
		})
	}
	response := &peerpb.SyncResponse{
		SchedulerIncarnation: "i", PermitsVersion: l.version.Current(), PermitMs: uint32(validity / time.Millisecond),
		Servers: []*peerpb.ServerPermits{server},
	}
	l.sendLater("answer", func() {
		if !l.partitioned {
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
	if rapid.IntRange(0, 19).Draw(l.t, "partition") == 0 {
		l.partitioned = !l.partitioned
	}
}

// canDispatch reports whether the gateway may send a request to the server now.
func (l *link) canDispatch() bool {
	use, ok := l.table.Acquire("s", 7, l.now)
	if ok {
		l.table.Release(use)
	}
	return ok
}

// signalLeaving gives the owner one of the three signals that the server is leaving.
func (l *link) signalLeaving() {
	switch rapid.IntRange(0, 2).Draw(l.t, "signal") {
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

// TestLeavingEndsPermitsInTime guards P6: from 3 s after the first leaving signal that reaches the owner, no gateway
// sends a request to the server, whichever syncs and answers are lost, duplicated, late or held back, and also when the
// gateway is partitioned from the owner. The clock is virtual.
func TestLeavingEndsPermitsInTime(t *testing.T) {
	dispatching, histories := 0, 0
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
		for range rapid.IntRange(30, 80).Draw(t, "steps before the signal") {
			l.step()
			dispatched = dispatched || l.canDispatch()
		}
		histories++
		if dispatched {
			dispatching++
		}
		l.signalLeaving()
		signalled := l.now
		for l.now.Before(signalled.Add(20 * time.Second)) {
			l.step()
			if l.canDispatch() && !l.now.Before(signalled.Add(leavingBound)) {
				t.Fatalf("a request is sent %s after the first leaving signal", l.now.Sub(signalled))
			}
		}
	})
	if dispatching*2 < histories {
		t.Fatalf("only %d of %d histories have a permit before the leaving signal, which is too few for the check", dispatching, histories)
	}
}

// TestEndlessGatewaysLeaveNothing guards against memory that grows with every gateway incarnation ever seen.
func TestEndlessGatewaysLeaveNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newServerWithLoad(now, Ownership{Fence: 1, LeaseUntil: now.Add(time.Hour), PredecessorsStopped: true})
	for i := range 3000 {
		now = now.Add(step)
		gateway := GatewayID{"g", string(rune('a' + i))}
		s.Sync(now, Sync{Gateway: gateway, Sequence: 1})
		s.Grant(now, gateway, now)
		clock := time.Duration(i+2) * step
		s.Report(now, now, engine.Report{Incarnation: "1", Slots: 2, AsOf: clock, Now: clock - step/2,
			Adapters: []engine.LoadedAdapter{{Name: "a@1#7"}}})
		// A session lasts 10 s, at 10 gateways a second; users are removed earlier, when their permits have expired.
		if users := len(s.loads[7].users); len(s.sessions) > 150 || users > 150 {
			t.Fatalf("%d sessions and %d users remain after %d gateways", len(s.sessions), users, i+1)
		}
	}
}
