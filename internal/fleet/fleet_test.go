package fleet

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"waxwingcleat.example/waxwingcleat/internal/engine"
)

// injectFault injects one drawn fault or none.
func (m *model) injectFault() {
	o := m.owner()
	g := m.gateways[m.pick(3)]
	switch n := m.pick(150); {
	case n < 1:
		m.engine.restart(m.now)
	case n < 3:
		g.frozen = !g.frozen
	case n < 4:
		g.start(g.id.Process)
	case n < 6:
		o.paused = !o.paused
	case n < 11:
		if len(m.owners) < 4 && m.now.After(o.leaseFrom.Add(lease)) {
			m.addOwner()
		}
	case n < 13:
		m.stopFormerOwner()
	case n < 23:
		target := m.owners[m.pick(len(m.owners))]
		g.unreachable[target] = !g.unreachable[target]
	case n < 25:
		m.reportLag = m.pick(50)
	}
}

// stopFormerOwner proves that a former owner has stopped: its VM has ended, or it has answered Supersede.
func (m *model) stopFormerOwner() {
	if len(m.owners) < 2 {
		return
	}
	former := m.owners[m.pick(len(m.owners)-1)]
	if m.pick(2) == 0 {
		former.dead = true
		return
	}
	former.paused = false
	former.stopped = true
	former.server.Supersede()
}

// stepOwner runs one step of an owner. A former owner that isn't paused continues until it's superseded.
func (m *model) stepOwner(o *owner) {
	if o.paused || o.dead {
		return
	}
	if o == m.owner() && m.pick(10) > 0 && m.now.Sub(o.leaseFrom) < lease {
		o.leaseFrom = m.now
	}
	if o == m.owner() {
		o.server.SetOwnership(m.now, m.status(o))
	}
	if m.pick(3) == 0 {
		m.poll(o)
	}
	if m.pick(2) == 0 {
		m.startLoad(o)
	}
	if views := o.server.Loads(m.now); len(views) > 0 && m.pick(4) == 0 {
		_ = o.server.Close(m.now, views[m.pick(len(views))].Number)
	}
	for _, action := range o.server.Tick(m.now) {
		m.perform(o, action)
	}
	if o.server.Violations() > 0 {
		m.t.Fatalf("an eviction was about to be ordered while requests were known")
	}
}

func (m *model) step() {
	m.now = m.now.Add(step)
	m.deliver()
	m.injectFault()
	for _, g := range m.gateways {
		if !g.frozen && m.pick(6) == 0 {
			m.syncAll(g)
		}
		m.dispatch(g)
	}
	if m.pick(2) == 0 {
		m.finish()
	}
	for _, o := range m.owners {
		m.stepOwner(o)
	}
	m.engine.snapshot(m.now)
}

// TestNoEvictionInUse guards against an eviction that aborts a request: with gateways that crash or freeze, lost, late,
// repeated and reordered messages, lagging reports, engine restarts, and a paused owner whose order arrives after its
// successor has acquired the server. It also guards against a load name that is used twice, and against an owner whose
// own orders exceed the slots.
func TestNoEvictionInUse(t *testing.T) {
	unloads := 0
	rapid.Check(t, func(t *rapid.T) {
		for range 10 { // One history finds few faults; the rarest known fault takes about 900.
			m := newModel(t)
			for range rapid.IntRange(400, 1000).Draw(t, "steps") {
				m.step()
			}
			unloads += m.unloads
		}
	})
	if unloads == 0 {
		t.Fatal("the histories contain no eviction, so nothing was checked")
	}
	t.Logf("%d evictions", unloads)
}

// newOwnedServer returns a server whose ownership was acquired at now and whose engine has reported.
func newOwnedServer(now time.Time, owner Ownership) *Server {
	s := New(now, validity, &Version{}, Spec{Name: "s", Slots: 2, Concurrency: 8}, owner)
	s.Report(now, now, engine.Report{Incarnation: "1", Slots: 2})
	s.Report(now, now.Add(time.Millisecond), engine.Report{Incarnation: "1", Slots: 2, AsOf: 1, Now: 1})
	return s
}

// newServerWithLoad returns an owned server with the resident load a@1#7.
func newServerWithLoad(now time.Time, owner Ownership) *Server {
	s := newOwnedServer(now, owner)
	if _, _, err := s.StartLoad(AdapterVersion{"a", "1"}, 7); err != nil {
		panic(err)
	}
	s.LoadEnded(now, 7, nil)
	return s
}

// TestLapsedAndLeaving guards against an eviction after the lease has expired, and against permits for a leaving
// server.
func TestLapsedAndLeaving(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newServerWithLoad(now, Ownership{Fence: 1, LeaseUntil: now.Add(lease), PredecessorsStopped: true})
	gateway := GatewayID{"g", "1"}
	expired := now.Add(lease)
	if err := s.Close(expired, 7); err == nil {
		t.Fatal("closed a load without a valid lease")
	}
	if p := s.Grant(expired, gateway, expired); len(p.Loads) != 1 {
		t.Fatalf("after the lease has expired the owner grants %v", p.Loads)
	}
	s.Report(now, now.Add(time.Second), engine.Report{Incarnation: "1", Slots: 2, AsOf: 2, Now: 2, Draining: true,
		Adapters: []engine.LoadedAdapter{{Name: "a@1#7"}}})
	if p := s.Grant(now, gateway, now); !p.Leaving || len(p.Loads) != 0 || p.Concurrent != 0 {
		t.Fatalf("a leaving server grants %+v", p)
	}
	if _, _, err := s.StartLoad(AdapterVersion{"b", "1"}, 8); err == nil {
		t.Fatal("a leaving server accepts a load")
	}
}

