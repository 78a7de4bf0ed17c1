// Package fault switches the faults of the stand-ins. Each stand-in declares its target name and the kinds of
// faults that it knows; the admin endpoint switches them by HTTP.
package fault

import (
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/settings"
)

// Kind names a kind of fault.
type Kind string

// Kinds of faults. The kinds that are marked "once" act when they are switched on; the others hold for a
// duration or a count of calls.
const (
	// Outage makes the log service refuse every call.
	Outage Kind = "outage"
	// Slow delays every call by the fault's delay.
	Slow Kind = "slow"
	// LostAnswer breaks the connection after an append, load or service call took effect.
	LostAnswer Kind = "lost_answer"
	// LoadFailure makes loads fail.
	LoadFailure Kind = "load_failure"
	// Restart (once) empties an engine. With a duration, its address refuses connections for that long.
	Restart Kind = "restart"
	// Freeze keeps a stand-in from answering anything; it goes on afterwards where it stopped.
	Freeze Kind = "freeze"
	// Silence (once) makes all open connections silent for good; new ones work.
	Silence Kind = "silence"
	// Draining makes an engine announce that it's leaving.
	Draining Kind = "draining"
	// Leaving marks a VM as leaving.
	Leaving Kind = "leaving"
	// Gone removes a VM from the list.
	Gone Kind = "gone"
)

// defaultDelay is the delay of Slow when the order names none.
const defaultDelay = time.Second

// Order switches a fault on. A fault without duration and count holds until it is cleared.
type Order struct {
	Target   string            `json:"target"`
	Kind     Kind              `json:"kind"`
	Duration settings.Duration `json:"duration,omitempty"`
	// Count is the number of calls that the fault hits.
	Count int `json:"count,omitempty"`
	// Delay is used by Slow only.
	Delay settings.Duration `json:"delay,omitempty"`
}

type key struct {
	target string
	kind   Kind
}

type entry struct {
	order Order
	until time.Time
	left  int
}

// Board holds the faults that are switched on.
type Board struct {
	now      func() time.Time
	switched func(Order)

	mu      sync.Mutex
	actions map[key]func(Order)
	faults  map[key]*entry
	changed chan struct{}
}

// NewBoard returns a board without faults that reads the time from now and calls switched at each order.
func NewBoard(now func() time.Time, switched func(Order)) *Board {
	return &Board{
		now:      now,
		switched: switched,
		actions:  make(map[key]func(Order)),
		faults:   make(map[key]*entry),
		changed:  make(chan struct{}),
	}
}

// Declare makes kinds known for a target.
func (b *Board) Declare(target string, kinds ...Kind) {
	for _, kind := range kinds {
		b.DeclareAction(target, kind, nil)
	}
}

// DeclareAction makes a kind known for a target and calls action at each order of it. The action must not block.
func (b *Board) DeclareAction(target string, kind Kind, action func(Order)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.actions[key{target, kind}] = action
}

// Switch puts an order into effect. It refuses targets and kinds that no stand-in declared.
func (b *Board) Switch(order Order) error {
	if order.Duration < 0 || order.Count < 0 || order.Delay < 0 {
		return fmt.Errorf("duration, count and delay must not be negative")
	}
	action, err := b.store(order)
	if err != nil {
		return err
	}
	b.switched(order)
	if action != nil {
		action(order)
	}
	return nil
}

func (b *Board) store(order Order) (func(Order), error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	id := key{order.Target, order.Kind}
	action, known := b.actions[id]
	if !known {
		return nil, fmt.Errorf("target %q with kind %q is unknown; allowed: %s", order.Target, order.Kind, b.allowed())
	}
	if order.Kind == Silence || (order.Kind == Restart && order.Duration == 0) {
		return action, nil
	}
	fault := &entry{order: order, left: order.Count}
	if order.Duration > 0 {
		fault.until = b.now().Add(order.Duration.Std())
	}
	b.faults[id] = fault
	b.wake()
	return action, nil
}

func (b *Board) allowed() string {
	names := make([]string, 0, len(b.actions))
	for id := range b.actions {
		names = append(names, id.target+" "+string(id.kind))
	}
	sort.Strings(names)
	return strings.Join(names, ", ")
}

// Clear switches a fault off. An empty target or kind matches all.
func (b *Board) Clear(target string, kind Kind) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id := range b.faults {
		if (target == "" || target == id.target) && (kind == "" || kind == id.kind) {
			delete(b.faults, id)
		}
	}
	b.wake()
}

// Changed returns a channel that is closed at the next order or clearing.
func (b *Board) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

// Active reports whether a fault holds. It doesn't use up a count.
func (b *Board) Active(target string, kind Kind) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.find(target, kind) != nil
}

// Take reports whether a fault hits the current call, and uses up one of its count.
func (b *Board) Take(target string, kind Kind) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.take(target, kind) != nil
}

// Delay returns for how long the current call is to be delayed by Slow.
func (b *Board) Delay(target string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	fault := b.take(target, Slow)
	if fault == nil {
		return 0
	}
	if fault.order.Delay == 0 {
		return defaultDelay
	}
	return fault.order.Delay.Std()
}

// List returns the faults that hold, with what is left of their count.
func (b *Board) List() []Order {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := []Order{}
	for id := range b.faults {
		if fault := b.find(id.target, id.kind); fault != nil {
			order := fault.order
			order.Count = fault.left
			list = append(list, order)
		}
	}
	sort.Slice(list, func(i, j int) bool {
		return list[i].Target+string(list[i].Kind) < list[j].Target+string(list[j].Kind)
	})
	return list
}

func (b *Board) take(target string, kind Kind) *entry {
	fault := b.find(target, kind)
	if fault == nil || fault.order.Count == 0 {
		return fault
	}
	fault.left--
	if fault.left == 0 {
		delete(b.faults, key{target, kind})
	}
	return fault
}

// find returns a fault that holds, and forgets it when its duration is over. The caller holds mu.
func (b *Board) find(target string, kind Kind) *entry {
	id := key{target, kind}
	fault, found := b.faults[id]
	if !found {
		return nil
	}
	if !fault.until.IsZero() && !b.now().Before(fault.until) {
		delete(b.faults, id)
		return nil
	}
	return fault
}

func (b *Board) wake() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// AwaitClear waits while a fault holds. It returns early when done is closed.
func (b *Board) AwaitClear(done <-chan struct{}, target string, kind Kind) {
	for {
		left, changed, holds := b.remaining(target, kind)
		if !holds {
			return
		}
		timer := time.NewTimer(left)
		select {
		case <-timer.C:
		case <-changed:
		case <-done:
			timer.Stop()
			return
		}
		timer.Stop()
	}
}

// remaining returns how long a fault goes on to hold unless the board changes.
func (b *Board) remaining(target string, kind Kind) (time.Duration, <-chan struct{}, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fault := b.find(target, kind)
	if fault == nil {
		return 0, nil, false
	}
	left := time.Duration(1<<63 - 1)
	if !fault.until.IsZero() {
		left = fault.until.Sub(b.now())
	}
	return left, b.changed, true
}
