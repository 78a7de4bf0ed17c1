// Package storewatch keeps the nodes of a site from all reading the platform's store all the time. A few nodes, the
// readers, read it and tell the others by a digest how far they got and what they found; the others read it only when
// a digest shows something new, or when no reader is heard.
package storewatch

import "time"

// silentAfter is after how long without a digest a node reads the store itself. Readers send one each 300 ms.
const silentAfter = 900 * time.Millisecond

// minimumPause is the least time between two reads of the servers' entries that digests cause.
const minimumPause = 150 * time.Millisecond

// learnAfter is how long a node that knows of something new leaves it to the store before it asks the reader. The store
// answers within some 340 ms even when it's slow, and leaving servers have to be known within 2 s.
const learnAfter = 400 * time.Millisecond

// learnPause is the least time between two questions to a reader.
const learnPause = 300 * time.Millisecond

// Digest is what a reader tells of its latest reads.
type Digest struct {
	// OperatorNext and ServersNext are the offsets up to which the reader has read.
	OperatorNext int64
	ServersNext  int64
	// Servers is the fingerprint of the servers' entries, without what changes at each heartbeat.
	Servers uint64
}

// Core is the state of one node. It isn't safe for concurrent use.
type Core struct {
	reader  bool
	heardAt time.Time
	newest  Digest
	// serversNext is how far this node has read, and readAt when.
	operatorNext int64
	serversNext  int64
	readAt       time.Time
	// source is the reader whose digest was the last one with something new, and behindSince when the node fell
	// behind it.
	source      string
	behindSince time.Time
	learnedAt   time.Time
}

// SetReader says whether this node is a reader.
func (c *Core) SetReader(reader bool) { c.reader = reader }

// Heard takes the digest of a reader, which is named by its peer address.
func (c *Core) Heard(now time.Time, reader string, digest Digest) {
	c.heardAt = now
	if digest.OperatorNext >= c.newest.OperatorNext && digest.ServersNext >= c.newest.ServersNext {
		c.source = reader
	}
	c.newest.OperatorNext = max(c.newest.OperatorNext, digest.OperatorNext)
	if digest.ServersNext > c.newest.ServersNext {
		c.newest.ServersNext, c.newest.Servers = digest.ServersNext, digest.Servers
	}
}

// HasRead reports whether the node has read the operators' records up to an offset.
func (c *Core) HasRead(operator int64) bool { return c.operatorNext > 0 && c.operatorNext >= operator }

// ReadOperator notes a read of the operators' records up to an offset.
func (c *Core) ReadOperator(next int64) { c.operatorNext = next }

// ReadServers notes a read of the servers' entries up to an offset.
func (c *Core) ReadServers(now time.Time, next int64) { c.serversNext, c.readAt = next, now }

// Informed reports whether a reader was heard lately.
func (c *Core) Informed(now time.Time) bool { return now.Sub(c.heardAt) < silentAfter }

// Follows reports whether the node relies on readers.
func (c *Core) Follows(now time.Time) bool { return !c.reader && c.Informed(now) }

// LearnFrom returns the reader that this node, whose own fingerprint is given, has to ask for what the store doesn't
// tell it; empty when it lacks nothing or the store may still answer.
func (c *Core) LearnFrom(now time.Time, own uint64) (reader string) {
	if !c.OperatorDue() && !c.behindServers(own) {
		c.behindSince = time.Time{}
		return ""
	}
	if c.behindSince.IsZero() {
		c.behindSince = now
	}
	if now.Sub(c.behindSince) < learnAfter || now.Sub(c.learnedAt) < learnPause || now.Sub(c.heardAt) >= silentAfter {
		return ""
	}
	c.learnedAt = now
	return c.source
}

// Learned notes what a reader has told of its reads.
func (c *Core) Learned(digest Digest) {
	c.operatorNext = max(c.operatorNext, digest.OperatorNext)
	c.serversNext = max(c.serversNext, digest.ServersNext)
}

func (c *Core) behindServers(own uint64) bool {
	return c.newest.ServersNext > c.serversNext && c.newest.Servers != own
}

// OperatorDue reports whether a following node has to read the operators' records.
func (c *Core) OperatorDue() bool { return c.newest.OperatorNext > c.operatorNext }

// ServersDue reports whether a following node, whose own fingerprint is given, has to read the servers' entries.
func (c *Core) ServersDue(now time.Time, own uint64) bool {
	return c.behindServers(own) && now.Sub(c.readAt) >= minimumPause
}
