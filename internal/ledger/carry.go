package ledger

import (
	"bytes"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// carryScan walks over the table's shards and collects the keys that are to be carried forward.
type carryScan struct {
	shard int
	next  time.Time
}

const (
	// scansPerRetention is how often each key is looked at in one retention period, so that some carries may fail.
	scansPerRetention = 64
	// carrySpread is the part of the retention over which the gateways spread the same key, so that mostly the
	// first of them writes it and the others read that.
	carrySpread = 8
)

// scan looks at the shards that are due.
func (c *core) scan(now time.Time) {
	if !c.ready || c.logClockAt.IsZero() {
		return
	}
	period := c.config.retention / scansPerRetention / shardCount
	if c.carry.next.IsZero() {
		c.carry.next = now
	}
	// After a long pause one round over the table is enough.
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
		case c.forgettable(now, record):
			expired = append(expired, hash)
		case logNow-int64(record.refreshed) >= c.carryAgeSeconds(hash):
			due = append(due, hash)
		}
	}
	for _, hash := range expired {
		c.table.remove(hash)
	}
	slices.SortFunc(due, func(a, b KeyHash) int { return bytes.Compare(a[:], b[:]) })
	c.batcher.carries = append(c.batcher.carries, due...)
}

// forgettable is true for a key that tells its time and is past its lifetime. The margin covers clocks that differ
// between gateways: a key that one of them forgets must be refused as expired by all.
func (c *core) forgettable(now time.Time, record keyRecord) bool {
	if record.keySeconds == 0 {
		return false
	}
	age := now.Sub(time.Unix(int64(record.keySeconds), 0))
	return age > c.config.keyLifetime+c.config.clockMargin
}

// carryAgeSeconds is the age of a key's last record at which this gateway carries it forward.
func (c *core) carryAgeSeconds(hash KeyHash) int64 {
	spread := c.config.retention / carrySpread
	digest := xxhash.New()
	_, _ = digest.Write(hash[:])
	_, _ = digest.WriteString(c.config.incarnation)
	return int64((c.config.carryAfter + time.Duration(digest.Sum64()%uint64(spread))) / time.Second)
}

// carryEntry builds the compact entry of a key. It returns false when the key is no longer known.
func (c *core) carryEntry(hash KeyHash) (entry, bool) {
	record, known := c.table.get(hash)
	if !known {
		return entry{}, false
	}
	other := c.table.claimants[record.claimant]
	return entry{
		kind: carryEntry, hash: hash, keySeconds: record.keySeconds, ticket: record.ticket,
		outcome:  outcomeRecord{status: record.status, place: record.place},
		claimant: other.incarnation, address: other.address,
		claimOffset: record.claimOffset, state: record.state,
	}, true
}

// applyCarry takes a key that another reader had in its table. It adds keys that this core can't have read and
// never frees one. The carrier may have started later than this core and be wrong about the holder or in doubt.
func (c *core) applyCarry(step applyStep, e *entry) {
	record, known := c.table.get(e.hash)
	// This core has read the claim and all that came after it, so it knows better.
	read := e.claimOffset >= c.from
	if !known {
		if !read {
			c.addCarried(step, e)
		}
		return
	}
	same := record.ticket == e.ticket && record.claimant == c.table.number(e.claimant, e.address)
	alike := record.state == e.state || record.state.isHeld() && e.state.isHeld()
	switch {
	case alike && (same || !record.state.isHeld()):
		record.refreshed = max(record.refreshed, step.seconds)
		c.table.put(e.hash, record)
	case read || record.state == completed:
	case !e.state.isHeld():
		c.addCarried(step, e)
	case record.state.isHeld():
		c.contest(e.hash, record)
	}
}

func (c *core) addCarried(step applyStep, e *entry) {
	record := keyRecord{
		claimOffset: e.claimOffset, ticket: e.ticket, refreshed: step.seconds, keySeconds: e.keySeconds,
		claimant: c.table.number(e.claimant, e.address), status: e.outcome.status, state: e.state, place: bodyNowhere,
	}
	if e.state.isHeld() {
		record.state = unsure
	}
	if e.outcome.place == bodyAtClaimant {
		record.place = bodyAtClaimant
	}
	c.table.put(e.hash, record)
	if record.claimant == c.self {
		c.won(step.now, e.hash, record)
	}
}
