// Package fault injects faults into the stand-ins. Each stand-in declares its target name and the kinds of faults that
// it supports; the admin endpoint switches them over HTTP.
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

// Kinds of faults. The kinds that are marked "once" act when they are switched on; the others stay active for a
// duration or for a number of calls.
const (
	// Outage makes the log service refuse every call.
	Outage Kind = "outage"
	// Slow delays every call by the fault's delay.
	Slow Kind = "slow"
	// LostAnswer breaks the connection instead of answering, after an append, load, unload or service call took effect.
	LostAnswer Kind = "lost_answer"
	// LoadFailure makes loads fail.
	LoadFailure Kind = "load_failure"
	// Restart (once) empties an engine. With a duration, its address refuses connections for that long.
	Restart Kind = "restart"
	// Freeze stops a stand-in from answering; afterwards it resumes where it stopped.
	Freeze Kind = "freeze"
	// Silence (once) makes all open connections stop delivering data without closing them; new connections work.
	Silence Kind = "silence"
	// Draining makes an engine announce its shutdown in its reports.
	Draining Kind = "draining"
	// Leaving marks a VM as leaving.
	Leaving Kind = "leaving"
	// Gone removes a VM from the list.
	Gone Kind = "gone"
)

// defaultDelay is the delay of Slow when the order has none.
const defaultDelay = time.Second

// Order switches a fault on. A fault without duration and count stays active until it is cleared.
type Order struct {
	Target   string            `json:"target"`
	Kind     Kind              `json:"kind"`
	Duration settings.Duration `json:"duration,omitempty"`
	// Count is the number of calls that the fault affects; 0 means no limit.
	Count int `json:"count,omitempty"`
	// Delay is used by Slow only.
	Delay settings.Duration `json:"delay,omitempty"`
}

type key struct {
	target string
	kind   Kind
}

// activeFault is a fault that is switched on, with its expiry time (zero for none) and the calls that remain of its
// count.
type activeFault struct {
	order     Order
	until     time.Time
	callsLeft int
}

// Board holds the declared and the active faults of all targets.
type Board struct {
	now        func() time.Time
	onSwitched func(Order)

	mu      sync.Mutex
	actions map[key]func(Order)
	faults  map[key]*activeFault
	changed chan struct{}
}

// NewBoard returns a board without faults that reads the time from now and calls onSwitched for each accepted order.
func NewBoard(now func() time.Time, onSwitched func(Order)) *Board {
	return &Board{
		now:        now,
		onSwitched: onSwitched,
		actions:    make(map[key]func(Order)),
		faults:     make(map[key]*activeFault),
		changed:    make(chan struct{}),
	}
}

// Declare registers the kinds of faults that a target supports.
func (b *Board) Declare(target string, kinds ...Kind) {
	for _, kind := range kinds {
		b.DeclareAction(target, kind, nil)
	}
}

// DeclareAction registers a kind for a target and an action that is called for each order of it. The action must not
// block.
func (b *Board) DeclareAction(target string, kind Kind, action func(Order)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.actions[key{target, kind}] = action
}

// Switch executes an order. It returns an error for targets and kinds that no stand-in declared.
func (b *Board) Switch(order Order) error {
	if order.Duration < 0 || order.Count < 0 || order.Delay < 0 {
		return fmt.Errorf("duration, count and delay must not be negative")
	}
	action, err := b.store(order)
	if err != nil {
		return err
	}
	b.onSwitched(order)
	if action != nil {
		action(order)
	}
	return nil
}

// store records the fault of an order, unless it acts only once, and returns the action declared for it.
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
	fault := &activeFault{order: order, callsLeft: order.Count}
	if order.Duration > 0 {
		fault.until = b.now().Add(order.Duration.Std())
	}
	b.faults[id] = fault
	b.notifyChanged()
	return action, nil
}

// allowed returns the declared pairs of target and kind as text. The caller holds mu.
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
	b.notifyChanged()
}

// Changed returns a channel that is closed when a fault is next switched on or cleared.
func (b *Board) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

// Active reports whether a fault is active. It doesn't count as a call.
func (b *Board) Active(target string, kind Kind) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.find(target, kind) != nil
}

// Take reports whether a fault affects the current call, and subtracts the call from the fault's count.
func (b *Board) Take(target string, kind Kind) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.consume(target, kind) != nil
}

// Delay returns how long Slow delays the current call, and subtracts the call from the fault's count.
func (b *Board) Delay(target string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	fault := b.consume(target, Slow)
	if fault == nil {
		return 0
	}
	if fault.order.Delay == 0 {
		return defaultDelay
	}
	return fault.order.Delay.Std()
}

// List returns the active faults, each with its remaining count.
func (b *Board) List() []Order {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := []Order{}
	for id := range b.faults {
		if fault := b.find(id.target, id.kind); fault != nil {
			order := fault.order
			order.Count = fault.callsLeft
			list = append(list, order)
		}
	}
	sort.Slice(list, func(i, j int) bool {
		return list[i].Target+string(list[i].Kind) < list[j].Target+string(list[j].Kind)
	})
	return list
}

// consume returns an active fault or nil, and subtracts a call from its count. The caller holds mu.
func (b *Board) consume(target string, kind Kind) *activeFault {
	fault := b.find(target, kind)
	if fault == nil || fault.order.Count == 0 {
		return fault
	}
	fault.callsLeft--
	if fault.callsLeft == 0 {
		delete(b.faults, key{target, kind})
	}
	return fault
}

// find returns an active fault or nil, and removes the fault when its duration is over. The caller holds mu.
func (b *Board) find(target string, kind Kind) *activeFault {
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

// notifyChanged wakes the receivers of Changed. The caller holds mu.
func (b *Board) notifyChanged() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// AwaitClear waits while a fault is active. It returns early when done is closed.
func (b *Board) AwaitClear(done <-chan struct{}, target string, kind Kind) {
	for {
		left, changed, active := b.remaining(target, kind)
		if !active {
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

// remaining returns how long a fault stays active unless it is switched or cleared, and whether it is active.
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
