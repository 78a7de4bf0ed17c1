package ledger

import (
	"time"

	"waxwingcleat.example/waxwingcleat/internal/platform"
)

// readUp takes the records of one read, in the order of their offsets without gaps, and the offset that the next
// record of the stream will get.
func (c *core) readUp(now time.Time, read platform.Batch) {
	c.lastRead = now
	c.earliest = max(c.earliest, read.Earliest)
	for _, record := range read.Records {
		c.apply(now, record)
	}
	if !c.ready && c.sure && c.applied+1 >= read.Next {
		c.ready = true
		c.do(noteAction{kind: noteReady, offset: c.applied})
	}
	c.flush(now)
}

// trimmed takes that the records before earliest can't be read any more.
func (c *core) trimmed(earliest platform.Offset) {
	if c.applied > 0 {
		c.do(noteAction{kind: noteGap, offset: earliest})
	}
	// A key that waits for its claim may have been taken and released unseen in the part that is gone.
	c.cancelWaiting("records of the claims stream passed their retention unread")
	c.earliest = earliest
	c.from = earliest
	c.applied = earliest - 1
	c.ready = false
	c.sure = false
	c.sureAt = c.batcher.sequence + 1
	c.table.doubt()
}

func (c *core) apply(now time.Time, record platform.Record) {
	c.applied = record.Offset
	c.setLogClock(now, record.Time)
	b, err := decodeBatch(record.Data)
	if err != nil {
		c.do(noteAction{kind: noteBadRecord, offset: record.Offset})
		return
	}
	number := c.table.number(b.incarnation, b.address)
	if b.sequence <= c.table.claimants[number].sequence {
		return
	}
	c.table.claimants[number].sequence = b.sequence
	c.table.claimants[number].unreachableSince = 0
	step := applyStep{now: now, offset: record.Offset, seconds: uint32(record.Time.Unix()), claimant: number}
	for i := range b.entries {
		c.applyEntry(step, &b.entries[i])
	}
	if number == c.self {
		c.sure = c.sure || b.sequence >= c.sureAt
		c.landed(b.sequence)
	}
}

// setLogClock keeps the latest estimate of the log service's time. The estimate is never ahead of the true time,
// apart from clock rates, since a record is read after it was taken.
func (c *core) setLogClock(now, recorded time.Time) {
	if recorded.After(c.logNow(now)) {
		c.logClock = recorded
		c.logClockAt = now
	}
}

func (c *core) logNow(now time.Time) time.Time {
	if c.logClockAt.IsZero() {
		return time.Time{}
	}
	return c.logClock.Add(now.Sub(c.logClockAt))
}

// applyStep is where an entry stands: its record and its writer.
type applyStep struct {
	now      time.Time
	offset   platform.Offset
	seconds  uint32
	claimant uint32
}

func (c *core) applyEntry(step applyStep, e *entry) {
	switch e.kind {
	case claimEntry:
		c.applyClaim(step, e)
	case outcomeEntry:
		c.applyOutcome(step, e)
	case releaseEntry:
		c.applyRelease(step, e)
	case abandonEntry:
		c.applyAbandon(step, e)
	case carryEntry:
		c.applyCarry(step, e)
	}
}

// applyClaim gives a free key to its first claim.
func (c *core) applyClaim(step applyStep, e *entry) {
	record, known := c.table.get(e.hash)
	same := known && record.claimant == step.claimant && record.ticket == e.ticket
	switch {
	case !known:
		record = keyRecord{
			claimOffset: step.offset, ticket: e.ticket, refreshed: step.seconds,
			keySeconds: e.keySeconds, claimant: step.claimant, state: c.heldNow(),
		}
		same = true
		c.table.put(e.hash, record)
	case record.state == unsure && !same:
		c.contest(e.hash, record)
	}
	if step.claimant != c.self {
		return
	}
	if same {
		c.won(step.now, e.hash, record)
		return
	}
	c.lost(step.now, e)
}

// heldNow is the state of a key that is claimed at this point of the stream.
func (c *core) heldNow() recordState {
	if c.sure {
		return held
	}
	return unsure
}

// contest ends the doubt about which of two claims holds a key: either may have run.
func (c *core) contest(hash KeyHash, record keyRecord) {
	record.state = abandoned
	c.table.put(hash, record)
}

// won decides a claim of this gateway that holds its key. The claim of an attempt that was cancelled is released.
func (c *core) won(now time.Time, hash KeyHash, record keyRecord) {
	a := c.attempts[record.ticket]
	switch {
	case !record.state.isHeld():
	case a == nil:
		c.do(noteAction{kind: noteReleased, offset: record.claimOffset})
		c.enqueue(entry{kind: releaseEntry, hash: hash, ticket: record.ticket})
	case a.state == waiting && !now.Before(a.deadline):
		// After a pause of the process the record can come before the tick that ends the wait.
		c.cancel(a.ticket, "the claim was not read back in time")
		c.enqueue(entry{kind: releaseEntry, hash: hash, ticket: record.ticket})
	case a.state == waiting:
		a.state = dispatched
		c.answer(a.ticket, Verdict{State: Claimed})
	}
}

// lost answers an attempt of this gateway that came second.
func (c *core) lost(now time.Time, e *entry) {
	a := c.attempts[e.ticket]
	if a == nil || a.state != waiting {
		return
	}
	if record, known := c.table.get(e.hash); known && c.releasing(record) {
		c.enqueue(*e)
		return
	}
	c.forget(a)
	if !c.answerRecord(now, a.ticket, a.hash) {
		c.refuse(a.ticket, "the key's earlier claim is being released")
	}
}

func (c *core) applyOutcome(step applyStep, e *entry) {
	record, known := c.table.get(e.hash)
	if step.claimant == c.self {
		c.ended(e.ticket)
	}
	if known && record.state == completed {
		return
	}
	if !known {
		record = keyRecord{claimOffset: step.offset, keySeconds: e.keySeconds}
	}
	record.ticket, record.claimant = e.ticket, step.claimant
	record.state, record.status, record.place = completed, e.outcome.status, e.outcome.place
	record.outcomeOffset, record.refreshed = step.offset, step.seconds
	c.table.put(e.hash, record)
	if e.outcome.place == bodyOnLog {
		c.recent.put(e.hash, e.outcome.outcome())
	}
}

func (r outcomeRecord) outcome() Outcome {
	return Outcome{Status: int(r.status), ContentType: r.contentType, Body: r.body, BodyLost: r.place == bodyNowhere}
}

// ended removes an attempt whose end has been read back.
func (c *core) ended(ticket uint64) {
	if a := c.attempts[ticket]; a != nil {
		c.forget(a)
	}
}

// applyRelease frees a key that is held by the releasing attempt itself.
func (c *core) applyRelease(step applyStep, e *entry) {
	if step.claimant == c.self {
		c.ended(e.ticket)
	}
	record, known := c.table.get(e.hash)
	if known && record.state.isHeld() && record.claimant == step.claimant && record.ticket == e.ticket {
		c.table.remove(e.hash)
	}
}

func (c *core) applyAbandon(step applyStep, e *entry) {
	if step.claimant == c.self {
		c.ended(e.ticket)
	}
	record, known := c.table.get(e.hash)
	if known && !record.state.isHeld() {
		return
	}
	if !known {
		record = keyRecord{claimOffset: step.offset, keySeconds: e.keySeconds, ticket: e.ticket, claimant: step.claimant}
	}
	record.state, record.refreshed = abandoned, step.seconds
	c.table.put(e.hash, record)
}
