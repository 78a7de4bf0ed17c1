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
	// Removed removes a VM from the list.
	Removed Kind = "gone"
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

// Registry holds the declared and the active faults of all targets.
type Registry struct {
	now        func() time.Time
	onSwitched func(Order)

	mu      sync.Mutex
	actions map[key]func(Order)
	faults  map[key]*activeFault
	changed chan struct{}
}

// NewRegistry returns a registry without active faults that reads the time from now and calls onSwitched for each
// accepted order.
func NewRegistry(now func() time.Time, onSwitched func(Order)) *Registry {
	return &Registry{
		now:        now,
		onSwitched: onSwitched,
		actions:    make(map[key]func(Order)),
		faults:     make(map[key]*activeFault),
		changed:    make(chan struct{}),
	}
}

// Declare registers the kinds of faults that a target supports.
func (reg *Registry) Declare(target string, kinds ...Kind) {
	for _, kind := range kinds {
		reg.DeclareAction(target, kind, nil)
	}
}

// DeclareAction registers a kind for a target and an action that is called for each order of it. The action must not
// block.
func (reg *Registry) DeclareAction(target string, kind Kind, action func(Order)) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	reg.actions[key{target, kind}] = action
}

// Activate executes an order. It returns an error for targets and kinds that no stand-in declared.
func (reg *Registry) Activate(order Order) error {
	if order.Duration < 0 || order.Count < 0 || order.Delay < 0 {
		return fmt.Errorf("duration, count and delay must not be negative")
	}
	action, err := reg.store(order)
	if err != nil {
		return err
	}
	reg.onSwitched(order)
	if action != nil {
		action(order)
	}
	return nil
}

// store records the fault of an order, unless it acts only once, and returns the action declared for it.
func (reg *Registry) store(order Order) (func(Order), error) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	id := key{order.Target, order.Kind}
	action, known := reg.actions[id]
	if !known {
		return nil, fmt.Errorf("target %q with kind %q is unknown; allowed: %s", order.Target, order.Kind, reg.allowed())
	}
	if order.Kind == Silence || (order.Kind == Restart && order.Duration == 0) {
		return action, nil
	}
	fault := &activeFault{order: order, callsLeft: order.Count}
	if order.Duration > 0 {
		fault.until = reg.now().Add(order.Duration.Std())
	}
	reg.faults[id] = fault
	reg.notifyChanged()
	return action, nil
}

// allowed returns the declared pairs of target and kind as text. The caller holds mu.
func (reg *Registry) allowed() string {
	names := make([]string, 0, len(reg.actions))
	for id := range reg.actions {
		names = append(names, id.target+" "+string(id.kind))
	}
	sort.Strings(names)
	return strings.Join(names, ", ")
}

// Clear switches a fault off. An empty target or kind matches all.
func (reg *Registry) Clear(target string, kind Kind) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	for id := range reg.faults {
		if (target == "" || target == id.target) && (kind == "" || kind == id.kind) {
			delete(reg.faults, id)
		}
	}
	reg.notifyChanged()
}

// Changed returns a channel that is closed when a fault is next switched on or cleared.
func (reg *Registry) Changed() <-chan struct{} {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	return reg.changed
}

// Active reports whether a fault is active. It doesn't count as a call.
func (reg *Registry) Active(target string, kind Kind) bool {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	return reg.find(target, kind) != nil
}

// Consume reports whether a fault affects the current call, and subtracts the call from the fault's count.
func (reg *Registry) Consume(target string, kind Kind) bool {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	return reg.consume(target, kind) != nil
}

// Delay returns how long Slow delays the current call, and subtracts the call from the fault's count.
func (reg *Registry) Delay(target string) time.Duration {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	fault := reg.consume(target, Slow)
	if fault == nil {
		return 0
	}
	if fault.order.Delay == 0 {
		return defaultDelay
	}
	return fault.order.Delay.Std()
}

// List returns the active faults, each with its remaining count.
func (reg *Registry) List() []Order {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	list := []Order{}
	for id := range reg.faults {
		if fault := reg.find(id.target, id.kind); fault != nil {
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
func (reg *Registry) consume(target string, kind Kind) *activeFault {
	fault := reg.find(target, kind)
	if fault == nil || fault.order.Count == 0 {
		return fault
	}
	fault.callsLeft--
	if fault.callsLeft == 0 {
		delete(reg.faults, key{target, kind})
	}
	return fault
}

// find returns an active fault or nil, and removes the fault when its duration is over. The caller holds mu.
func (reg *Registry) find(target string, kind Kind) *activeFault {
	id := key{target, kind}
	fault, found := reg.faults[id]
	if !found {
		return nil
	}
	if !fault.until.IsZero() && !reg.now().Before(fault.until) {
		delete(reg.faults, id)
		return nil
	}
	return fault
}

// notifyChanged wakes the receivers of Changed. The caller holds mu.
func (reg *Registry) notifyChanged() {
	close(reg.changed)
	reg.changed = make(chan struct{})
}

// AwaitClear waits while a fault is active. It returns early when done is closed.
func (reg *Registry) AwaitClear(done <-chan struct{}, target string, kind Kind) {
	for {
		left, changed, active := reg.remaining(target, kind)
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
func (reg *Registry) remaining(target string, kind Kind) (time.Duration, <-chan struct{}, bool) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	fault := reg.find(target, kind)
	if fault == nil {
		return 0, nil, false
	}
	left := time.Duration(1<<63 - 1)
	if !fault.until.IsZero() {
		left = fault.until.Sub(reg.now())
	}
	return left, reg.changed, true
}
