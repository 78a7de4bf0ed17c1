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
	// indirectTimeout covers the helper's own probe timeout and the round trip to the helper.
	indirectTimeout      = time.Second
	indirectProbeHelpers = 2
	// suspicionTimeout is multiplied by the decimal logarithm of the number of nodes, since the rounds that gossip
	// needs grow with it.
	suspicionTimeout = 5 * time.Second
	// deadRetention is how long a dead node stays in the table, so that a partition of an hour or two heals by itself.
	deadRetention = 3 * time.Hour
	// tombstoneRetention is how long the incarnation of a removed node is stored, so that outdated gossip of a node
	// that was paused meanwhile doesn't add it again.
	tombstoneRetention = 24 * time.Hour
	// fullExchangeInterval and fullExchangeIntervalPerNode limit the full exchanges to some hundred bytes a second,
	// whatever the number of nodes.
	fullExchangeInterval        = 30 * time.Second
	fullExchangeIntervalPerNode = 600 * time.Millisecond
	// isolatedInterval is the time between full exchanges while no other running node is known.
	isolatedInterval = 2 * time.Second
	// reportLifetime is how long a process is included in this node's entry after its last report.
	reportLifetime = 10 * time.Second
	// appliedInterval and appliedIntervalPerNode bound how often a change of only the applied offset is gossiped. The
	// interval grows with the number of nodes, up to a part of the 19 s within which a change has to be in force.
	appliedInterval        = 2 * time.Second
	appliedIntervalPerNode = 20 * time.Millisecond
	// leaveTargets is how many peers are notified of a planned stop at once.
	leaveTargets = 3
)

// fullExchange as a probe target requests the full table instead of a probe. No node has this name.
const fullExchange = "*"

// member is one node of the table and its local state.
type member struct {
	entry *peerpb.NodeEntry
	// since is when the node's state or incarnation last changed.
	since time.Time
}

// tombstone is the last incarnation of a node that was removed from the table.
type tombstone struct {
	incarnation uint64
	since       time.Time
}

// processState is the last report of a process on this VM.
type processState struct {
	report     ProcessReport
	reportedAt time.Time
}

// core is the deterministic part of membership. It isn't safe for concurrent use. Entries are never modified in
// place, so that they can be shared with readers.
type core struct {
	self       *peerpb.NodeEntry
	random     *rand.Rand
	members    map[string]*member
	tombstones map[string]tombstone
	version    uint64
	actions    []action
	exchanges  map[uint64]*exchange
	nextID     uint64
	gossip     gossip

	// round holds the nodes left to probe, in random order, so that each is probed once in a round.
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

// action is an operation that the driver performs.
type action interface{ isAction() }

// sendAction requests an exchange with the scheduler at an address. Its result is passed to exchangeEnded.
type sendAction struct {
	id      uint64
	address string
	request *peerpb.ExchangeRequest
	timeout time.Duration
}

// respondAction answers an exchange that was passed to handleExchange.
type respondAction struct {
	token    uint64
	response *peerpb.ExchangeResponse
}

// eventAction requests a log event.
type eventAction struct {
	kind eventKind
	name string
	// entry is set for changed nodes.
	entry *peerpb.NodeEntry
}

// eventKind is the kind of a log event.
type eventKind uint8

const (
	eventNodeChanged eventKind = iota + 1
	eventNodeRemoved
	eventSuspicionRefuted
	eventProcessReported
	eventProcessSilent
)

func (sendAction) isAction()    {}
func (respondAction) isAction() {}
func (eventAction) isAction()   {}

func newCore(self *peerpb.NodeEntry, seeds []string, random *rand.Rand, now time.Time) *core {
	own := proto.Clone(self).(*peerpb.NodeEntry)
	own.State = peerpb.NodeState_ALIVE
	c := &core{
		self: own, random: random, members: map[string]*member{}, tombstones: map[string]tombstone{},
		exchanges: map[uint64]*exchange{}, seeds: seeds, vmLeaving: map[string]bool{},
		processes: map[string]processState{}, nextProbe: now, nextFull: now,
	}
	c.members[own.Name] = &member{entry: own, since: now}
	c.version = 1
	c.gossip.add(own.Name, false)
	return c
}

func (c *core) addAction(a action) { c.actions = append(c.actions, a) }

// drainActions returns the actions since the last call.
func (c *core) drainActions() []action {
	out := c.actions
	c.actions = nil
	return out
}

// tick performs the work that is due at now.
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
		c.nextFull = now.Add(c.fullExchangeDelay())
		c.startFullExchange(now)
	}
}

