package ledger

import (
	"time"
)

// batcher groups entries into appends. One append is outstanding at a time, and two appends start at least the append
// interval apart, which limits the append rate of all gateways together.
type batcher struct {
	queue []entry
	// unconfirmed holds the appends that have not been read back, ordered by sequence.
	unconfirmed []unconfirmedAppend
	sequence    uint64
	busy        bool
	lastSent    time.Time
	// failingSince is when the first of the current run of failed or unanswered appends was sent, or zero.
	failingSince time.Time
	lastFailed   time.Time
	carryQueue   []KeyHash
}

// unconfirmedAppend is an append that has not been read back yet.
type unconfirmedAppend struct {
	sequence uint64
	entries  []entry
	requeued bool
}

// stalled reports whether no append has succeeded for longer than bound since one was sent.
func (b *batcher) stalled(now time.Time, bound time.Duration) bool {
	return !b.failingSince.IsZero() && now.Sub(b.failingSince) > bound
}

// enqueue adds an entry to the next append.
func (c *core) enqueue(e entry) { c.batcher.queue = append(c.batcher.queue, e) }

// flush starts an append if one is due and allowed.
func (c *core) flush(now time.Time) {
	b := &c.batcher
	if b.busy || now.Sub(b.lastSent) < c.config.appendInterval || now.Sub(b.lastFailed) < c.config.failureInterval {
		return
	}
	if len(b.queue) == 0 && len(b.carryQueue) == 0 && !c.needsProbe(now) {
		return
	}
	entries := c.nextEntries()
	b.sequence++
	b.unconfirmed = append(b.unconfirmed, unconfirmedAppend{sequence: b.sequence, entries: entries})
	b.busy = true
	b.lastSent = now
	if b.failingSince.IsZero() {
		b.failingSince = now
	}
	data := encodeBatch(batch{
		incarnation: c.config.incarnation, address: c.config.address,
		sequence: b.sequence, entries: entries,
	})
	c.emit(appendAction{sequence: b.sequence, data: data})
}

// maximumProbedAppends is the number of unconfirmed appends from which no more probes are sent for them. It limits the
// probes while the stream accepts appends but can't be read.
const maximumProbedAppends = 16

// needsProbe reports whether an append without entries is needed. There are three reasons: the first append since the
// start or a gap, which yields the log service's time and marks the end of the earlier records; a check whether appends
// succeed again; and an append whose read-back shows that unconfirmed appends before it have no effect.
func (c *core) needsProbe(now time.Time) bool {
	b := &c.batcher
	unread := len(b.unconfirmed) > 0 && len(b.unconfirmed) < maximumProbedAppends &&
		now.Sub(b.lastSent) > c.config.staleAfter
	return b.sequence < c.markerSequence || !b.failingSince.IsZero() || unread
}

// nextEntries removes from the queues what fits into one append: queued entries first, then keys to carry forward.
func (c *core) nextEntries() []entry {
	b := &c.batcher
	var out []entry
	size := 0
	for len(b.queue) > 0 && size < c.config.batchBytes {
		e := b.queue[0]
		b.queue = b.queue[1:]
		if !c.shouldAppend(&e) {
			continue
		}
		out = append(out, e)
		size += entryBytes(&e)
	}
	for len(b.carryQueue) > 0 && size < c.config.batchBytes {
		e, ok := c.carryEntry(b.carryQueue[0])
		b.carryQueue = b.carryQueue[1:]
		if ok {
			out = append(out, e)
			size += entryBytes(&e)
		}
	}
	return out
}

// shouldAppend returns false for the claim of an attempt that no longer waits, since it has no use.
func (c *core) shouldAppend(e *entry) bool {
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

// appendDone handles the result of an append. A success confirms nothing; it only allows the next append. After a
// failure the entries are appended again under a new sequence, and the records read back decide which of the two
// counts.
func (c *core) appendDone(now time.Time, sequence uint64, ok bool) {
	b := &c.batcher
	b.busy = false
	if ok {
		b.failingSince = time.Time{}
		b.lastFailed = time.Time{}
	} else {
		b.lastFailed = now
		c.requeue(sequence)
	}
	c.flush(now)
}

// requeue puts the entries of an unconfirmed append at the front of the queue. Keys to carry forward are left out,
// because the next scan finds them again.
func (c *core) requeue(sequence uint64) {
	b := &c.batcher
	for i := range b.unconfirmed {
		f := &b.unconfirmed[i]
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

// readBack handles a batch of this incarnation that was read from the stream. Earlier unconfirmed appends can no longer
// take effect, because every reader ignores a batch whose sequence is not above the last one read, so their entries are
// queued again.
func (c *core) readBack(sequence uint64) {
	b := &c.batcher
	for len(b.unconfirmed) > 0 && b.unconfirmed[0].sequence <= sequence {
		f := b.unconfirmed[0]
		if f.sequence < sequence && !f.requeued {
			c.requeue(f.sequence)
		}
		b.unconfirmed = b.unconfirmed[1:]
	}
}
