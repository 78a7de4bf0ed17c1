package membership

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"waxwingcleat.example/waxwingcleat/internal/platform"
	"waxwingcleat.example/waxwingcleat/internal/rpc/peerpb"
)

const (
	probeInterval = time.Second
	// probeTimeout is many times the latency between zones, so that a busy node isn't suspected at once.
	probeTimeout = 500 * time.Millisecond
	// indirectTimeout leaves the helper a probe timeout of its own and the way to it and back.
	indirectTimeout = time.Second
	indirectProbes  = 2
	// suspicionTimeout is multiplied by the logarithm of the number of nodes, since gossip takes that many rounds.
	suspicionTimeout = 5 * time.Second
	// deadMemory is how long a dead node is kept, so that a partition of an hour or two heals by itself.
	deadMemory = 3 * time.Hour
	// tombstoneMemory is how long the incarnation of a forgotten node is kept, against gossip of a node that was
	// paused meanwhile.
	tombstoneMemory = 24 * time.Hour
	// fullInterval and fullIntervalPerNode keep the full exchanges to some hundred bytes a second at any size.
	fullInterval        = 30 * time.Second
	fullIntervalPerNode = 600 * time.Millisecond
	lonelyInterval      = 2 * time.Second
	// reportLifetime is how long a process counts after its last report.
	reportLifetime = 10 * time.Second
	// appliedInterval bounds how often a change of only the applied offset is gossiped.
	// It grows with the nodes, up to a part of the 19 s within which a change is to be in force.
	appliedInterval        = 2 * time.Second
	appliedIntervalPerNode = 20 * time.Millisecond
	// leaveTargets is how many peers are told of a planned stop at once.
	leaveTargets = 3
)

// fullExchange as a probe target asks for the whole table instead of a probe. No node has this name.
const fullExchange = "*"

// member is one node of the table and what this core keeps about it.
type member struct {
	entry *peerpb.NodeEntry
	// since is when the node got its present state.
	since time.Time
}

type tombstone struct {
	incarnation uint64
	since       time.Time
}

type processState struct {
	report ProcessReport
	at     time.Time
}

// core is the deterministic part of membership. It isn't safe for concurrent use. Entries are never changed in
// place, so that they may be shared with readers.
type core struct {
	self      *peerpb.NodeEntry
	random    *rand.Rand
	members   map[string]*member
	tombs     map[string]tombstone
	version   uint64
	actions   []action
	exchanges map[uint64]*exchange
	nextID    uint64
	gossip    gossip

	// round is the shuffled rest of the nodes to probe, so that each is probed once in a round.
	round     []string
	nextProbe time.Time
	nextFull  time.Time

	seeds     []string
	vms       []platform.VM
	vmLeaving map[string]bool

	processes   map[string]processState
	applied     uint64
	lastApplied time.Time

	// digestValue is the digest of the table at digestVersion.
	digestValue   uint64
	digestVersion uint64
	nextRepair    time.Time
}

// action is something that the driver is to do.
type action interface{ isAction() }

// sendAction asks for an exchange with the scheduler at an address. Its end is reported by replied.
type sendAction struct {
	id      uint64
	address string
	request *peerpb.ExchangeRequest
	timeout time.Duration
}

// respondAction answers an exchange that was given to receive.
type respondAction struct {
	token    uint64
	response *peerpb.ExchangeResponse
}

// noteAction asks for a log event.
type noteAction struct {
	kind noteKind
	name string
	// entry is set for changes of nodes.
	entry *peerpb.NodeEntry
}

type noteKind uint8

const (
	noteChanged noteKind = iota + 1
	noteForgotten
	noteRefuted
	noteProcess
	noteSilent
)

func (sendAction) isAction()    {}
func (respondAction) isAction() {}
func (noteAction) isAction()    {}

func newCore(self *peerpb.NodeEntry, seeds []string, random *rand.Rand, now time.Time) *core {
	own := proto.Clone(self).(*peerpb.NodeEntry)
	own.State = peerpb.NodeState_ALIVE
	c := &core{
		self: own, random: random, members: map[string]*member{}, tombs: map[string]tombstone{},
		exchanges: map[uint64]*exchange{}, seeds: seeds, vmLeaving: map[string]bool{},
		processes: map[string]processState{}, nextProbe: now, nextFull: now,
	}
	c.members[own.Name] = &member{entry: own, since: now}
	c.version = 1
	c.gossip.add(own.Name, false)
	return c
}

func (c *core) do(a action) { c.actions = append(c.actions, a) }

// take returns the actions since the last call.
func (c *core) take() []action {
	out := c.actions
	c.actions = nil
	return out
}

// tick does what is due at now.
func (c *core) tick(now time.Time) {
	c.expireProcesses(now)
	c.refreshSelf(now)
	c.expireExchanges(now)
	c.expireMembers(now)
	if !now.Before(c.nextProbe) {
		c.nextProbe = now.Add(probeInterval)
		c.probeNext(now)
	}
	if !now.Before(c.nextFull) {
		c.nextFull = now.Add(c.fullPeriod())
		c.exchangeFully(now)
	}
}

// fullPeriod is the time to the next full exchange, spread so that nodes that start together don't stay in step.
func (c *core) fullPeriod() time.Duration {
	if len(c.peers()) == 0 {
		return lonelyInterval
	}
	period := max(fullInterval, time.Duration(len(c.members))*fullIntervalPerNode)
	return period/2 + time.Duration(c.random.Int64N(int64(period)))
}

