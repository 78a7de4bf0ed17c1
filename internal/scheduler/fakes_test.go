package scheduler

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/engine"
	"waxwingcleat.example/waxwingcleat/internal/loadqueue"
	"waxwingcleat.example/waxwingcleat/internal/membership"
	"waxwingcleat.example/waxwingcleat/internal/platform"
	"waxwingcleat.example/waxwingcleat/internal/resource"
	"waxwingcleat.example/waxwingcleat/internal/rpc/peerpb"
)

// memoryLog is an in-memory log service.
type memoryLog struct {
	mu      sync.Mutex
	streams map[platform.Stream][]platform.Record
	grown   chan struct{}
}

func newMemoryLog() *memoryLog {
	return &memoryLog{streams: map[platform.Stream][]platform.Record{}, grown: make(chan struct{})}
}

func (l *memoryLog) Append(_ context.Context, stream platform.Stream, data []byte) (platform.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	offset := platform.Offset(len(l.streams[stream]) + 1)
	l.streams[stream] = append(l.streams[stream], platform.Record{Offset: offset, Data: data})
	close(l.grown)
	l.grown = make(chan struct{})
	return offset, nil
}

func (l *memoryLog) Read(
	ctx context.Context, stream platform.Stream, from platform.Offset, wait time.Duration,
) (platform.Batch, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		l.mu.Lock()
		records, grown := l.streams[stream], l.grown
		l.mu.Unlock()
		next := platform.Offset(len(records) + 1)
		if from < next {
			return platform.Batch{Earliest: 1, Next: next, Records: slices.Clone(records[from-1:])}, nil
		}
		select {
		case <-grown:
		case <-timer.C:
			return platform.Batch{Earliest: 1, Next: next}, nil
		case <-ctx.Done():
			return platform.Batch{}, ctx.Err()
		}
	}
}

// interruptibleLog is one process's connection to the log, which a test may interrupt.
type interruptibleLog struct {
	*memoryLog
	unreachable atomic.Bool
}

var errUnreachable = errors.New("the log can't be reached")

func (l *interruptibleLog) Append(ctx context.Context, stream platform.Stream, data []byte) (platform.Offset, error) {
	if l.unreachable.Load() {
		return 0, errUnreachable
	}
	return l.memoryLog.Append(ctx, stream, data)
}

func (l *interruptibleLog) Read(
	ctx context.Context, stream platform.Stream, from platform.Offset, wait time.Duration,
) (platform.Batch, error) {
	if batch, err := l.memoryLog.Read(ctx, stream, from, wait); !l.unreachable.Load() {
		return batch, err
	}
	return platform.Batch{}, errUnreachable
}

// memoryEngine is an in-memory engine. It counts the requests interrupted by unloads, which tests expect to be 0.
type memoryEngine struct {
	mu       sync.Mutex
	started  time.Time
	loads    []engine.LoadName
	running  map[engine.LoadName]int
	draining bool

	slots, interrupted int
}

func newMemoryEngine(slots int) *memoryEngine {
	return &memoryEngine{started: time.Now(), slots: slots, running: map[engine.LoadName]int{}}
}

func (e *memoryEngine) Load(_ context.Context, _ engine.Order, name engine.LoadName, _ string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.loads) >= e.slots {
		return engine.ErrNoSlot
	}
	e.loads = append(e.loads, name)
	return nil
}

func (e *memoryEngine) Unload(_ context.Context, _ engine.Order, name engine.LoadName) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.interrupted += e.running[name]
	e.loads = slices.DeleteFunc(e.loads, func(n engine.LoadName) bool { return n == name })
	return nil
}

func (e *memoryEngine) RaiseFence(context.Context, engine.Order) error { return nil }

func (e *memoryEngine) Report(context.Context) (engine.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Since(e.started)
	r := engine.Report{Incarnation: "1", AsOf: now, Now: now, Slots: e.slots, Draining: e.draining}
	for _, name := range e.loads {
		r.Adapters = append(r.Adapters, engine.LoadedAdapter{Name: name, Running: e.running[name]})
	}
	return r, nil
}

func (e *memoryEngine) update(change func(e *memoryEngine)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(e)
}

func (e *memoryEngine) loadNames() []engine.LoadName {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.loads)
}

// fixedConfig is a configuration source that never changes.
type fixedConfig struct{ view *resource.View }

func (f fixedConfig) View() *resource.View     { return f.view }
func (f fixedConfig) Changed() <-chan struct{} { return nil }

// fixedTable is a node table that never changes.
type fixedTable struct{ nodes []*peerpb.NodeEntry }

func (t fixedTable) Nodes() ([]*peerpb.NodeEntry, uint64)   { return t.nodes, 1 }
func (t fixedTable) Report(report membership.ProcessReport) {}

// immediateQueue grants every turn immediately.
type immediateQueue struct {
	mu   sync.Mutex
	last engine.LoadNumber
}

func (q *immediateQueue) AppliedOffset() platform.Offset { return 0 }
func (q *immediateQueue) Pending() []loadqueue.Pending   { return nil }
func (q *immediateQueue) Finish(loadqueue.Turn, bool)    {}
func (q *immediateQueue) Acquire(_ context.Context, request loadqueue.Request) (loadqueue.Turn, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.last++
	return loadqueue.Turn{Request: request, Number: q.last}, nil
}

// fixedVMs is a list of VMs that never changes.
type fixedVMs []platform.VM

func (v fixedVMs) VMs(context.Context) ([]platform.VM, error) { return v, nil }
