// Package keyproof decides how long a node may accept API keys: only while it can prove that its configuration was the
// newest one at a recent moment. A proof is a node's own read of the operators' records, or the answer of another node
// to a challenge. Times are readings of one clock that goes on while the VM is suspended; between nodes only ages are
// passed.
package keyproof

import (
	"time"

	"waxwingcleat.example/waxwingcleat/internal/serving"
)

const (
	// challengeInterval is the time between two challenges, maximumChallengeShare bounds it to a share of the lifetime of a
	// proof. It's halved after a challenge that was not answered.
	challengeInterval     = time.Second
	maximumChallengeShare = 4
	// refreshInterval is the least time between two challenges when a request needs a newer proof.
	refreshInterval = 200 * time.Millisecond
	// silentAfter is the time without an answer after which a node reads the operators' records itself. A node that reads
	// them itself sends challenges after that time without a read.
	silentAfter = 2 * time.Second
	// maximumOpen bounds the challenges that can still be answered and the answers that wait for records.
	maximumOpen = 16
)

// Position says how far a node has read the operators' records. The version is needed besides era and offset because a store that has
// returned from a copy may hold less than before, and because offsets begin anew when the log is replaced, while versions in force never
// go back.
type Position struct {
	// Era is the era of the store to which the offset belongs.
	Era serving.StoreEra
	// Offset is the offset up to which the node has read.
	Offset int64
	// Version is that of the configuration in force; 0 without one.
	Version int64
}

// covers reports whether a node at this position has applied everything that one at the other position has.
func (p Position) covers(other Position) bool {
	return !other.log().After(p.log()) && p.Version >= other.Version
}

// log returns the position in the log.
func (p Position) log() serving.Position { return serving.Position{Era: p.Era, Offset: p.Offset} }

// reached returns the later of two positions in the log, with the newest version.
func (p Position) reached(next Position) Position {
	version := max(p.Version, next.Version)
	if p.log().After(next.log()) {
		next = p
	}
	next.Version = version
	return next
}

// challenge is a challenge that was sent.
type challenge struct {
	nonce  uint64
	sentAt time.Duration
}

// proof says that the configuration of a node at the position was the newest at a time.
type proof struct {
	at       time.Duration
	position Position
}

// Core is the state of one node. It isn't safe for concurrent use.
type Core struct {
	lifetime time.Duration
	own      Position
	// proven is false until the first proof.
	proven bool
	newest proof
	// open holds the latest challenges, oldest first; unanswered is true until the latest one is answered.
	open       []challenge
	unanswered bool
	// waiting holds answers of nodes that had read more than this one, oldest first.
	waiting []proof
	// next is the number of the reader whose turn it is.
	next int
	// startedAt is when the node began to need proofs, answeredAt when an answer last counted, readAt when the latest own
	// read was sent.
	started              bool
	startedAt            time.Duration
	answered, read       bool
	answeredAt, readAt   time.Duration
	refresh, challenged  bool
	lastChallengeAt      time.Duration
	challengeAt, retryAt time.Duration
}

// New returns the core of a node without a proof. Proofs are valid for the given time.
func New(lifetime time.Duration) *Core {
	interval := min(challengeInterval, lifetime/maximumChallengeShare)
	return &Core{lifetime: lifetime, challengeAt: interval, retryAt: interval / 2}
}

// Read records the node's own read of all operators' records, sent at a time, once they are applied. The store had no
// records beyond the position when it answered.
func (c *Core) Read(sentAt time.Duration, position Position) {
	if position.Era < c.own.Era {
		// What the store held in an earlier era may not be what it holds now.
		return
	}
	// The offset may go back when the log was replaced.
	c.own = Position{Era: position.Era, Offset: position.Offset, Version: max(position.Version, c.own.Version)}
	c.read, c.readAt = true, max(sentAt, c.readAt)
	c.prove(proof{at: sentAt, position: c.own})
	c.proveWaiting()
}