// TestShares guards against shares whose sum exceeds the server's concurrency, and against a gateway without a share.
func TestShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		s := newServerWithLoad(now, Ownership{Fence: 1, LeaseUntil: now.Add(lease), PredecessorsStopped: true})
		s.spec.Concurrency = rapid.IntRange(1, 40).Draw(t, "concurrency")
		gateways := rapid.IntRange(1, 10).Draw(t, "gateways")
		held := map[int]uint32{}
		for i := range 60 {
			g := rapid.IntRange(0, gateways-1).Draw(t, "gateway")
			id := GatewayID{Process: string(rune('a' + g))}
			waiting := rapid.Uint32Range(0, 50).Draw(t, "waiting")
			s.Sync(now, Sync{Gateway: id, Sequence: uint64(i + 1), Waiting: map[AdapterVersion]uint32{{"a", "1"}: waiting}})
			held[g] = s.Grant(now, id, now).Concurrent
			var sum uint32
			for _, share := range held {
				sum += share
			}
			if held[g] == 0 || int(sum) > s.spec.Concurrency+gateways-1 {
				t.Fatalf("shares %v of %d", held, s.spec.Concurrency)
			}
		}
	})
}

// TestAcknowledgementOfAnOlderClosing guards against an acknowledgement that was sent before the gateway received the
// closing: a permit may still be in transit to the gateway.
func TestAcknowledgementOfAnOlderClosing(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newServerWithLoad(now,
		Ownership{Fence: 1, LeaseUntil: now.Add(lease), PredecessorsStopped: true, Intent: "a@1#7"})
	gateway := GatewayID{"g", "1"}
	s.Sync(now, Sync{Gateway: gateway, Sequence: 1})
	s.Grant(now, gateway, now)
	before := s.version.Current()
	if err := s.Close(now, 7); err != nil {
		t.Fatal(err)
	}
	closed := []engine.LoadNumber{7}
	s.Sync(now, Sync{Gateway: gateway, Sequence: 2, Closed: closed, PermitsVersion: before})
	if actions := s.Tick(now); len(actions) != 0 {
		t.Fatalf("an early acknowledgement leads to %+v", actions)
	}
	s.Sync(now, Sync{Gateway: gateway, Sequence: 3, Closed: closed, PermitsVersion: s.version.Current()})
	if actions := s.Tick(now); len(actions) != 1 || actions[0].Kind != OrderUnload {
		t.Fatalf("the acknowledgement leads to %+v", actions)
	}
}

// TestInheritedLoadNeedsProof guards against the eviction of a load for which a former owner may still grant permits.
func TestInheritedLoadNeedsProof(t *testing.T) {
	now := time.Unix(1000, 0)
	owner := Ownership{Fence: 2, LeaseUntil: now.Add(lease)}
	s := newOwnedServer(now, owner)
	s.Report(now, now.Add(time.Second), engine.Report{Incarnation: "1", Slots: 2, AsOf: 2, Now: 2,
		Adapters: []engine.LoadedAdapter{{Name: "a@1#7"}}})
	if err := s.Close(now, 7); err == nil {
		t.Fatal("an inherited load closes without proof")
	}
	if p := s.Grant(now, GatewayID{"g", "1"}, now); len(p.Loads) != 1 {
		t.Fatalf("an inherited load is granted as %v", p.Loads)
	}
	owner.PredecessorsStopped = true
	s.SetOwnership(now, owner)
	if err := s.Close(now, 7); err != nil {
		t.Fatal(err)
	}
}

// TestDeadGatewayIsForgotten guards against a crashed gateway whose last count prevents an eviction for ever.
func TestDeadGatewayIsForgotten(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newServerWithLoad(now, Ownership{Fence: 1, LeaseUntil: now.Add(time.Hour), PredecessorsStopped: true})
	gateway := GatewayID{"g", "1"}
	s.Grant(now, gateway, now)
	s.Sync(now, Sync{Gateway: gateway, Sequence: 1, InFlight: map[engine.LoadNumber]uint32{7: 3}})
	for i := range 5 {
		at := now.Add(time.Duration(i+1) * time.Second)
		if views := s.Loads(at); (views[0].InFlight == 3) != (i < 4) {
			t.Fatalf("after %d s the load has %d requests", i, views[0].InFlight)
		}
		s.Report(at, at, engine.Report{Incarnation: "1", Slots: 2, AsOf: time.Duration(10*i + 10), Now: time.Duration(10*i + 10),
			Adapters: []engine.LoadedAdapter{{Name: "a@1#7"}}})
	}
	if s.requests != 0 {
		t.Fatalf("%d requests remain counted", s.requests)
	}
}

// TestLateReportOfAnOlderIncarnation guards against a late report of an engine incarnation older than the first one
// seen, which was treated as a restart.
func TestLateReportOfAnOlderIncarnation(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newServerWithLoad(now, Ownership{Fence: 1, LeaseUntil: now.Add(time.Hour), PredecessorsStopped: true})
	s.Report(now, now.Add(-time.Second), engine.Report{Incarnation: "0", Slots: 2})
	if len(s.Loads(now)) != 1 {
		t.Fatal("the load was removed")
	}
}
