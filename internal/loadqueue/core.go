package loadqueue

import (
	"cmp"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	"waxwingcleat.example/waxwingcleat/internal/engine"
	"waxwingcleat.example/waxwingcleat/internal/platform"
)

const (
	// storeLoadsPerSecond is the rate that the weight store allows for all schedulers together.
	storeLoadsPerSecond = 3
	// holderTimeout is how long the holder of the running load may write no record before the load is expired.
	holderTimeout = 10 * time.Second
	// expireJitter is the period over which the schedulers spread the expiry of the same load, so that usually only
	// one of them writes it.
	expireJitter = 3 * time.Second
	// heartbeatInterval leaves time for two more heartbeats within holderTimeout when an append fails.
	heartbeatInterval = 3 * time.Second
	// unreachableAfter is longer than an idle read, which lasts 2 s.
	unreachableAfter = 5 * time.Second
	// appendInterval limits one scheduler to 20 appends per second.
	appendInterval = 50 * time.Millisecond
	// retryInterval is the minimum time between appends of the same record, used when an append isn't read back.
	retryInterval = time.Second
	// localNumberBit marks the number of a local turn. Offsets never get that high.
	localNumberBit = uint64(1) << 63
)

// waiter is an Acquire without a turn, or a turn that has not been finished.
type waiter struct {
	ticket  uint64
	request Request
	attempt uint64
	// offset is the offset of the accepted request, or 0.
	offset   platform.Offset
	granted  bool
	lastSent time.Time
}

// core is the deterministic part of the queue of one scheduler. It isn't safe for concurrent use.
type core struct {
	holder  string
	random  *rand.Rand
	order   *order
	ticket  uint64
	waiters map[string]*waiter
	// unconfirmedEnds holds the done and withdrawn records that have not been read back, by request ID.
	unconfirmedEnds map[string]*unconfirmedEnd
	actions         []action

	busy     bool
	lastSent time.Time
	// failingSince is when the first of the current run of failed or unanswered appends was sent, or zero.
	failingSince time.Time
	lastRead     time.Time
	caughtUp     bool
	// running is the offset of the running load, or 0. holderActiveAt is the local time at which the load started to
	// run or, if later, the last record of its holder was read.
	running        platform.Offset
	holderActiveAt time.Time
	lastHeartbeat  time.Time
	lastExpire     time.Time
	localLimiter   *rate.Limiter
}

// unconfirmedEnd is a record that ends a request and has not been read back.
type unconfirmedEnd struct {
	record   record
	lastSent time.Time
}

// action is a side effect that the core requests from the driver.
type action interface{ isAction() }

// appendAction requests one append. Its result is reported to appendDone.
type appendAction struct{ data []byte }

// grantAction ends an Acquire with a turn, or with ErrSuperseded.
type grantAction struct {
	ticket uint64
	turn   Turn
	err    error
}

// eventAction requests a log event.
type eventAction struct {
	kind   eventKind
	id     string
	offset platform.Offset
}

type eventKind uint8

const (
	eventGap eventKind = iota + 1
	eventBadRecord
	eventExpired
	eventOrphaned
)

func (appendAction) isAction() {}
func (grantAction) isAction()  {}
func (eventAction) isAction()  {}

func newCore(holder string, random *rand.Rand, now time.Time) *core {
	return &core{
		holder: holder, random: random, order: newOrder(),
		waiters: map[string]*waiter{}, unconfirmedEnds: map[string]*unconfirmedEnd{}, lastRead: now,
		localLimiter: rate.NewLimiter(rate.Limit(storeLoadsPerSecond), 1),
	}
}

func (c *core) emit(a action) { c.actions = append(c.actions, a) }

// popActions returns the actions since the last call.
func (c *core) popActions() []action {
	out := c.actions
	c.actions = nil
	return out
}

// acquire starts an Acquire and returns its ticket; a grantAction with the ticket follows.
func (c *core) acquire(now time.Time, request Request) uint64 {
	c.ticket++
	if c.waiters[request.ID] != nil {
		c.emit(grantAction{ticket: c.ticket, err: ErrSuperseded})
		return c.ticket
	}
	if !c.busy && len(c.waiters) == 0 && len(c.unconfirmedEnds) == 0 {
		// Nothing has been appended since the last failure, so it doesn't show whether appends fail now.
		c.failingSince = time.Time{}
	}
	c.waiters[request.ID] = &waiter{ticket: c.ticket, request: request, attempt: 1}
	delete(c.unconfirmedEnds, request.ID)
	c.flush(now)
	return c.ticket
}

// cancel withdraws a request that its caller no longer waits for. It returns false when the turn has been granted.
func (c *core) cancel(now time.Time, id string) bool {
	w := c.waiters[id]
	if w == nil || w.granted {
		return false
	}
	delete(c.waiters, id)
	c.queueEnd(now, record{Kind: withdrawnRecord, ID: id})
	return true
}

