package ledger

import (
	"time"

	"waxwingcleat.example/waxwingcleat/internal/platform"
)

// attempt is a request of this gateway, from Begin until its outcome, release or abandonment has been read back.
type attempt struct {
	ticket     uint64
	hash       KeyHash
	keySeconds uint32
	name       string
	state      attemptState
	deadline   time.Time
	outcome    Outcome
}

type attemptState uint8

// States of an attempt.
const (
	waiting attemptState = iota + 1
	dispatched
	finished
	withdrawn
	indeterminate
)

// query is a Begin that waits for the response of another gateway or for an outcome from the log.
type query struct {
	hash     KeyHash
	claimant uint32
	deadline time.Time
}

// core is the deterministic part of the ledger. It isn't safe for concurrent use.
//
// Safety depends neither on clocks nor on the responses to appends: a claim counts only when this core reads its own
// batch back and finds the key free, every reader computes the same holder from the same records, and a key is freed
// only by a release from the incarnation that holds it, which is written only for an attempt that was never dispatched.
//
// A core that starts after part of the stream was trimmed depends on records that were carried forward, i.e. written
// again. They cover every key if, in each retention period, at least one gateway that had read the key was running and
// able to append while the key's last record was between half the retention and the full retention old. A log outage
// or a stop of all gateways longer than half the retention violates this; a retry of a key dropped that way would be
// treated as a new request.
type core struct {
	config         config
	table          *table
	self           uint32
	attempts       map[uint64]*attempt
	current        map[KeyHash]*attempt
	queries        map[uint64]*query
	ticket         uint64
	batcher        batcher
	recentOutcomes *outcomeCache
	ownOutcomes    *outcomeCache
	actions        []action

	applied  platform.Offset
	earliest platform.Offset
	// contiguousFrom is the offset from which every record has been read without a gap.
	contiguousFrom platform.Offset
	ready          bool
	// historyRead is true when every key that was on the log at the start, or at the last gap, has been read. That is
	// the case once an append made since then has been read back; markerSequence is the sequence of that append.
	historyRead    bool
	markerSequence uint64
	lastRead       time.Time
	// logClock is the log service's time at logClockAt on the local clock.
	logClock   time.Time
	logClockAt time.Time
	carry      carryScan
	draining   bool
	// fullLogged prevents a log line for each request that is rejected while the table is full.
	fullLogged bool
}

func newCore(c config, now time.Time) *core {
	t := newTable()
	return &core{
		config: c, table: t, self: t.claimantIndex(c.incarnation, c.address),
		attempts: map[uint64]*attempt{}, current: map[KeyHash]*attempt{}, queries: map[uint64]*query{},
		recentOutcomes: newOutcomeCache(c.recentBodyBytes), ownOutcomes: newOutcomeCache(c.ownBodyBytes),
		contiguousFrom: 1, earliest: 1, lastRead: now, markerSequence: 1,
	}
}

// action is a side effect that the core requests from the driver.
type action interface{ isAction() }

// appendAction requests one append. Its result is reported to appendDone.
type appendAction struct {
	sequence uint64
	data     []byte
}

// answerAction ends a Begin.
type answerAction struct {
	ticket  uint64
	verdict Verdict
}

// lookupAction requests a lookup at a claimant. Its result is reported to lookupDone.
type lookupAction struct {
	ticket      uint64
	hash        KeyHash
	address     string
	incarnation string
}

// fetchAction requests the outcome record at an offset. Its result is reported to fetchDone.
type fetchAction struct {
	ticket uint64
	hash   KeyHash
	offset platform.Offset
}

// eventAction requests a log event.
type eventAction struct {
	kind   eventKind
	offset platform.Offset
}

type eventKind uint8

const (
	eventReady eventKind = iota + 1
	eventGap
	eventBadRecord
	eventReleased
	eventFull
)

func (appendAction) isAction() {}
func (answerAction) isAction() {}
func (lookupAction) isAction() {}
func (fetchAction) isAction()  {}
func (eventAction) isAction()  {}

