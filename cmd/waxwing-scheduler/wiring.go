package main

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/engine"
	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/loadqueue"
	"waxwingcleat.example/waxwingcleat/internal/membership"
	"waxwingcleat.example/waxwingcleat/internal/platform"
	"waxwingcleat.example/waxwingcleat/internal/platform/httplog"
	"waxwingcleat.example/waxwingcleat/internal/rpc/peerpb"
	"waxwingcleat.example/waxwingcleat/internal/scheduler"
)

// shared is what a scheduler shares with the schedulers of all zones.
type shared struct {
	table membership.Table
	queue loadqueue.Queue
	// membership is the handler of the Membership service, or nil.
	membership http.Handler
	duties     []func(ctx context.Context) error
	// peers returns the RPC addresses of known schedulers.
	peers   func() []string
	applied func(offset uint64)
	leave   func()
}

// newShared connects membership and the load queue. Pending: the drivers are written on other branches. At the merge
// the table and the queue below are replaced by
//
//	members := membership.NewDriver(membership.Options{Self: self, Seeds: settings.Schedulers, VMs: client, Events: events})
//	loads := loadqueue.NewDriver(loadqueue.Options{Log: client, Holder: settings.Node.Name, Schedulers: liveSchedulers, Events: events})
//	shared{
//		table: members, queue: loads, membership: members.Handler(),
//		duties: []func(context.Context) error{members.Run, loads.Run},
//		peers: addresses of members.Nodes(), applied: members.SetApplied, leave: members.Leave,
//	}
func newShared(settings scheduler.Settings, _ *httplog.Client, _ *event.Log) *shared {
	self := &peerpb.NodeEntry{
		Name: settings.Node.Name, Zone: settings.Node.Zone, Scheduler: settings.Listen,
		State: peerpb.NodeState_ALIVE, Incarnation: 1, Revision: 1,
	}
	return &shared{
		table: &singleTable{self: self}, queue: newSingleQueue(),
		peers:   func() []string { return settings.Schedulers },
		applied: func(uint64) {}, leave: func() {},
	}
}

// singleTable is a node table with one node. It serves until membership is connected.
type singleTable struct {
	self *peerpb.NodeEntry
}

// Nodes implements membership.Table.
func (t *singleTable) Nodes() ([]*peerpb.NodeEntry, uint64) { return []*peerpb.NodeEntry{t.self}, 1 }

// Report implements membership.Table.
func (t *singleTable) Report(membership.ProcessReport) {}

// errQueueFull means that too many loads wait.
var errQueueFull = errors.New("too many loads wait")

const singleQueueCapacity = 1024

// singleQueue gives turns to the loads of this process only, one at a time, in the order of arrival. It serves until
// the load queue is connected. Its numbers start at the
// time, so that those of another run differ.
type singleQueue struct {
	turn   chan struct{}
	number atomic.Uint64

	mu      sync.Mutex
	pending []loadqueue.Pending
}

func newSingleQueue() *singleQueue {
	q := &singleQueue{turn: make(chan struct{}, 1)}
	q.turn <- struct{}{}
	q.number.Store(uint64(time.Now().UnixNano()))
	return q
}

// Seen implements loadqueue.Queue.
func (q *singleQueue) Seen() platform.Offset { return 0 }

// Pending implements loadqueue.Queue.
func (q *singleQueue) Pending() []loadqueue.Pending {
	q.mu.Lock()
	defer q.mu.Unlock()
	return append([]loadqueue.Pending(nil), q.pending...)
}

// Acquire implements loadqueue.Queue.
func (q *singleQueue) Acquire(ctx context.Context, request loadqueue.Request) (loadqueue.Turn, error) {
	if !q.add(request) {
		return loadqueue.Turn{}, errQueueFull
	}
	select {
	case <-q.turn:
		return loadqueue.Turn{Request: request, Number: engine.LoadNumber(q.number.Add(1)), Local: true}, nil
	case <-ctx.Done():
		q.remove(request.ID)
		return loadqueue.Turn{}, ctx.Err()
	}
}

// Finish implements loadqueue.Queue.
func (q *singleQueue) Finish(turn loadqueue.Turn, _ bool) {
	q.remove(turn.Request.ID)
	q.turn <- struct{}{}
}

func (q *singleQueue) add(request loadqueue.Request) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.pending) >= singleQueueCapacity {
		return false
	}
	q.pending = append(q.pending, loadqueue.Pending{Request: request})
	return true
}

func (q *singleQueue) remove(id string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i := range q.pending {
		if q.pending[i].Request.ID == id {
			q.pending = append(q.pending[:i], q.pending[i+1:]...)
			return
		}
	}
}