// fullExchangeDelay returns the time to the next full exchange, randomized so that nodes that start together don't
// stay synchronized.
func (c *core) fullExchangeDelay() time.Duration {
	if len(c.peers()) == 0 {
		return isolatedInterval
	}
	period := max(fullExchangeInterval, time.Duration(len(c.members))*fullExchangeIntervalPerNode)
	return period/2 + time.Duration(c.random.Int64N(int64(period)))
}

// peers returns the names of the other running nodes, in order.
func (c *core) peers() []string {
	var out []string
	for name, m := range c.members {
		if name != c.self.Name && isRunning(m.entry) {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// applyUpdate merges an entry from gossip into the table and reports whether it changed the table.
func (c *core) applyUpdate(now time.Time, update *peerpb.NodeEntry) bool {
	if update.Name == c.self.Name {
		return c.refute(now, update)
	}
	m := c.members[update.Name]
	if update.Scheduler == "" {
		// An abbreviated entry of an unknown incarnation has no addresses; the full entry follows.
		if m == nil || expand(update, m.entry) == nil {
			return false
		}
		update = expand(update, m.entry)
	}
	if m == nil {
		return c.addMember(now, update)
	}
	if update.State == peerpb.NodeState_DEAD && isRunning(m.entry) && update.Incarnation >= m.entry.Incarnation {
		// The sender may be on the other side of a partition, so the node gets the chance to refute.
		update = withState(update, peerpb.NodeState_SUSPECT)
	}
	merged := merge(m.entry, update)
	if sameVersion(merged, m.entry) {
		return false
	}
	c.setEntry(now, merged)
	return true
}

// addMember adds a node that isn't in the table, unless it's dead or an old incarnation of a removed node. It reports
// whether the node was added.
func (c *core) addMember(now time.Time, update *peerpb.NodeEntry) bool {
	if update.Name == "" || !isRunning(update) || update.Incarnation <= c.tombstones[update.Name].incarnation {
		return false
	}
	delete(c.tombstones, update.Name)
	c.setEntry(now, update)
	return true
}

// setEntry stores an entry in the table and adds it to the gossip.
func (c *core) setEntry(now time.Time, e *peerpb.NodeEntry) {
	m := c.members[e.Name]
	appliedOnly := m != nil && m.entry.State == e.State && m.entry.Incarnation == e.Incarnation
	if m == nil || m.entry.State != e.State {
		c.addAction(eventAction{kind: eventNodeChanged, name: e.Name, entry: e})
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
	c.gossip.add(e.Name, appliedOnly)
}

// refute handles an entry about this node that it didn't make itself: a suspicion, or an incarnation of an earlier run
// whose clock was ahead. It raises this node's incarnation above the entry's.
func (c *core) refute(now time.Time, update *peerpb.NodeEntry) bool {
	suspected := update.Incarnation == c.self.Incarnation && severity(update.State) > severity(c.self.State)
	if update.Incarnation <= c.self.Incarnation && !suspected {
		return false
	}
	c.updateSelf(now, func(e *peerpb.NodeEntry) { e.Incarnation = update.Incarnation + 1 })
	c.addAction(eventAction{kind: eventSuspicionRefuted, name: c.self.Name})
	return true
}

// updateSelf changes this node's entry and gossips it under the next revision.
func (c *core) updateSelf(now time.Time, change func(*peerpb.NodeEntry)) {
	own := proto.Clone(c.self).(*peerpb.NodeEntry)
	change(own)
	own.Revision++
	c.self = own
	c.setEntry(now, own)
}

// expireMembers marks nodes as dead whose suspicion has expired, and removes nodes that have been dead for long.
func (c *core) expireMembers(now time.Time) {
	for _, name := range c.dueMembers(now) {
		m := c.members[name]
		age := now.Sub(m.since)
		switch {
		case m.entry.State == peerpb.NodeState_SUSPECT && age >= c.suspicionPeriod():
			c.setEntry(now, withState(m.entry, peerpb.NodeState_DEAD))
		case m.entry.State == peerpb.NodeState_DEAD && age >= deadRetention:
			c.tombstones[name] = tombstone{incarnation: m.entry.Incarnation, since: now}
			delete(c.members, name)
			c.gossip.remove(name)
			c.version++
			c.addAction(eventAction{kind: eventNodeRemoved, name: name})
		}
	}
	for name, t := range c.tombstones {
		if now.Sub(t.since) >= tombstoneRetention {
			delete(c.tombstones, name)
		}
	}
}

// dueMembers returns the suspected and dead nodes whose state may have to change, in order. It's called in each tick,
// so it sorts only these.
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

// suspicionPeriod returns how long a suspected node has to refute.
func (c *core) suspicionPeriod() time.Duration {
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

// nodes returns the table in the order of names. An alive node that the VM list shows as leaving is returned as
// leaving, since the first leaving signal decides.
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