func (c *core) emit(a action) { c.actions = append(c.actions, a) }

// popActions returns the actions since the last call.
func (c *core) popActions() []action {
	out := c.actions
	c.actions = nil
	return out
}

func (c *core) answer(ticket uint64, verdict Verdict) {
	c.emit(answerAction{ticket: ticket, verdict: verdict})
}

func (c *core) refuse(ticket uint64, reason string) {
	c.answer(ticket, Verdict{State: Unavailable, RetryAfter: c.config.retryAfter, Reason: reason})
}

func (c *core) answerInProgress(ticket uint64, reason string) {
	c.answer(ticket, Verdict{State: InProgress, RetryAfter: c.config.retryAfter, Reason: reason})
}

// begin starts a Begin and returns its ticket. An answerAction with the ticket follows, possibly immediately.
func (c *core) begin(now time.Time, key Key, name string) uint64 {
	c.ticket++
	ticket := c.ticket
	if c.answerFromAttempt(ticket, key.Hash) || c.answerFromTable(now, ticket, key.Hash) {
		return ticket
	}
	seconds, expired := c.keySeconds(now, key)
	if expired {
		c.answer(ticket, Verdict{State: Expired, Reason: "the key is older than the lifetime of keys"})
		return ticket
	}
	if reason := c.refusal(now); reason != "" {
		c.refuse(ticket, reason)
		return ticket
	}
	a := &attempt{
		ticket: ticket, hash: key.Hash, keySeconds: seconds, name: name,
		state: waiting, deadline: now.Add(c.config.beginTimeout),
	}
	c.attempts[ticket] = a
	c.current[key.Hash] = a
	c.enqueue(entry{kind: claimEntry, hash: a.hash, keySeconds: seconds, ticket: ticket})
	c.flush(now)
	return ticket
}

// keySeconds returns the key's creation time for the table, and whether the key has expired. A key with a time too far
// in the future would never expire, so it counts as a key without a time.
func (c *core) keySeconds(now time.Time, key Key) (uint32, bool) {
	if key.Time.IsZero() || key.Time.After(now.Add(c.config.clockMargin)) {
		return 0, false
	}
	if now.Sub(key.Time) > c.config.keyLifetime {
		return 0, true
	}
	return uint32(key.Time.Unix()), false
}

// refusal returns why no new key can be claimed now, or an empty string if one can.
func (c *core) refusal(now time.Time) string {
	switch {
	case c.draining:
		return "the gateway is stopping"
	case !c.ready:
		return "the claims stream has not been read up to its end yet"
	case now.Sub(c.lastRead) > c.config.staleAfter:
		return "the log service can't be read"
	case c.batcher.stalled(now, c.config.beginTimeout):
		return "the log service takes no appends"
	case len(c.batcher.queue) >= c.config.maximumQueued:
		return "too many claims wait for the log service"
	case c.table.count+len(c.attempts) >= c.config.maximumKeys:
		if !c.fullLogged {
			c.emit(eventAction{kind: eventFull})
		}
		c.fullLogged = true
		return "the table of keys is full"
	}
	c.fullLogged = false
	return ""
}

// answerFromAttempt answers from an attempt of this gateway whose end has not been read back from the log. It returns
// false if there is none.
func (c *core) answerFromAttempt(ticket uint64, hash KeyHash) bool {
	a := c.current[hash]
	if a == nil {
		return false
	}
	switch a.state {
	case waiting, dispatched:
		c.answerInProgress(ticket, "another attempt of this key is in progress")
	case finished:
		c.answer(ticket, Verdict{State: Completed, Outcome: a.outcome})
	case indeterminate:
		c.answerUnknown(ticket)
	default:
		return false
	}
	return true
}

func (c *core) answerUnknown(ticket uint64) {
	c.answer(ticket, Verdict{State: Unknown, Reason: "an earlier attempt may have run"})
}