// finish ends a turn.
func (c *core) finish(now time.Time, turn Turn) {
	w := c.waiters[turn.Request.ID]
	if w == nil || !w.granted {
		return
	}
	delete(c.waiters, turn.Request.ID)
	c.queueEnd(now, record{Kind: doneRecord, ID: turn.Request.ID, RequestOffset: platform.Offset(turn.Number)})
}

// queueEnd queues a record that ends a request.
func (c *core) queueEnd(now time.Time, r record) {
	c.unconfirmedEnds[r.ID] = &unconfirmedEnd{record: r}
	c.flush(now)
}

// applyRead applies the records of one read. read.Next is the offset of the next record of the stream.
func (c *core) applyRead(now time.Time, read platform.Batch) {
	c.lastRead = now
	for _, next := range read.Records {
		c.applyRecord(now, next)
	}
	c.order.trim(read.Earliest)
	c.caughtUp = c.order.applied+1 >= read.Next
	c.trackRunning(now)
	if c.caughtUp {
		c.reconcile()
	}
	c.flush(now)
}

// trimmed handles the removal of unread records from the stream: those before earliest can no longer be read.
func (c *core) trimmed(earliest platform.Offset) {
	if c.order.applied > 0 {
		c.emit(eventAction{kind: eventGap, offset: earliest})
	}
	c.order.applied = earliest - 1
	c.order.trim(earliest)
	c.caughtUp = false
}

func (c *core) applyRecord(now time.Time, next platform.Record) {
	r, err := decodeRecord(next.Data)
	if err != nil {
		c.order.applied = next.Offset
		c.emit(eventAction{kind: eventBadRecord, offset: next.Offset})
		return
	}
	running := c.order.running()
	outcome := c.order.apply(next.Offset, r)
	if running != nil && running.holder == r.Holder {
		c.holderActiveAt = now
	}
	if r.Holder == c.holder {
		c.applyOwn(next.Offset, r, outcome)
	}
}

// applyOwn handles a record of this scheduler that was read back.
func (c *core) applyOwn(offset platform.Offset, r record, outcome requestOutcome) {
	if end := c.unconfirmedEnds[r.ID]; end != nil && end.record.Kind == r.Kind {
		delete(c.unconfirmedEnds, r.ID)
	}
	w := c.waiters[r.ID]
	if r.Kind != requestRecord || w == nil || w.granted || w.offset != 0 || w.attempt != r.Attempt {
		return
	}
	switch outcome {
	case accepted:
		w.offset = offset
	case superseded:
		delete(c.waiters, r.ID)
		c.emit(grantAction{ticket: w.ticket, err: ErrSuperseded})
	}
}

// trackRunning restarts the holder timeout when another load has started to run.
func (c *core) trackRunning(now time.Time) {
	running := c.order.running()
	switch {
	case running == nil:
		c.running = 0
	case running.offset != c.running:
		c.running = running.offset
		c.holderActiveAt = now
	}
}

// reconcile compares the order with this scheduler's waiters once all records have been read. It grants the turn of the
// running load, repeats requests that were expired or trimmed, and withdraws requests that have no waiter.
func (c *core) reconcile() {
	own := map[string]*item{}
	for _, i := range c.order.items {
		if i.holder != c.holder {
			continue
		}
		own[i.request.ID] = i
		c.reconcileItem(i)
	}
	for _, id := range sortedKeys(c.waiters) {
		w := c.waiters[id]
		if w.offset != 0 && !w.granted && own[id] == nil {
			w.offset, w.lastSent = 0, time.Time{}
			w.attempt++
			w.request.AppliedOffset = c.order.applied
		}
	}
}

func (c *core) reconcileItem(i *item) {
	w := c.waiters[i.request.ID]
	switch {
	case w == nil && c.unconfirmedEnds[i.request.ID] == nil:
		c.emit(eventAction{kind: eventOrphaned, id: i.request.ID, offset: i.offset})
		c.unconfirmedEnds[i.request.ID] = &unconfirmedEnd{record: record{Kind: withdrawnRecord, ID: i.request.ID}}
	case w != nil && !w.granted && i.running:
		w.granted = true
		w.offset = i.offset
		c.emit(grantAction{ticket: w.ticket, turn: Turn{Request: w.request, Number: engine.LoadNumber(i.offset)}})
	}
}

// tick performs the local grants and appends that are due.
func (c *core) tick(now time.Time, schedulers int) {
	c.localLimiter.SetLimitAt(now, rate.Limit(storeLoadsPerSecond)/rate.Limit(max(schedulers, 1)))
	if c.unreachable(now) {
		c.grantLocal(now)
	}
	c.flush(now)
}

// unreachable reports whether the stream can't be read or accepts no appends.
func (c *core) unreachable(now time.Time) bool {
	unread := now.Sub(c.lastRead) > unreachableAfter
	return unread || !c.failingSince.IsZero() && now.Sub(c.failingSince) > unreachableAfter
}

