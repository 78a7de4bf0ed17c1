package ownership

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"waxwingcleat.example/waxwingcleat/internal/engine"
)

const (
	// claimRetry is the time after which a claim that was not read back is sent again.
	claimRetry = 3 * time.Second
	// maximumReadAge is the age of the last successful read above which no claims are made, because the log is
	// unavailable.
	maximumReadAge = 5 * time.Second
)

// Tick returns the records to append now, and events for leases that have expired or become valid again.
func (c *Core) Tick(now time.Time) ([]Record, []Event) {
	events := c.checkLeases(now)
	if c.releasing {
		return nil, events
	}
	records := c.renewals(now)
	records = append(records, c.claims(now)...)
	return records, events
}

func (c *Core) checkLeases(now time.Time) []Event {
	var events []Event
	owned := c.ownedServers()
	for _, name := range sortedKeys(owned) {
		valid := c.LeaseValid(now, name)
		if valid == !c.expired[name] {
			continue
		}
		kind := LeaseExpired
		if valid {
			kind = LeaseRestored
		}
		c.expired[name] = !valid
		events = append(events, Event{Kind: kind, Server: name, Fence: owned[name], Holder: c.config.Self})
	}
	return events
}

// renewals returns one renewal for all owned servers if it is due. A renewal also restores ownership after the lease
// expired, provided that no other scheduler has claimed the server.
func (c *Core) renewals(now time.Time) []Record {
	owned := c.Owned()
	if len(owned) == 0 || now.Sub(c.lastRenew) < c.config.RenewEvery {
		return nil
	}
	c.lastRenew = now
	r := c.record(Renewal)
	for _, name := range owned {
		r.Holdings = append(r.Holdings, c.holding(now, name))
	}
	c.recordSent(now, r)
	return []Record{r}
}

// holding returns the server's entry in a renewal. It omits former holders and intents that are proven to have ended,
// so that other readers drop them too.
func (c *Core) holding(now time.Time, name string) Holding {
	server := c.state.servers[name]
	h := Holding{Server: name, Fence: server.fence}
	for _, former := range server.former {
		if !c.provenStopped(now, name, former) {
			h.Former = append(h.Former, former)
		}
	}
	for _, intent := range server.intents {
		own := intent.Holder.Incarnation == c.config.Self.Incarnation
		if own || !c.vms.absent(now, intent.Holder.Node) {
			h.Intents = append(h.Intents, intent)
		}
	}
	return h
}

// recordSent stores the sending time of the record, and removes times of records whose lease has expired.
func (c *Core) recordSent(now time.Time, r Record) {
	for id, sent := range c.sent {
		if now.Sub(sent) > c.config.Lease {
			delete(c.sent, id)
		}
	}
	c.sent[r.ID] = now
}

func (c *Core) claims(now time.Time) []Record {
	if c.claimsStopped || !c.caughtUp || now.Sub(c.lastRead) > maximumReadAge {
		return nil
	}
	var records []Record
	for _, name := range c.servers {
		if c.mayClaim(now, name) {
			records = append(records, c.claim(now, name))
		}
	}
	return records
}

func (c *Core) claim(now time.Time, name string) Record {
	r := c.record(Claim)
	r.Server = name
	r.Seen = c.state.applied
	r.Replaces = c.state.server(name).fence
	c.claimPending[name] = now
	c.recordSent(now, r)
	return r
}

func (c *Core) mayClaim(now time.Time, name string) bool {
	server := c.state.server(name)
	if !server.released && server.holder.Incarnation == c.config.Self.Incarnation {
		return false
	}
	if sent, pending := c.claimPending[name]; pending && now.Sub(sent) < claimRetry {
		return false
	}
	if !c.claimable(now, name, server) {
		delete(c.claimableAt, name)
		return false
	}
	since, known := c.claimableAt[name]
	if !known {
		since = now
		c.claimableAt[name] = now
	}
	return now.Sub(since) >= time.Duration(c.rank(name))*c.config.RankDelay
}

// claimable reports whether, to this scheduler's knowledge, no other scheduler holds the server.
func (c *Core) claimable(now time.Time, name string, server *serverState) bool {
	wait := c.config.Lease + c.config.Margin
	if server.released || (server.fence != 0 && c.holderReplaced(server)) {
		return true
	}
	if server.fence != 0 {
		return now.Sub(c.observed[name]) >= wait
	}
	// Unread earlier records may contain a claim. If its owner is alive, it renews within the wait.
	return c.state.start <= 1 || now.Sub(c.startedAt) >= wait
}