// Applied records that the node has applied the operators' records up to a position, wherever it got them.
func (c *Core) Applied(position Position) {
	c.own = c.own.reached(position)
	c.proveWaiting()
}

// prove takes a proof, unless there is a newer one.
func (c *Core) prove(p proof) {
	if !c.proven || p.at > c.newest.at {
		c.proven, c.newest = true, p
	}
}

func (c *Core) proveWaiting() {
	kept := c.waiting[:0]
	for _, p := range c.waiting {
		if c.own.covers(p.position) {
			c.prove(p)
		} else {
			kept = append(kept, p)
		}
	}
	c.waiting = kept
}

// Challenge returns the reader to which a challenge with the nonce has to be sent now, if one is due. follows is true when
// the node relies on readers for the operators' records. It must be called several times a second while the node needs
// proofs.
func (c *Core) Challenge(now time.Duration, nonce uint64, readers []string, follows bool) (reader string, due bool) {
	if !c.started {
		c.started, c.startedAt = true, now
	}
	readsItself := !follows && c.read && now-c.readAt < silentAfter
	if len(readers) == 0 || readsItself && !c.refresh {
		return "", false
	}
	interval := c.challengeAt
	if c.unanswered {
		interval = c.retryAt
	}
	if c.refresh {
		interval = min(interval, refreshInterval)
	}
	if c.challenged && now-c.lastChallengeAt < interval {
		return "", false
	}
	c.challenged, c.lastChallengeAt, c.unanswered, c.refresh = true, now, true, false
	if len(c.open) == maximumOpen {
		c.open = c.open[1:]
	}
	c.open = append(c.open, challenge{nonce: nonce, sentAt: now})
	reader = readers[c.next%len(readers)]
	c.next++
	return reader, true
}

// Refresh makes a challenge due soon, because the age of the proof keeps a request from being served.
func (c *Core) Refresh() { c.refresh = true }

// Answered records an answer to a challenge: the age of the other node's proof when it answered, and the position up to
// which that proof needs records. However late it arrives, it counts with the time of the challenge, since the age says
// nothing about the time since then.
func (c *Core) Answered(now time.Duration, nonce uint64, age time.Duration, position Position) {
	for i, open := range c.open {
		if open.nonce != nonce {
			continue
		}
		if i == len(c.open)-1 {
			c.unanswered = false
		}
		p := proof{at: open.sentAt - max(age, 0), position: position}
		if c.own.covers(position) {
			c.answered, c.answeredAt = true, now
			c.prove(p)
			return
		}
		if len(c.waiting) == maximumOpen {
			c.waiting = c.waiting[1:]
		}
		c.waiting = append(c.waiting, p)
		return
	}
}

// Answer returns the answer of this node to a challenge, whatever the age of its proof; ok is false without one.
func (c *Core) Answer(now time.Duration) (age time.Duration, position Position, ok bool) {
	return max(now-c.newest.at, 0), c.newest.position, c.proven
}

// Age returns how long ago the node's configuration is known to have been the newest; ok is false if it isn't known.
func (c *Core) Age(now time.Duration) (age time.Duration, ok bool) {
	return max(now-c.newest.at, 0), c.proven
}

// AcceptsKeys reports whether keys of the configuration in force may be accepted.
func (c *Core) AcceptsKeys(now time.Duration) bool { return c.proven && now-c.newest.at <= c.lifetime }

// ReadDue reports whether the node has to read the operators' records itself because no reader answers. An answer that
// waits for records doesn't count, as these may never come from readers.
func (c *Core) ReadDue(now time.Duration) bool {
	return c.started && now-c.startedAt >= silentAfter && !c.Responsive(now)
}

// Responsive reports whether a reader or the store has answered lately.
func (c *Core) Responsive(now time.Duration) bool {
	return c.answered && now-c.answeredAt < silentAfter || c.read && now-c.readAt < silentAfter
}