// grantLocal grants turns from this scheduler's share of the weight store's rate.
func (c *core) grantLocal(now time.Time) {
	var waiting []*waiter
	for _, id := range sortedKeys(c.waiters) {
		if w := c.waiters[id]; !w.granted {
			waiting = append(waiting, w)
		}
	}
	slices.SortStableFunc(waiting, func(a, b *waiter) int {
		return cmp.Or(cmp.Compare(a.request.Class, b.request.Class), cmp.Compare(a.ticket, b.ticket))
	})
	for _, w := range waiting {
		if !c.localLimiter.AllowN(now, 1) {
			return
		}
		// The request may be on the log or get there later, so it is withdrawn when the log is reachable again.
		delete(c.waiters, w.request.ID)
		c.unconfirmedEnds[w.request.ID] = &unconfirmedEnd{record: record{Kind: withdrawnRecord, ID: w.request.ID}}
		number := engine.LoadNumber(localNumberBit | c.random.Uint64())
		c.emit(grantAction{ticket: w.ticket, turn: Turn{Request: w.request, Number: number, Local: true}})
	}
}

// flush starts an append if one is due and allowed.
func (c *core) flush(now time.Time) {
	if c.busy || now.Sub(c.lastSent) < appendInterval {
		return
	}
	r, due := c.nextRecord(now)
	if !due {
		return
	}
	r.Holder = c.holder
	// Encoding a record can't fail.
	data, _ := json.Marshal(r)
	c.busy = true
	c.lastSent = now
	if c.failingSince.IsZero() {
		c.failingSince = now
	}
	c.emit(appendAction{data: data})
}

// nextRecord returns the record to append next: first the ends of requests, because they let the next load start.
func (c *core) nextRecord(now time.Time) (record, bool) {
	for _, id := range sortedKeys(c.unconfirmedEnds) {
		if e := c.unconfirmedEnds[id]; now.Sub(e.lastSent) >= retryInterval {
			e.lastSent = now
			return e.record, true
		}
	}
	if r, due := c.expiry(now); due {
		return r, true
	}
	if r, due := c.heartbeat(now); due {
		return r, true
	}
	return c.nextRequest(now)
}

// nextRequest returns the most urgent request that is not on the log. A request that was sent and not read back within
// the retry interval is sent again; every reader ignores the duplicate.
func (c *core) nextRequest(now time.Time) (record, bool) {
	var best *waiter
	for _, id := range sortedKeys(c.waiters) {
		w := c.waiters[id]
		if w.granted || w.offset != 0 || now.Sub(w.lastSent) < retryInterval {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(w.request.Class, best.request.Class), cmp.Compare(w.ticket, best.ticket)) < 0 {
			best = w
		}
	}
	if best == nil {
		return record{}, false
	}
	best.lastSent = now
	return record{
		Kind: requestRecord, ID: best.request.ID, Attempt: best.attempt, Class: best.request.Class,
		Adapter: best.request.Adapter, Version: best.request.Version, Server: best.request.Server,
		AppliedOffset: best.request.AppliedOffset,
	}, true
}

// heartbeat returns the heartbeat record of a running load of this scheduler, when it is due.
func (c *core) heartbeat(now time.Time) (record, bool) {
	running := c.order.running()
	if running == nil || running.holder != c.holder ||
		now.Sub(c.lastHeartbeat) < heartbeatInterval || now.Sub(c.holderActiveAt) < heartbeatInterval {
		return record{}, false
	}
	w := c.waiters[running.request.ID]
	if w == nil || !w.granted {
		return record{}, false
	}
	c.lastHeartbeat = now
	return record{Kind: heartbeatRecord, ID: running.request.ID}, true
}

// expiry returns the expire record of a running load whose holder has timed out. Only a reader that has read the stream
// up to its end can detect this.
func (c *core) expiry(now time.Time) (record, bool) {
	running := c.order.running()
	if running == nil || !c.caughtUp || c.unreachable(now) || now.Sub(c.lastExpire) < holderTimeout/2 {
		return record{}, false
	}
	jitter := time.Duration(xxhash.Sum64String(c.holder+running.request.ID) % uint64(expireJitter))
	if now.Sub(c.holderActiveAt) < holderTimeout+jitter {
		return record{}, false
	}
	c.lastExpire = now
	c.emit(eventAction{kind: eventExpired, id: running.request.ID, offset: running.offset})
	return record{
		Kind: expireRecord, ID: running.request.ID, RequestOffset: running.offset,
		LastRecord: c.order.lastRecords[running.holder],
	}, true
}

// appendDone handles the result of an append. The result confirms nothing; only a record that is read back has taken
// effect.
func (c *core) appendDone(now time.Time, ok bool) {
	c.busy = false
	if ok {
		c.failingSince = time.Time{}
	}
	c.flush(now)
}

func sortedKeys[V any](all map[string]V) []string {
	keys := make([]string, 0, len(all))
	for key := range all {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