// peers returns the names of the other nodes that are taken for running, in order.
func (c *core) peers() []string {
	var out []string
	for name, m := range c.members {
		if name != c.self.Name && present(m.entry) {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// learn takes an entry from gossip and reports whether it changed the table.
func (c *core) learn(now time.Time, fresh *peerpb.NodeEntry) bool {
	if fresh.Name == c.self.Name {
		return c.refute(now, fresh)
	}
	m := c.members[fresh.Name]
	if fresh.Scheduler == "" {
		// A brief entry of an unknown incarnation says nothing about addresses; the whole one follows.
		if m == nil || expand(fresh, m.entry) == nil {
			return false
		}
		fresh = expand(fresh, m.entry)
	}
	if m == nil {
		return c.add(now, fresh)
	}
	if fresh.State == peerpb.NodeState_DEAD && present(m.entry) && fresh.Incarnation >= m.entry.Incarnation {
		// Another node's judgement may come from the far side of a partition, so the node gets the chance to refute.
		fresh = withState(fresh, peerpb.NodeState_SUSPECT)
	}
	merged := merge(m.entry, fresh)
	if same(merged, m.entry) {
		return false
	}
	c.set(now, merged)
	return true
}

// add takes a node that isn't in the table. Dead nodes and old incarnations of forgotten ones are not added.
func (c *core) add(now time.Time, fresh *peerpb.NodeEntry) bool {
	if fresh.Name == "" || !present(fresh) || fresh.Incarnation <= c.tombs[fresh.Name].incarnation {
		return false
	}
	delete(c.tombs, fresh.Name)
	c.set(now, fresh)
	return true
}

// set puts an entry into the table and gossips it.
func (c *core) set(now time.Time, e *peerpb.NodeEntry) {
	m := c.members[e.Name]
	onlyApplied := m != nil && m.entry.State == e.State && m.entry.Incarnation == e.Incarnation
	if m == nil || m.entry.State != e.State {
		c.do(noteAction{kind: noteChanged, name: e.Name, entry: e})
	}
	switch {
	case m == nil:
		c.members[e.Name] = &member{entry: e, since: now}
	default:
		if m.entry.State != e.State || m.entry.Incarnation != e.Incarnation {
			m.since = now
		}
		m.entry = e
	}
	c.version++
	c.gossip.add(e.Name, onlyApplied)
}

// refute answers an entry about this node itself that isn't its own. It also takes over the incarnation of a former
// life whose clock was ahead.
func (c *core) refute(now time.Time, fresh *peerpb.NodeEntry) bool {
	doubted := fresh.Incarnation == c.self.Incarnation && severity(fresh.State) > severity(c.self.State)
	if fresh.Incarnation <= c.self.Incarnation && !doubted {
		return false
	}
	c.changeSelf(now, func(e *peerpb.NodeEntry) { e.Incarnation = fresh.Incarnation + 1 })
	c.do(noteAction{kind: noteRefuted, name: c.self.Name})
	return true
}

func (c *core) changeSelf(now time.Time, change func(*peerpb.NodeEntry)) {
	own := proto.Clone(c.self).(*peerpb.NodeEntry)
	change(own)
	own.Revision++
	c.self = own
	c.set(now, own)
}

// expireMembers ends suspicions and forgets nodes that were dead for long.
func (c *core) expireMembers(now time.Time) {
	for _, name := range c.dueMembers(now) {
		m := c.members[name]
		age := now.Sub(m.since)
		switch {
		case m.entry.State == peerpb.NodeState_SUSPECT && age >= c.suspicion():
			c.set(now, withState(m.entry, peerpb.NodeState_DEAD))
		case m.entry.State == peerpb.NodeState_DEAD && age >= deadMemory:
			c.tombs[name] = tombstone{incarnation: m.entry.Incarnation, since: now}
			delete(c.members, name)
			c.gossip.remove(name)
			c.version++
			c.do(noteAction{kind: noteForgotten, name: name})
		}
	}
	for name, t := range c.tombs {
		if now.Sub(t.since) >= tombstoneMemory {
			delete(c.tombs, name)
		}
	}
}

// dueMembers returns the suspected and dead nodes whose state may have to change, in order. It's called with each
// tick, so it sorts no more than these.
func (c *core) dueMembers(now time.Time) []string {
	var out []string
	for name, m := range c.members {
		if severity(m.entry.State) >= severity(peerpb.NodeState_SUSPECT) && now.Sub(m.since) >= suspicionTimeout {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// suspicion is how long a suspected node has to refute.
func (c *core) suspicion() time.Duration {
	return time.Duration(float64(suspicionTimeout) * max(1, math.Log10(float64(len(c.members)))))
}

func (c *core) sortedMembers() []string {
	names := make([]string, 0, len(c.members))
	for name := range c.members {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// nodes returns the table in the order of names. A node that the VM list tells to be leaving is shown as such, since
// the first sign of leaving decides.
func (c *core) nodes() []*peerpb.NodeEntry {
	out := make([]*peerpb.NodeEntry, 0, len(c.members))
	for name, m := range c.members {
		e := m.entry
		if c.vmLeaving[name] && e.State == peerpb.NodeState_ALIVE {
			e = withState(e, peerpb.NodeState_LEAVING)
		}
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b *peerpb.NodeEntry) int { return cmp.Compare(a.Name, b.Name) })
	return out
}