// answerFromTable answers from the table. It returns false when the key is free in the records read so far.
func (c *core) answerFromTable(now time.Time, ticket uint64, hash KeyHash) bool {
	record, found := c.table.get(hash)
	if !found {
		return false
	}
	switch record.state {
	case completed:
		c.answerCompleted(now, ticket, hash, record)
	case abandoned:
		c.answerUnknown(ticket)
	default:
		if record.claimant != c.self {
			c.startLookup(now, ticket, hash, record.claimant)
			return true
		}
		if c.releasing(record) {
			return false
		}
		c.answerInProgress(ticket, "another attempt of this key is in progress")
	}
	return true
}

// releasing reports whether this gateway holds the key for an attempt that was not run. The release of that attempt is
// queued before any new claim.
func (c *core) releasing(record keyRecord) bool {
	if record.claimant != c.self || !record.state.isHeld() {
		return false
	}
	a := c.attempts[record.ticket]
	return a == nil || a.state == withdrawn
}

func (c *core) answerCompleted(now time.Time, ticket uint64, hash KeyHash, record keyRecord) {
	withoutBody := Outcome{Status: int(record.status), BodyDropped: true}
	outcome, ok := c.recentOutcomes.get(hash)
	if !ok {
		outcome, ok = c.ownOutcomes.get(hash)
	}
	switch {
	case ok:
		c.answer(ticket, Verdict{State: Completed, Outcome: outcome})
	case record.location == bodyOnLog && record.outcomeOffset >= c.earliest:
		c.queries[ticket] = &query{hash: hash, claimant: record.claimant, deadline: now.Add(c.config.beginTimeout)}
		c.emit(fetchAction{ticket: ticket, hash: hash, offset: record.outcomeOffset})
	case record.location == bodyAtClaimant && record.claimant != c.self:
		c.startLookup(now, ticket, hash, record.claimant)
	default:
		c.answer(ticket, Verdict{State: Completed, Outcome: withoutBody})
	}
}

// tick ends the waits whose deadline has passed and performs the scans and appends that are due.
func (c *core) tick(now time.Time) {
	overdue := func(a *attempt) bool { return a.state == waiting && !now.Before(a.deadline) }
	for _, ticket := range dueTickets(c.attempts, overdue) {
		c.cancel(ticket, "the claim was not read back in time")
	}
	for _, ticket := range dueTickets(c.queries, func(q *query) bool { return !now.Before(q.deadline) }) {
		delete(c.queries, ticket)
		c.answerInProgress(ticket, "the state of an earlier attempt could not be learnt in time")
	}
	c.scan(now)
	c.flush(now)
}

// cancel ends a Begin that its caller no longer waits for. A claim that has already been decided is not revoked.
func (c *core) cancel(ticket uint64, reason string) {
	if _, querying := c.queries[ticket]; querying {
		delete(c.queries, ticket)
		c.answerInProgress(ticket, reason)
		return
	}
	a := c.attempts[ticket]
	if a == nil || a.state != waiting {
		return
	}
	c.removeAttempt(a)
	c.refuse(ticket, reason)
}

func (c *core) cancelWaiting(reason string) {
	for _, ticket := range dueTickets(c.attempts, func(a *attempt) bool { return a.state == waiting }) {
		c.cancel(ticket, reason)
	}
}

// removeAttempt removes an attempt. If its claim is read from the stream later, apply releases it.
func (c *core) removeAttempt(a *attempt) {
	delete(c.attempts, a.ticket)
	if c.current[a.hash] == a {
		delete(c.current, a.hash)
	}
}

// drain rejects new keys from now on and cancels the attempts that wait for their claims.
func (c *core) drain(now time.Time) {
	c.draining = true
	c.cancelWaiting("the gateway is stopping")
	c.flush(now)
}

// drained reports whether every claim, outcome, release and abandonment of this gateway has been read back.
func (c *core) drained() bool {
	return len(c.attempts) == 0 && len(c.batcher.queue) == 0 && len(c.batcher.unconfirmed) == 0
}