// holderReplaced reports whether this process is a later incarnation of the holder, or a later one has written a
// record.
func (c *Core) holderReplaced(server *serverState) bool {
	return c.config.Self.follows(server.holder) || c.state.latest[server.holder.Node].follows(server.holder)
}

// rank returns this scheduler's rank in the rendezvous order of the live schedulers for a server.
func (c *Core) rank(server string) int {
	own := weight(c.config.Self.Node, server)
	rank := 0
	for _, node := range c.schedulers {
		if node != c.config.Self.Node && weight(node, server) > own {
			rank++
		}
	}
	return rank
}

func weight(node, server string) uint64 { return xxhash.Sum64String(node + "\x00" + server) }

// OpenIntent returns the record that announces an eviction, or false if the lease is not valid or another intent of
// this scheduler is open on the server.
func (c *Core) OpenIntent(now time.Time, server string, load engine.LoadName) (Record, bool) {
	status, ok := c.Status(now, server)
	if !ok || c.releasing || !now.Before(status.LeaseUntil) || status.Intent != "" {
		return Record{}, false
	}
	r := c.record(Intend)
	r.Server, r.Fence, r.Load = server, status.Fence, load
	return r, true
}

// EndIntent returns the record that closes an intent of this scheduler. The kind must be Done or Withdrawn.
func (c *Core) EndIntent(kind Kind, server string, fence engine.FencingNumber, load engine.LoadName) Record {
	r := c.record(kind)
	r.Server, r.Fence, r.Load = server, fence, load
	return r
}

// ReleaseAll returns the records that release all owned servers, and stops claims and renewals. The caller must have
// stopped granting permits before it appends them.
func (c *Core) ReleaseAll() []Record {
	c.releasing = true
	var records []Record
	for _, name := range c.Owned() {
		records = append(records, c.Release(name))
	}
	return records
}

// Release returns the record that releases one owned server. The caller must have stopped granting permits for it.
func (c *Core) Release(name string) Record {
	r := c.record(Release)
	r.Server, r.Fence = name, c.state.server(name).fence
	return r
}

// Surplus returns the owned servers that should move to another scheduler. The result is empty unless this scheduler
// owns more than its share; it contains the servers for which this scheduler isn't first in the order of preference.
// Restarts concentrate ownership, and releasing surplus servers rebalances it.
func (c *Core) Surplus() []string {
	owned := c.Owned()
	others := len(c.schedulers)
	if !slices.Contains(c.schedulers, c.config.Self.Node) {
		others++
	}
	share := (len(c.servers) + others - 1) / others
	if c.claimsStopped || c.releasing || len(owned) <= share {
		return nil
	}
	return slices.DeleteFunc(owned, func(name string) bool { return c.rank(name) == 0 })
}

// StopClaims makes Tick return no further claims. Renewals continue.
func (c *Core) StopClaims() { c.claimsStopped = true }

func (c *Core) record(kind Kind) Record {
	return Record{ID: c.nextID(), Kind: kind, Holder: c.config.Self}
}

const (
	// absenceAfterListed is how long a VM must be missing from the list, after it was listed, to be considered deleted. A
	// single absence isn't sufficient because the list is served by replicas with different lags.
	absenceAfterListed = 5 * time.Second
	// absenceNeverListed is the same duration for a VM that was never listed, which may be too new to be on the list.
	absenceNeverListed = time.Minute
)

// vmPresence tracks when each VM was last on the platform's list.
type vmPresence struct {
	listedAt map[string]time.Time
	first    time.Time
	last     time.Time
}

func newVMPresence() vmPresence { return vmPresence{listedAt: map[string]time.Time{}} }

func (v *vmPresence) set(now time.Time, names []string) {
	if v.first.IsZero() {
		v.first = now
	}
	v.last = now
	for _, name := range names {
		v.listedAt[name] = now
	}
}

// absent reports whether the successful reads of the list show that the VM no longer exists.
func (v *vmPresence) absent(now time.Time, name string) bool {
	listed, known := v.listedAt[name]
	if !known {
		return !v.first.IsZero() && v.last.Sub(v.first) >= absenceNeverListed
	}
	return !now.Before(v.last) && v.last.Sub(listed) >= absenceAfterListed
}

// Schedulers returns the nodes set by SetSchedulers in sorted order.
func (c *Core) Schedulers() []string { return slices.Sorted(slices.Values(c.schedulers)) }
