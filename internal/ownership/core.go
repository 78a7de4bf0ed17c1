package ownership

import (
	"fmt"
	"slices"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/engine"
	"waxwingcleat.example/waxwingcleat/internal/platform"
)

// Config holds the core's fixed values.
type Config struct {
	Self Holder
	// Lease is how long a claim or renewal holds, counted by the owner from when it was sent.
	Lease time.Duration
	// RenewEvery is the time between two renewals.
	RenewEvery time.Duration
	// Margin is added to the lease by everyone but the owner, who count from when they observed the renewal.
	Margin time.Duration
	// RankDelay is how much later each further scheduler in the order of preference claims a free server.
	RankDelay time.Duration
}

// DefaultConfig returns the values of the design page.
func DefaultConfig(self Holder) Config {
	return Config{
		Self: self, Lease: 6 * time.Second, RenewEvery: 2 * time.Second, Margin: 2 * time.Second, RankDelay: time.Second,
	}
}

// EventKind says what happened to a server.
type EventKind int

// Kinds of events.
const (
	// Gained says that this scheduler's claim took effect.
	Gained EventKind = iota + 1
	// Lost says that another scheduler's claim took effect or that the release was read back.
	Lost
	// Lapsed says that the lease has run out and no newer claim was read.
	Lapsed
	// Renewed says that a lapsed lease is valid again.
	Renewed
)

// Event is a change of ownership of one server.
type Event struct {
	Kind   EventKind
	Server string
	Fence  engine.FencingNumber
	// Holder is the owner after the event.
	Holder Holder
}

// Status is this scheduler's view of a server that it owns.
type Status struct {
	Server string
	Fence  engine.FencingNumber
	// LeaseUntil is the end of the lease on the local clock.
	LeaseUntil time.Time
	// Former are former owners not proven to have stopped granting permits.
	Former []Holder
	// Barred are intents of former owners: the loads they name get no permits on engines that ignore the fence.
	Barred []Intent
	// Intent is the load of the own open intent that was read back, or empty.
	Intent engine.LoadName
}

// Core is the aggregate. It isn't safe for concurrent use.
type Core struct {
	config Config
	state  *state
	// sent holds the time at which each own claim or renewal was handed out to be appended.
	sent map[string]time.Time
	// leaseFrom is the time of sending of the last own claim or renewal that was read back, by server.
	leaseFrom map[string]time.Time
	// observed is when the last effective claim or renewal of each server was read.
	observed map[string]time.Time
	lapsed   map[string]bool
	// claimPending holds the time of the claim under way for each server.
	claimPending map[string]time.Time
	claimableAt  map[string]time.Time
	servers      []string
	schedulers   []string
	vms          vmFacts
	// stopped holds the former holders that answered Supersede, by server, or that were replaced.
	stopped   map[stoppedKey]bool
	lastRenew time.Time
	caughtUp  bool
	lastRead  time.Time
	startedAt time.Time
	stopping  bool
	releasing bool
	counter   uint64
}

// New returns a core that knows no records.
func New(config Config) *Core {
	return &Core{
		config: config, state: newState(),
		sent: map[string]time.Time{}, leaseFrom: map[string]time.Time{}, observed: map[string]time.Time{},
		lapsed: map[string]bool{}, claimPending: map[string]time.Time{}, claimableAt: map[string]time.Time{},
		vms: newVMFacts(), stopped: map[stoppedKey]bool{},
	}
}

// SetServers sets the names of the zone's backend servers.
func (c *Core) SetServers(names []string) { c.servers = slices.Sorted(slices.Values(names)) }

// SetSchedulers sets the node names of the zone's live schedulers.
func (c *Core) SetSchedulers(nodes []string) { c.schedulers = slices.Clone(nodes) }

// SetVMs takes one successful reading of the platform's list of VMs.
func (c *Core) SetVMs(now time.Time, names []string) { c.vms.set(now, names) }

// stoppedKey names a former holder of one server, or of all servers when server is empty.
type stoppedKey struct {
	server      string
	incarnation string
}

// Superseded takes the answer to Permits.Supersede for one server. When a later incarnation answered at the former
// holder's address, that proves the former holder gone for all servers.
func (c *Core) Superseded(server string, former Holder, answeredBy string) {
	switch {
	case answeredBy == former.Incarnation:
		c.stopped[stoppedKey{server, former.Incarnation}] = true
	case answeredBy > former.Incarnation:
		c.stopped[stoppedKey{"", former.Incarnation}] = true
	}
}

// Trimmed says that records before earliest were not read.
func (c *Core) Trimmed(now time.Time, earliest platform.Offset) {
	c.state.start = earliest
	c.startedAt = now
}

