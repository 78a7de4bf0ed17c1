package node

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/serving"
	"waxwingcleat.example/waxwingcleat/internal/storeera"
)

const (
	// changeDue is the platform's bound on the time from the acknowledgement of a configuration until it's in force, and of
	// a server's leaving until it gets no requests; settledAfter is the time after a disruption from which it holds.
	changeDue    = 2 * time.Second
	settledAfter = 3 * time.Second
	// storeCallTimeout is the time that the platform's client adds to the wait of a call.
	storeCallTimeout = 1200 * time.Millisecond
	storeLatency     = 4 * time.Millisecond
	peerLatency      = time.Millisecond
	simulatedNodes   = 6
	simulatedServers = 12
)

// pass lets simulated time pass.
func pass(duration time.Duration) { <-time.After(duration) }

var errRefused = errors.New("refused")

// simulatedStore holds the operators' records. It implements the reads of serving.Store, by node.
type simulatedStore struct {
	mu        sync.Mutex
	records   []serving.OperatorBatch
	writtenAt []time.Time
	// newest is the record that operators wrote last.
	newest    serving.OperatorBatch
	changed   chan struct{}
	startedAt time.Time
	// pending holds the configurations that are acknowledged at the end of an outage.
	pending []*serving.Configuration
	// acked holds when each configuration was acknowledged, in order.
	acked []acknowledged
	// left holds the records by which servers begin to leave, by the server's number; pendingLeaves holds the servers whose
	// records are acknowledged at the end of an outage.
	left          map[int]leaveRecord
	pendingLeaves []leave
	// lapsedUntil is until when the entry of a server that lives is missing, by the server's number.
	lapsedUntil map[int]time.Time
	// silent and refusing count the running disruptions by node; -1 stands for all.
	silent, refusing map[int]int
	// serversAway is true while the store refuses the servers' topic alone.
	serversAway bool
	// lost counts the disruptions by which the open connections of a node became silent.
	lost map[int]int
	// era counts the returns of the store from older copies, takenBack is by how much they have lowered the offsets of the servers'
	// topic.
	era       serving.StoreEra
	takenBack int64
	// copiedAt is when the copy was made from which the store last returned, rewrittenAt when servers write again what it lacks.
	copiedAt, rewrittenAt time.Time
}

// isForgotten reports whether a record is missing in the copy from which the store has just returned. The caller holds s.mu.
func (s *simulatedStore) isForgotten(record leaveRecord) bool {
	return record.at.After(s.copiedAt) && time.Now().Before(s.rewrittenAt)
}

// leaveRecord is the record by which a server begins to leave. With removed its entry goes without having said so.
type leaveRecord struct {
	at      time.Time
	offset  int64
	removed bool
}

// leave is a server that begins to leave.
type leave struct {
	server  int
	removed bool
}

type acknowledged struct {
	version int64
	at      time.Time
}

func newSimulatedStore() *simulatedStore {
	return &simulatedStore{
		changed: make(chan struct{}), startedAt: time.Now(), left: map[int]leaveRecord{},
		lapsedUntil: map[int]time.Time{}, silent: map[int]int{}, refusing: map[int]int{}, lost: map[int]int{},
	}
}

const allNodes = -1

// put appends a configuration, at the end of the outage if all nodes get no answers.
func (s *simulatedStore) put(version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	config := &serving.Configuration{Version: version}
	if s.silent[allNodes] > 0 {
		s.pending = append(s.pending, config)
		return
	}
	s.append(config)
}

func (s *simulatedStore) append(config *serving.Configuration) {
	s.newest = serving.OperatorBatch{Configurations: []*serving.Configuration{config}}
	s.appendRecord(s.newest)
	s.acked = append(s.acked, acknowledged{config.Version, time.Now()})
}

func (s *simulatedStore) appendRecord(record serving.OperatorBatch) {
	s.records, s.writtenAt = append(s.records, record), append(s.writtenAt, time.Now())
	close(s.changed)
	s.changed = make(chan struct{})
}

// leave records that a server begins to leave, at the end of the outage if all nodes get no answers.
func (s *simulatedStore) leave(server int) { s.begin(leave{server: server}) }

// remove is leave for a server whose entry is removed.
func (s *simulatedStore) remove(server int) { s.begin(leave{server: server, removed: true}) }

func (s *simulatedStore) begin(l leave) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent[allNodes] > 0 {
		s.pendingLeaves = append(s.pendingLeaves, l)
		return
	}
	s.appendLeave(l)
}

func (s *simulatedStore) appendLeave(l leave) {
	if _, leaves := s.left[l.server]; !leaves {
		s.left[l.server] = leaveRecord{time.Now(), s.nextOffset(), l.removed}
	}
}

// rewriteDelay is how long after a return the operators and the servers write again what the copy lacks.
const rewriteDelay = 300 * time.Millisecond

// returnFrom refuses all calls for a time, and goes on from a copy that was made a time before, in a new era. Operators write their
// newest configuration again, and servers their entries.
func (s *simulatedStore) returnFrom(age, away time.Duration) {
	s.disrupt(s.refusing, allNodes, away)
	s.mu.Lock()
	s.era++
	s.copiedAt, s.rewrittenAt = time.Now().Add(-age-away), time.Now().Add(rewriteDelay)
	for len(s.records) > 1 && s.writtenAt[len(s.records)-1].After(s.copiedAt) {
		s.records, s.writtenAt = s.records[:len(s.records)-1], s.writtenAt[:len(s.records)-1]
	}
	s.takenBack += (age + away).Milliseconds() * simulatedServers
	s.mu.Unlock()
	pass(rewriteDelay)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appendRecord(s.newest)
	for server, record := range s.left {
		s.left[server] = leaveRecord{record.at, s.nextOffset(), record.removed}
	}
}

