// Package storewatch reduces the nodes' reads of the platform's store. A few nodes of a site, the readers, poll the
// store and send the other nodes digests of what they have read; the others read the store only when a digest shows a
// change, or when digests stop arriving.
package storewatch

import (
	"time"

	"waxwingcleat.example/waxwingcleat/internal/serving"
)

// digestTimeout is the time without a digest after which a reader counts as silent. Readers send a digest every 300 ms.
const digestTimeout = 900 * time.Millisecond

// maximumReadAge is the age of a reader's latest read up to which other nodes rely on it. Readers read every 600 ms, a
// slow store answers within some 340 ms, and digests are sent every 300 ms; changes have to be in force within 2 s.
const maximumReadAge = 1300 * time.Millisecond

// MaximumGap is the longest time without current entries in which no server can have appeared and left unnoticed: entries
// lapse after three missed heartbeats.
const MaximumGap = 2 * time.Second

// minimumReadInterval is the minimum time between two reads of the servers' entries that are caused by digests.
const minimumReadInterval = 400 * time.Millisecond

// fetchDelay is how long a node that is behind a reader waits for the store before it fetches the data from the reader.
// The store answers within some 340 ms even when it is slow, and leaving servers have to be known within 2 s.
const fetchDelay = 400 * time.Millisecond

// fetchInterval is the minimum time between two fetches from a reader.
const fetchInterval = 300 * time.Millisecond

// Digest summarizes a reader's latest reads.
type Digest struct {
	// Era is the era of the store to which the offsets belong. Builds that don't know eras leave it out.
	Era serving.StoreEra `json:",omitempty"`
	// OperatorNext and ServersNext are the offsets up to which the reader has read.
	OperatorNext int64
	ServersNext  int64
	// Servers is the fingerprint of the servers' entries, without the parts that change at each heartbeat.
	Servers uint64
	// OperatorAge and ServersAge are the times since the reader's latest successful reads of the operators' records and of
	// the servers' entries, which are read by separate calls.
	OperatorAge time.Duration
	ServersAge  time.Duration
}

// ServersPosition returns the position in the servers' entries up to which the reader has read.
func (d Digest) ServersPosition() serving.Position {
	return serving.Position{Era: d.Era, Offset: d.ServersNext}
}

// OperatorPosition is ServersPosition for the operators' records.
func (d Digest) OperatorPosition() serving.Position {
	return serving.Position{Era: d.Era, Offset: d.OperatorNext}
}

// Core is the state of one node. It isn't safe for concurrent use.
type Core struct {
	reader bool
	// era is the era of the store to which all offsets belong.
	era serving.StoreEra
	// digestAt is when the latest digest arrived.
	digestAt time.Time
	// readersReadOperator and readersReadServers are when a reader last read the operators' records and the servers'
	// entries, according to all digests.
	readersReadOperator time.Time
	readersReadServers  time.Time
	// newest combines the highest offsets of all digests.
	newest Digest
	// operatorNext and serversNext are the offsets up to which this node has read, and readAt is when it last read the
	// servers' entries.
	operatorNext int64
	serversNext  int64
	readAt       time.Time
	// source is the reader that sent the latest digest that wasn't behind newest, and behindSince is since when this
	// node has been behind.
	source      string
	behindSince time.Time
	// fetchStartedAt is when this node last began to fetch from a reader.
	fetchStartedAt time.Time
	// currentAt is when this node last knew the servers' entries, and currentSince since when without a longer gap.
	currentAt    time.Time
	currentSince time.Time
}

// SetReader sets whether this node is a reader.
func (c *Core) SetReader(reader bool) { c.reader = reader }

// EnterEra forgets the offsets, and when they were read, if an era is newer than the one to which they belong: the store gives offsets
// out again, and what was read before says nothing about what it holds now. It returns false if the era is an earlier one.
func (c *Core) EnterEra(era serving.StoreEra) (current bool) {
	if era > c.era {
		*c = Core{reader: c.reader, era: era, currentAt: c.currentAt, currentSince: c.currentSince}
	}
	return era == c.era
}

