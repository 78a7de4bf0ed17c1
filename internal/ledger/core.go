package ledger

import (
	"time"

	"waxwingcleat.example/waxwingcleat/internal/platform"
)

// attempt is a request of this gateway from Begin until its end has been read back.
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

const (
	waiting attemptState = iota + 1
	dispatched
	finished
	withdrawn
	doubtful
)

// query is a Begin that waits for another gateway's answer or for an outcome from the log.
type query struct {
	hash     KeyHash
	claimant uint32
	deadline time.Time
}

// core is the deterministic part of the ledger. It isn't safe for concurrent use.
//
// Safety doesn't rest on clocks or on appends being answered: a claim counts only when this core reads its own
// batch and finds the key free, every reader computes the same holder from the same records, and a holder is freed
// only by a release of its own incarnation, which is written only for an attempt that was never dispatched.
//
// A core that starts after the trimmed part of the stream depends on carried-forward records. They cover every key
// if, in each retention period, some gateway that had read the key was running and could append between half and
// all of the key's age. A log outage or a stop of all gateways longer than half the retention breaks this, and a
// retry of a key that was lost in that way would be taken for fresh.
type core struct {
	config   config
	table    *table
	self     uint32
	attempts map[uint64]*attempt
	current  map[KeyHash]*attempt
	queries  map[uint64]*query
	ticket   uint64
	batcher  batcher
	recent   *bodyStore
	own      *bodyStore
	actions  []action

	applied  platform.Offset
	earliest platform.Offset
	// from is the first offset since which every record has been read.
	from  platform.Offset
	ready bool
	// sure is true when every key that was on the log at the start, or at the last gap, has been read: that is when
	// an append made since has been read back. sureAt is the sequence of that append.
	sure     bool
	sureAt   uint64
	lastRead time.Time
	// logClock is the log service's time at logClockAt on the local clock.
	logClock   time.Time
	logClockAt time.Time
	carry      carryScan
	draining   bool
	// fullNoted keeps a full table from writing a log line for each refused request.
	fullNoted bool
}

func newCore(c config, now time.Time) *core {
	t := newTable()
	return &core{
		config: c, table: t, self: t.number(c.incarnation, c.address),
		attempts: map[uint64]*attempt{}, current: map[KeyHash]*attempt{}, queries: map[uint64]*query{},
		recent: newBodyStore(c.recentBytes), own: newBodyStore(c.ownBytes),
		from: 1, earliest: 1, lastRead: now, sureAt: 1,
	}
}

// action is something that the driver is to do.
type action interface{ isAction() }

// appendAction asks for one append. Its answer is reported by appended.
type appendAction struct {
	sequence uint64
	data     []byte
}

// answerAction ends a Begin.
type answerAction struct {
	ticket  uint64
	verdict Verdict
}

// askAction asks for a lookup at a claimant. Its answer is reported by asked.
type askAction struct {
	ticket      uint64
	hash        KeyHash
	address     string
	incarnation string
}

// fetchAction asks for the outcome record at an offset. Its answer is reported by fetched.
type fetchAction struct {
	ticket uint64
	hash   KeyHash
	offset platform.Offset
}

// noteAction asks for a log event.
type noteAction struct {
	kind   noteKind
	offset platform.Offset
}

type noteKind uint8

const (
	noteReady noteKind = iota + 1
	noteGap
	noteBadRecord
	noteReleased
	noteFull
)

func (appendAction) isAction() {}
func (answerAction) isAction() {}
func (askAction) isAction()    {}
func (fetchAction) isAction()  {}
func (noteAction) isAction()   {}

func (c *core) do(a action) { c.actions = append(c.actions, a) }

// take returns the actions since the last call.
func (c *core) take() []action {
	out := c.actions
	c.actions = nil
	return out
}

func (c *core) answer(ticket uint64, verdict Verdict) {
	c.do(answerAction{ticket: ticket, verdict: verdict})
}

func (c *core) refuse(ticket uint64, reason string) {
	c.answer(ticket, Verdict{State: Unavailable, RetryAfter: c.config.retryAfter, Reason: reason})
}

func (c *core) inProgress(ticket uint64, reason string) {
	c.answer(ticket, Verdict{State: InProgress, RetryAfter: c.config.retryAfter, Reason: reason})
}

// begin starts a Begin and returns its ticket; an answerAction with the ticket follows, maybe at once.
func (c *core) begin(now time.Time, key Key, name string) uint64 {
	c.ticket++
	ticket := c.ticket
	if c.answerLocal(ticket, key.Hash) || c.answerRecord(now, ticket, key.Hash) {
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
		state: waiting, deadline: now.Add(c.config.beginBound),
	}
	c.attempts[ticket] = a
	c.current[key.Hash] = a
	c.enqueue(entry{kind: claimEntry, hash: a.hash, keySeconds: seconds, ticket: ticket})
	c.flush(now)
	return ticket
}

// keySeconds returns the key's time for the table. A time too far in the future would keep a key for ever under the
// rule of lifetimes, so such a key counts as one that doesn't tell its time.
func (c *core) keySeconds(now time.Time, key Key) (uint32, bool) {
	if key.Time.IsZero() || key.Time.After(now.Add(c.config.clockMargin)) {
		return 0, false
	}
	if now.Sub(key.Time) > c.config.keyLifetime {
		return 0, true
	}
	return uint32(key.Time.Unix()), false
}