// Observe takes records in the order of their offsets, with the time at which they were read. The flag caughtUp
// says that the batch reached the end of the stream. Records that can't be decoded have no effect.
func (c *Core) Observe(now time.Time, records []platform.Record, caughtUp bool) []Event {
	if c.startedAt.IsZero() {
		c.startedAt = now
	}
	var events []Event
	for _, raw := range records {
		r, err := Decode(raw.Data)
		if err != nil {
			c.state.applied = raw.Offset
			continue
		}
		events = append(events, c.observeOne(now, raw.Offset, r)...)
	}
	c.caughtUp = caughtUp
	c.lastRead = now
	return events
}

func (c *Core) observeOne(now time.Time, offset platform.Offset, r Record) []Event {
	ownedBefore := c.ownedServers()
	effective := c.state.apply(offset, r)
	if r.isOwn(c.config.Self) {
		c.readBack(r, effective)
	}
	if r.Kind == Claim || r.Kind == Renewal {
		for _, name := range effective {
			c.observed[name] = now
			delete(c.claimableAt, name)
		}
	}
	return c.compare(ownedBefore, r)
}

// readBack starts the lease of the servers on which an own record took effect, counted from when it was sent.
func (c *Core) readBack(r Record, effective []string) {
	if r.Kind == Claim {
		delete(c.claimPending, r.Server)
	}
	sent, ok := c.sent[r.ID]
	if !ok {
		return
	}
	delete(c.sent, r.ID)
	for _, name := range effective {
		if sent.After(c.leaseFrom[name]) {
			c.leaseFrom[name] = sent
		}
	}
}

// compare returns the events that one record caused.
func (c *Core) compare(before map[string]engine.FencingNumber, r Record) []Event {
	var events []Event
	after := c.ownedServers()
	for _, name := range sortedKeys(before) {
		if after[name] != before[name] {
			server := c.state.servers[name]
			events = append(events, Event{Kind: Lost, Server: name, Fence: before[name], Holder: server.holder})
		}
	}
	for _, name := range sortedKeys(after) {
		if after[name] != before[name] {
			delete(c.lapsed, name)
			events = append(events, Event{Kind: Gained, Server: name, Fence: after[name], Holder: r.Holder})
		}
	}
	return events
}

func (c *Core) ownedServers() map[string]engine.FencingNumber {
	owned := map[string]engine.FencingNumber{}
	for name, server := range c.state.servers {
		if !server.released && server.holder.Incarnation == c.config.Self.Incarnation {
			owned[name] = server.fence
		}
	}
	return owned
}

// Owned returns the names of the servers that this scheduler owns or owned last, in order.
func (c *Core) Owned() []string { return sortedKeys(c.ownedServers()) }

// Status returns this scheduler's view of a server, or false when it doesn't own the server.
func (c *Core) Status(now time.Time, name string) (Status, bool) {
	server, ok := c.state.servers[name]
	if !ok || server.released || server.holder.Incarnation != c.config.Self.Incarnation {
		return Status{}, false
	}
	status := Status{Server: name, Fence: server.fence, LeaseUntil: c.leaseFrom[name].Add(c.config.Lease)}
	for _, former := range server.former {
		if !c.provenStopped(now, name, former) {
			status.Former = append(status.Former, former)
		}
	}
	for _, intent := range server.intents {
		if intent.Holder.Incarnation == c.config.Self.Incarnation && intent.Fence == server.fence {
			status.Intent = intent.Load
		} else if !c.vms.gone(now, intent.Holder.Node) {
			status.Barred = append(status.Barred, intent)
		}
	}
	return status, true
}

// LeaseValid reports whether the server is owned and its lease holds now.
func (c *Core) LeaseValid(now time.Time, name string) bool {
	status, ok := c.Status(now, name)
	return ok && now.Before(status.LeaseUntil)
}

// Holder returns the last known owner of a server, whether or not its lease holds.
func (c *Core) Holder(name string) (Holder, bool) {
	server, ok := c.state.servers[name]
	if !ok || server.fence == 0 || server.released {
		return Holder{}, false
	}
	return server.holder, true
}

func (c *Core) provenStopped(now time.Time, server string, h Holder) bool {
	return c.stopped[stoppedKey{server, h.Incarnation}] || c.stopped[stoppedKey{"", h.Incarnation}] ||
		c.vms.gone(now, h.Node)
}

func (c *Core) nextID() string {
	c.counter++
	return fmt.Sprintf("%s/%d", c.config.Self.Incarnation, c.counter)
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