// lapse makes the entry of a server that lives disappear now and reappear after a time.
func (s *simulatedStore) lapse(server int, duration time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lapsedUntil[server] = time.Now().Add(duration)
}

// nextOffset returns the offset of the next record in the servers' topic. Servers write there all the time, so that it rises
// with the time as well as with each record.
func (s *simulatedStore) nextOffset() int64 {
	return time.Since(s.startedAt).Milliseconds()*simulatedServers + int64(len(s.left)) - s.takenBack
}

// disrupt applies a disruption of a node, or of all, for a time. A silent store also loses the calls in progress.
func (s *simulatedStore) disrupt(counts map[int]int, node int, duration time.Duration) {
	s.mu.Lock()
	counts[node]++
	s.mu.Unlock()
	pass(duration)
	s.mu.Lock()
	defer s.mu.Unlock()
	counts[node]--
	if s.silent[allNodes] == 0 {
		for _, config := range s.pending {
			s.append(config)
		}
		for _, pending := range s.pendingLeaves {
			s.appendLeave(pending)
		}
		s.pending, s.pendingLeaves = nil, nil
	}
}

// refuseServers refuses the servers' topic for a time, and serves everything else.
func (s *simulatedStore) refuseServers(duration time.Duration) {
	set := func(away bool) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.serversAway = away
	}
	set(true)
	pass(duration)
	set(false)
}

// loseOpenConnections makes the calls in progress of all nodes get no answer, while new ones do.
func (s *simulatedStore) loseOpenConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost[allNodes]++
}

// state returns whether calls of a node are silent or refused, and the number of losses so far.
func (s *simulatedStore) state(node int) (silent, refused bool, losses int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent[node]+s.silent[allNodes] > 0, s.refusing[node]+s.refusing[allNodes] > 0, s.lost[allNodes]
}

// call waits for an answer to a call of a node, which ready delivers. It returns an error if the call is refused, or once
// it has timed out.
func (s *simulatedStore) call(ctx context.Context, node int, wait time.Duration, ready func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, wait+storeCallTimeout)
	defer cancel()
	hang := func() error {
		<-ctx.Done()
		return ctx.Err()
	}
	pass(storeLatency)
	silent, refused, losses := s.state(node)
	waited := time.After(wait)
	for over := false; ; {
		nowSilent, _, lost := s.state(node)
		switch {
		case silent || nowSilent || lost != losses:
			return hang()
		case refused:
			return errRefused
		case over || ready():
			return nil
		}
		s.mu.Lock()
		changed := s.changed
		s.mu.Unlock()
		if ready() {
			continue
		}
		select {
		case <-changed:
		case <-time.After(10 * time.Millisecond):
		case <-waited:
			over = true
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// simulatedClient is the store as one node sees it. Calls that the simulation doesn't need are left to the nil interface.
type simulatedClient struct {
	serving.Store
	store *simulatedStore
	node  int
	eras  *storeera.Tracker
}

// isOf reports whether a cursor is one of the store's present era, which the answer names. The caller holds the store's mutex.
func (c simulatedClient) isOf(after serving.Cursor) bool {
	c.eras.Answered(c.store.era)
	return after.Known && after.Era == c.store.era
}

func (c simulatedClient) ReadOperator(
	ctx context.Context, after serving.Cursor, wait time.Duration,
) (batch serving.OperatorBatch, err error) {
	err = c.store.call(ctx, c.node, wait, func() bool {
		c.store.mu.Lock()
		defer c.store.mu.Unlock()
		return !c.isOf(after) || int64(len(c.store.records)) > after.Offset
	})
	if err != nil {
		return batch, err
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	if !c.isOf(after) {
		after.Offset = 0
	}
	for _, record := range c.store.records[after.Offset:] {
		batch.Configurations = append(batch.Configurations, record.Configurations...)
	}
	batch.Next = serving.Cursor{Known: true, Era: c.store.era, Offset: int64(len(c.store.records))}
	return batch, nil
}

func (c simulatedClient) ReadServers(ctx context.Context, after serving.Cursor) (serving.ServerBatch, error) {
	if err := c.store.call(ctx, c.node, 0, func() bool { return true }); err != nil {
		return serving.ServerBatch{}, err
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	if c.store.serversAway {
		return serving.ServerBatch{}, errRefused
	}
	batch := serving.ServerBatch{Complete: !c.isOf(after)}
	for number := range simulatedServers {
		id := serverID(number)
		record, leaves := c.store.left[number]
		leaves = leaves && !c.store.isForgotten(record)
		switch {
		case c.store.lapsedUntil[number].After(time.Now()):
			batch.Gone = append(batch.Gone, id)
		case !c.store.lapsedUntil[number].IsZero():
			batch.Present = append(batch.Present, serving.Server{ID: id, Service: "s", Address: id, Slots: 1, SoftwareVersion: "v1"})
		case !batch.Complete && (!leaves || record.offset < after.Offset):
		case leaves && record.removed:
			batch.Gone = append(batch.Gone, id)
		default:
			batch.Present = append(batch.Present, serving.Server{
				ID: id, Service: "s", Address: id, Slots: 1, SoftwareVersion: "v1", Draining: leaves,
			})
		}
	}
	batch.Next = serving.Cursor{Known: true, Era: c.store.era, Offset: c.store.nextOffset()}
	return batch, nil
}

func serverID(number int) string { return fmt.Sprintf("s%d", number) }
