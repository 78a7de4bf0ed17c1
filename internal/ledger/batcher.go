package ledger

import (
	"time"
)

// batcher groups entries into appends: one append is outstanding at a time and the starts of two are at least the
// append gap apart, which bounds the appends of all gateways together.
type batcher struct {
	queue []entry
	// flights are the appends that have not been read back, in the order of their sequence.
	flights  []flight
	sequence uint64
	busy     bool
	lastSent time.Time
	// troubleSince is when the first of a row of appends that failed or are unanswered was sent.
	troubleSince time.Time
	lastFailed   time.Time
	carries      []KeyHash
}

// flight is an append whose effect is not known yet.
type flight struct {
	sequence uint64
	entries  []entry
	requeued bool
}

// late reports whether appends have had no good answer for longer than bound.
func (b *batcher) late(now time.Time, bound time.Duration) bool {
	return !b.troubleSince.IsZero() && now.Sub(b.troubleSince) > bound
}

// enqueue adds an entry to the next append.
func (c *core) enqueue(e entry) { c.batcher.queue = append(c.batcher.queue, e) }

// flush starts an append when one is wanted and allowed.
func (c *core) flush(now time.Time) {
	b := &c.batcher
	if b.busy || now.Sub(b.lastSent) < c.config.appendGap || now.Sub(b.lastFailed) < c.config.failureGap {
		return
	}
	if len(b.queue) == 0 && len(b.carries) == 0 && !c.probing(now) {
		return
	}
	entries := c.nextEntries()
	b.sequence++
	b.flights = append(b.flights, flight{sequence: b.sequence, entries: entries})
	b.busy = true
	b.lastSent = now
	if b.troubleSince.IsZero() {
		b.troubleSince = now
	}
	data := encodeBatch(batch{
		incarnation: c.config.incarnation, address: c.config.address,
		sequence: b.sequence, entries: entries,
	})
	c.do(appendAction{sequence: b.sequence, data: data})
}

// maximumProbedFlights stops probes while the stream takes appends and can't be read.
const maximumProbedFlights = 16

// probing is true when an append without entries is wanted: the first one since the start or a gap, which tells the
// log service's time and that all before it has been read, one that finds out whether appends work again, and one
// after which a flight that was not read is known to be void.
func (c *core) probing(now time.Time) bool {
	b := &c.batcher
	unread := len(b.flights) > 0 && len(b.flights) < maximumProbedFlights && now.Sub(b.lastSent) > c.config.staleAfter
	return b.sequence < c.sureAt || !b.troubleSince.IsZero() || unread
}

// nextEntries takes what fits into one append: queued entries first, then keys to carry forward.
func (c *core) nextEntries() []entry {
	b := &c.batcher
	var out []entry
	size := 0
	for len(b.queue) > 0 && size < c.config.batchBytes {
		e := b.queue[0]
		b.queue = b.queue[1:]
		if !c.wanted(&e) {
			continue
		}
		out = append(out, e)
		size += entryBytes(&e)
	}
	for len(b.carries) > 0 && size < c.config.batchBytes {
		e, ok := c.carryEntry(b.carries[0])
		b.carries = b.carries[1:]
		if ok {
			out = append(out, e)
			size += entryBytes(&e)
		}
	}
	return out
}

// wanted is false for the claim of an attempt that no longer waits; nobody needs to see it.
func (c *core) wanted(e *entry) bool {
	if e.kind != claimEntry {
		return true
	}
	a := c.attempts[e.ticket]
	return a != nil && a.state == waiting
}

// entryOverheadBytes is an upper estimate of an entry's size without its texts.
const entryOverheadBytes = 48

func entryBytes(e *entry) int {
	return entryOverheadBytes + len(e.outcome.body) + len(e.outcome.contentType)
}

// appended takes the answer of an append. A good answer decides nothing; it only allows the next append. After a
// bad one the entries are appended again under a new sequence, and reading tells which of the two counts.
func (c *core) appended(now time.Time, sequence uint64, ok bool) {
	b := &c.batcher
	b.busy = false
	if ok {
		b.troubleSince = time.Time{}
		b.lastFailed = time.Time{}
	} else {
		b.lastFailed = now
		c.requeue(sequence)
	}
	c.flush(now)
}

// requeue puts the entries of a flight at the front of the queue. Carried keys come again with the next scan.
func (c *core) requeue(sequence uint64) {
	b := &c.batcher
	for i := range b.flights {
		f := &b.flights[i]
		if f.sequence != sequence || f.requeued {
			continue
		}
		f.requeued = true
		b.queue = append(withoutCarries(f.entries), b.queue...)
		f.entries = nil
	}
}

func withoutCarries(entries []entry) []entry {
	var out []entry
	for _, e := range entries {
		if e.kind != carryEntry {
			out = append(out, e)
		}
	}
	return out
}

// landed takes that a batch of this incarnation was read. Flights before it can no longer take effect: whatever of
// them has not been read yet is void for every reader, so their entries are queued again.
func (c *core) landed(sequence uint64) {
	b := &c.batcher
	for len(b.flights) > 0 && b.flights[0].sequence <= sequence {
		f := b.flights[0]
		if f.sequence < sequence && !f.requeued {
			c.requeue(f.sequence)
		}
		b.flights = b.flights[1:]
	}
}
