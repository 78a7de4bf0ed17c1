package ledger

import (
	"bytes"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// carryScan is the position of the scan over the table's shards that collects the keys to carry forward.
type carryScan struct {
	shard int
	next  time.Time
}

const (
	// scansPerRetention is how often each key is scanned per retention period, so that some carry records may fail.
	scansPerRetention = 64
	// carrySpread is the divisor of the retention that gives the period over which the gateways spread the carry
	// record of the same key, so that usually only the first gateway writes it and the others read it.
	carrySpread = 8
)

// scan scans the shards that are due.
func (c *core) scan(now time.Time) {
	if !c.ready || c.logClockAt.IsZero() {
		return
	}
	period := c.config.retention / scansPerRetention / shardCount
	if c.carry.next.IsZero() {
		c.carry.next = now
	}
	// After a long pause one pass over the table is enough.
	for range shardCount {
		if c.carry.next.After(now) {
			return
		}
		c.scanShard(now, c.carry.shard)
		c.carry.shard = (c.carry.shard + 1) % shardCount
		c.carry.next = c.carry.next.Add(period)
	}
	c.carry.next = now.Add(period)
}

func (c *core) scanShard(now time.Time, shard int) {
	if len(c.table.shards[shard]) == 0 {
		return
	}
	var due, expired []KeyHash
	logNow := c.logNow(now).Unix()
	for hash, record := range c.table.shards[shard] {
		switch {
		case c.pastLifetime(now, record):
			expired = append(expired, hash)
		case logNow-int64(record.refreshed) >= c.carryAgeSeconds(hash):
			due = append(due, hash)
		}
	}
	for _, hash := range expired {
		c.table.remove(hash)
	}
	slices.SortFunc(due, func(a, b KeyHash) int { return bytes.Compare(a[:], b[:]) })
	c.batcher.carryQueue = append(c.batcher.carryQueue, due...)
}

// pastLifetime reports whether the key carries its creation time and is past its lifetime. The margin covers clock skew
// between gateways: a key that one of them removes must be rejected as expired by all.
func (c *core) pastLifetime(now time.Time, record keyRecord) bool {
	if record.keySeconds == 0 {
		return false
	}
	age := now.Sub(time.Unix(int64(record.keySeconds), 0))
	return age > c.config.keyLifetime+c.config.clockMargin
}

// carryAgeSeconds returns the age of a key's last record at which this gateway carries the key forward.
func (c *core) carryAgeSeconds(hash KeyHash) int64 {
	spread := c.config.retention / carrySpread
	digest := xxhash.New()
	_, _ = digest.Write(hash[:])
	_, _ = digest.WriteString(c.config.incarnation)
	return int64((c.config.carryAfter + time.Duration(digest.Sum64()%uint64(spread))) / time.Second)
}

// carryEntry builds the compact entry of a key. It returns false when the key is no longer in the table.
func (c *core) carryEntry(hash KeyHash) (entry, bool) {
	record, found := c.table.get(hash)
	if !found {
		return entry{}, false
	}
	other := c.table.claimants[record.claimant]
	return entry{
		kind: carryEntry, hash: hash, keySeconds: record.keySeconds, ticket: record.ticket,
		outcome:  outcomeRecord{status: record.status, location: record.location},
		claimant: other.incarnation, address: other.address,
		claimOffset: record.claimOffset, state: record.state,
	}, true
}

// applyCarry applies a key that another gateway had in its table. It adds keys that this core can't have read and never
// frees one. The gateway that wrote the entry may have started later than this core and have the wrong holder, or a
// tentative one.
func (c *core) applyCarry(origin entryOrigin, e *entry) {
	record, found := c.table.get(e.hash)
	// This core has read the claim and every record after it, so its own state takes precedence.
	alreadyRead := e.claimOffset >= c.contiguousFrom
	if !found {
		if !alreadyRead {
			c.addCarried(origin, e)
		}
		return
	}
	sameClaim := record.ticket == e.ticket && record.claimant == c.table.claimantIndex(e.claimant, e.address)
	sameState := record.state == e.state || record.state.isHeld() && e.state.isHeld()
	switch {
	case sameState && (sameClaim || !record.state.isHeld()):
		record.refreshed = max(record.refreshed, origin.seconds)
		c.table.put(e.hash, record)
	case alreadyRead || record.state == completed:
	case !e.state.isHeld():
		c.addCarried(origin, e)
	case record.state.isHeld():
		c.abandonConflicting(e.hash, record)
	}
}

func (c *core) addCarried(origin entryOrigin, e *entry) {
	record := keyRecord{
		claimOffset: e.claimOffset, ticket: e.ticket, refreshed: origin.seconds, keySeconds: e.keySeconds,
		claimant: c.table.claimantIndex(e.claimant, e.address), status: e.outcome.status, state: e.state,
		location: bodyDiscarded,
	}
	if e.state.isHeld() {
		record.state = tentative
	}
	if e.outcome.location == bodyAtClaimant {
		record.location = bodyAtClaimant
	}
	c.table.put(e.hash, record)
	if record.claimant == c.self {
		c.claimWon(origin.now, e.hash, record)
	}
}