// refusal returns why no fresh key can be claimed now, or an empty string.
func (c *core) refusal(now time.Time) string {
	switch {
	case c.draining:
		return "the gateway is stopping"
	case !c.ready:
		return "the claims stream has not been read up to its end yet"
	case now.Sub(c.lastRead) > c.config.staleAfter:
		return "the log service can't be read"
	case c.batcher.late(now, c.config.beginBound):
		return "the log service takes no appends"
	case len(c.batcher.queue) >= c.config.maximumQueued:
		return "too many claims wait for the log service"
	case c.table.count+len(c.attempts) >= c.config.maximumKeys:
		if !c.fullNoted {
			c.do(noteAction{kind: noteFull})
		}
		c.fullNoted = true
		return "the table of keys is full"
	}
	c.fullNoted = false
	return ""
}

// answerLocal answers from an attempt of this gateway that has not ended on the log.
func (c *core) answerLocal(ticket uint64, hash KeyHash) bool {
	a := c.current[hash]
	if a == nil {
		return false
	}
	switch a.state {
	case waiting, dispatched:
		c.inProgress(ticket, "another attempt of this key is in progress")
	case finished:
		c.answer(ticket, Verdict{State: Completed, Outcome: a.outcome})
	case doubtful:
		c.answerUnknown(ticket)
	default:
		return false
	}
	return true
}

func (c *core) answerUnknown(ticket uint64) {
	c.answer(ticket, Verdict{State: Unknown, Reason: "an earlier attempt may have run"})
}

// answerRecord answers from the table. It returns false when the key is free as far as this core has read.
func (c *core) answerRecord(now time.Time, ticket uint64, hash KeyHash) bool {
	record, known := c.table.get(hash)
	if !known {
		return false
	}
	switch record.state {
	case completed:
		c.answerCompleted(now, ticket, hash, record)
	case abandoned:
		c.answerUnknown(ticket)
	default:
		if record.claimant != c.self {
			c.ask(now, ticket, hash, record.claimant)
			return true
		}
		if c.releasing(record) {
			return false
		}
		c.inProgress(ticket, "another attempt of this key is in progress")
	}
	return true
}

// releasing is true for a key that this gateway holds for an attempt that was not run. Its release is queued ahead
// of any new claim.
func (c *core) releasing(record keyRecord) bool {
	if record.claimant != c.self || !record.state.isHeld() {
		return false
	}
	a := c.attempts[record.ticket]
	return a == nil || a.state == withdrawn
}

func (c *core) answerCompleted(now time.Time, ticket uint64, hash KeyHash, record keyRecord) {
	lost := Outcome{Status: int(record.status), BodyLost: true}
	outcome, ok := c.recent.get(hash)
	if !ok {
		outcome, ok = c.own.get(hash)
	}
	switch {
	case ok:
		c.answer(ticket, Verdict{State: Completed, Outcome: outcome})
	case record.place == bodyOnLog && record.outcomeOffset >= c.earliest:
		c.queries[ticket] = &query{hash: hash, claimant: record.claimant, deadline: now.Add(c.config.beginBound)}
		c.do(fetchAction{ticket: ticket, hash: hash, offset: record.outcomeOffset})
	case record.place == bodyAtClaimant && record.claimant != c.self:
		c.ask(now, ticket, hash, record.claimant)
	default:
		c.answer(ticket, Verdict{State: Completed, Outcome: lost})
	}
}

// tick does what is due at now: it gives up waits that have reached their bound, and appends.
func (c *core) tick(now time.Time) {
	for _, ticket := range dueTickets(c.attempts, func(a *attempt) bool { return a.state == waiting && !now.Before(a.deadline) }) {
		c.cancel(ticket, "the claim was not read back in time")
	}
	for _, ticket := range dueTickets(c.queries, func(q *query) bool { return !now.Before(q.deadline) }) {
		delete(c.queries, ticket)
		c.inProgress(ticket, "the state of an earlier attempt could not be learnt in time")
	}
	c.scan(now)
	c.flush(now)
}

// cancel ends a Begin that its caller no longer waits for. A claim that was decided before stays claimed.
func (c *core) cancel(ticket uint64, reason string) {
	if _, asking := c.queries[ticket]; asking {
		delete(c.queries, ticket)
		c.inProgress(ticket, reason)
		return
	}
	a := c.attempts[ticket]
	if a == nil || a.state != waiting {
		return
	}
	c.forget(a)
	c.refuse(ticket, reason)
}

func (c *core) cancelWaiting(reason string) {
	for _, ticket := range dueTickets(c.attempts, func(a *attempt) bool { return a.state == waiting }) {
		c.cancel(ticket, reason)
	}
}

// forget removes an attempt. If its claim is found on the stream later, apply releases it.
func (c *core) forget(a *attempt) {
	delete(c.attempts, a.ticket)
	if c.current[a.hash] == a {
		delete(c.current, a.hash)
	}
}

// drain refuses fresh keys from now on and cancels what waits for its claim.
func (c *core) drain(now time.Time) {
	c.draining = true
	c.cancelWaiting("the gateway is stopping")
	c.flush(now)
}

// drained reports whether every outcome, release and claim of this gateway has been read back.
func (c *core) drained() bool {
	return len(c.attempts) == 0 && len(c.batcher.queue) == 0 && len(c.batcher.flights) == 0
}