// DigestReceived applies the digest of a reader, which is identified by its peer address, unless it belongs to an earlier era.
func (c *Core) DigestReceived(now time.Time, reader string, digest Digest) {
	if !c.EnterEra(digest.Era) {
		return
	}
	c.digestAt = now
	c.readersReadOperator = later(c.readersReadOperator, now.Add(-max(digest.OperatorAge, 0)))
	c.readersReadServers = later(c.readersReadServers, now.Add(-max(digest.ServersAge, 0)))
	if digest.OperatorNext >= c.newest.OperatorNext && digest.ServersNext >= c.newest.ServersNext {
		c.source = reader
	}
	c.newest.OperatorNext = max(c.newest.OperatorNext, digest.OperatorNext)
	if digest.ServersNext > c.newest.ServersNext {
		c.newest.ServersNext, c.newest.Servers = digest.ServersNext, digest.Servers
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// HasRead reports whether this node has read the operators' records up to an offset of the present era.
func (c *Core) HasRead(operator int64) bool { return c.operatorNext > 0 && c.operatorNext >= operator }

// ReadOperator records a read of the operators' records up to an offset of the present era.
func (c *Core) ReadOperator(next int64) { c.operatorNext = next }

// ReadServers records a read of the servers' entries up to an offset of the present era.
func (c *Core) ReadServers(now time.Time, next int64) { c.serversNext, c.readAt = next, now }

// readersKnowServers reports whether a reader has read the servers' entries recently.
func (c *Core) readersKnowServers(now time.Time) bool {
	return now.Sub(c.readersReadServers) < maximumReadAge
}

// FollowsServers reports whether this node relies on readers for the servers' entries.
func (c *Core) FollowsServers(now time.Time) bool { return !c.reader && c.readersKnowServers(now) }

// FollowsOperator reports whether this node relies on readers for the operators' records.
func (c *Core) FollowsOperator(now time.Time) bool {
	return !c.reader && c.ReadersOperatorAge(now) < maximumReadAge
}

// ReadersOperatorAge returns how long ago a reader last read the operators' records.
func (c *Core) ReadersOperatorAge(now time.Time) time.Duration { return now.Sub(c.readersReadOperator) }

// FetchSource returns the reader from which this node should fetch what it has not received from the store. own is the
// node's own fingerprint. The result is empty while the node isn't behind or the store may still answer.
func (c *Core) FetchSource(now time.Time, own uint64) (reader string) {
	if !c.OperatorDue() && !c.behindServers(own) {
		c.behindSince = time.Time{}
		return ""
	}
	if c.behindSince.IsZero() {
		c.behindSince = now
	}
	if now.Sub(c.behindSince) < fetchDelay || now.Sub(c.fetchStartedAt) < fetchInterval ||
		now.Sub(c.digestAt) >= digestTimeout {
		return ""
	}
	c.fetchStartedAt = now
	return c.source
}

// Fetched records that this node has the data that a digest covers, unless the digest belongs to an earlier era.
func (c *Core) Fetched(digest Digest) {
	if !c.EnterEra(digest.Era) {
		return
	}
	c.operatorNext = max(c.operatorNext, digest.OperatorNext)
	c.serversNext = max(c.serversNext, digest.ServersNext)
}

// CheckCurrent reports whether this node knows the servers' entries, from the store or from readers, and since when without
// a gap longer than MaximumGap. own is its own fingerprint. It must be called more often than MaximumGap.
func (c *Core) CheckCurrent(now time.Time, own uint64) (since time.Time, current bool) {
	if now.Sub(c.readAt) < digestTimeout || c.readersKnowServers(now) && !c.behindServers(own) {
		if now.Sub(c.currentAt) > MaximumGap {
			c.currentSince = now
		}
		c.currentAt = now
	}
	return c.currentSince, now.Sub(c.currentAt) <= MaximumGap
}

// Suspended ends the time for which the entries are known without a gap. The clock of CheckCurrent stands still while the VM
// is suspended, so that it doesn't show the gap.
func (c *Core) Suspended() { c.currentAt = time.Time{} }

func (c *Core) behindServers(own uint64) bool {
	return c.newest.ServersNext > c.serversNext && c.newest.Servers != own
}

// OperatorDue reports whether a node that follows readers has to read the operators' records.
func (c *Core) OperatorDue() bool { return c.newest.OperatorNext > c.operatorNext }

// ServersDue reports whether a node that follows readers has to read the servers' entries. own is its own fingerprint.
func (c *Core) ServersDue(now time.Time, own uint64) bool {
	return c.behindServers(own) && now.Sub(c.readAt) >= minimumReadInterval
}
