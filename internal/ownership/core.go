package ownership

import (
	"fmt"
	"slices"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/engine"
	"waxwingcleat.example/waxwingcleat/internal/platform"
)

// Config holds the settings of a Core.
type Config struct {
	Self Holder
	// Lease is the validity of a claim or renewal, which the owner counts from the time of sending.
	Lease time.Duration
	// RenewEvery is the interval between renewals.
	RenewEvery time.Duration
	// Margin is added to the lease by all other schedulers, which count from the time at which they read the renewal.
	Margin time.Duration
	// RankDelay is the additional delay per rank in the order of preference before a scheduler claims a free server.
	RankDelay time.Duration
}

// DefaultConfig returns the default settings for the given scheduler.
func DefaultConfig(self Holder) Config {
	return Config{
		Self: self, Lease: 6 * time.Second, RenewEvery: 2 * time.Second, Margin: 2 * time.Second, RankDelay: time.Second,
	}
}

// EventKind is the kind of an Event.
type EventKind int

// Kinds of events.
const (
	// Gained means that this scheduler's claim took effect.
	Gained EventKind = iota + 1
	// Lost means that another scheduler's claim took effect or that this scheduler's release was read back.
	Lost
	// LeaseExpired means that the lease expired and no newer claim was read.
	LeaseExpired
	// LeaseRestored means that an expired lease is valid again.
	LeaseRestored
)

// Event is a change of a server's ownership.
type Event struct {
	Kind   EventKind
	Server string
	Fence  engine.FencingNumber
	// Holder is the owner after the event.
	Holder Holder
}

// Status is the state of a server that this scheduler owns.
type Status struct {
	Server string
	Fence  engine.FencingNumber
	// LeaseUntil is when the lease expires, on the local clock.
	LeaseUntil time.Time
	// Former holds the former owners that are not proven to have stopped granting permits.
	Former []Holder
	// BlockedIntents holds open intents of former owners. On engines that don't check the fencing number, no permits
	// may be granted for their loads.
	BlockedIntents []Intent
	// Intent is the load of this scheduler's open intent that was read back, or empty.
	Intent engine.LoadName
}

// Core determines the ownership of servers and the records to append. It is not safe for concurrent use.
type Core struct {
	config Config
	state  *state
	// sent holds the time at which each own claim or renewal was returned to be appended, by record ID.
	sent map[string]time.Time
	// leaseFrom holds the start of the lease by server: the sending time of the last own claim or renewal read back.
	leaseFrom map[string]time.Time
	// observed holds the time at which the last effective claim or renewal of each server was read.
	observed map[string]time.Time
	expired  map[string]bool
	// claimPending holds the sending time of the pending claim for each server.
	claimPending map[string]time.Time
	claimableAt  map[string]time.Time
	servers      []string
	schedulers   []string
	vms          vmPresence
	// stoppedHolders holds the former holders that are known to have stopped granting permits, because they answered
	// Supersede for the server or because a later incarnation answered at their address.
	stoppedHolders map[stoppedKey]bool
	lastRenew      time.Time
	caughtUp       bool
	lastRead       time.Time
	startedAt      time.Time
	claimsStopped  bool
	releasing      bool
	recordCount    uint64
}

// New returns a Core that has read no records.
func New(config Config) *Core {
	return &Core{
		config: config, state: newState(),
		sent: map[string]time.Time{}, leaseFrom: map[string]time.Time{}, observed: map[string]time.Time{},
		expired: map[string]bool{}, claimPending: map[string]time.Time{}, claimableAt: map[string]time.Time{},
		vms: newVMPresence(), stoppedHolders: map[stoppedKey]bool{},
	}
}

// SetServers sets the names of the zone's backend servers.
func (c *Core) SetServers(names []string) { c.servers = slices.Sorted(slices.Values(names)) }

// SetSchedulers sets the node names of the zone's live schedulers.
func (c *Core) SetSchedulers(nodes []string) { c.schedulers = slices.Clone(nodes) }

// SetVMs sets the result of a successful read of the platform's list of VMs.
func (c *Core) SetVMs(now time.Time, names []string) { c.vms.set(now, names) }

// stoppedKey identifies a former holder of one server, or of all servers if server is empty.
type stoppedKey struct {
	server      string
	incarnation string
}

// Superseded records an answer to Permits.Supersede for one server. If a later incarnation answered at the former
// holder's address, the former holder is proven to have stopped for all servers.
func (c *Core) Superseded(server string, former Holder, answeredBy string) {
	switch {
	case answeredBy == former.Incarnation:
		c.stoppedHolders[stoppedKey{server, former.Incarnation}] = true
	case answeredBy > former.Incarnation:
		c.stoppedHolders[stoppedKey{"", former.Incarnation}] = true
	}
}

// Trimmed sets the offset of the first record that is read, at time now. Earlier records are not available.
func (c *Core) Trimmed(now time.Time, earliest platform.Offset) {
	c.state.start = earliest
	c.startedAt = now
}

// Observe applies records, which must be in order of their offsets, that were read at time now. The flag caughtUp
// indicates that the batch reached the end of the stream. Records that can't be decoded are skipped.
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
		events = append(events, c.observeRecord(now, raw.Offset, r)...)
	}
	c.caughtUp = caughtUp
	c.lastRead = now
	return events
}

func (c *Core) observeRecord(now time.Time, offset platform.Offset, r Record) []Event {
	ownedBefore := c.ownedServers()
	effective := c.state.apply(offset, r)
	if r.isOwn(c.config.Self) {
		c.confirmRecord(r, effective)
	}
	if r.Kind == Claim || r.Kind == Renewal {
		for _, name := range effective {
			c.observed[name] = now
			delete(c.claimableAt, name)
		}
	}
	return c.ownershipEvents(ownedBefore, r)
}

// confirmRecord starts the lease of the servers on which an own record took effect, counted from when it was sent.
func (c *Core) confirmRecord(r Record, effective []string) {
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

// ownershipEvents returns the events caused by a record, given the owned servers before it was applied.
func (c *Core) ownershipEvents(before map[string]engine.FencingNumber, r Record) []Event {
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
			delete(c.expired, name)
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

// Owned returns the sorted names of the servers whose last recorded owner is this scheduler, including those whose
// lease has expired.
func (c *Core) Owned() []string { return sortedKeys(c.ownedServers()) }

// Status returns the state of a server, or false if this scheduler doesn't own it.
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
		} else if !c.vms.absent(now, intent.Holder.Node) {
			status.BlockedIntents = append(status.BlockedIntents, intent)
		}
	}
	return status, true
}

// LeaseValid reports whether this scheduler owns the server and its lease is valid at time now.
func (c *Core) LeaseValid(now time.Time, name string) bool {
	status, ok := c.Status(now, name)
	return ok && now.Before(status.LeaseUntil)
}

// Holder returns the last recorded owner of a server, whether or not its lease is valid.
func (c *Core) Holder(name string) (Holder, bool) {
	server, ok := c.state.servers[name]
	if !ok || server.fence == 0 || server.released {
		return Holder{}, false
	}
	return server.holder, true
}

func (c *Core) provenStopped(now time.Time, server string, h Holder) bool {
	return c.stoppedHolders[stoppedKey{server, h.Incarnation}] || c.stoppedHolders[stoppedKey{"", h.Incarnation}] ||
		c.vms.absent(now, h.Node)
}

func (c *Core) nextID() string {
	c.recordCount++
	return fmt.Sprintf("%s/%d", c.config.Self.Incarnation, c.recordCount)
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
