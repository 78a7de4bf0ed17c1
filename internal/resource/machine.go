package resource

import (
	"errors"
	"fmt"

	"waxwingcleat.example/waxwingcleat/internal/platform"
)

// Machine is the configuration state machine. Equal records give equal states and results at every reader.
// It is not safe for concurrent use; the views that it returns are immutable.
type Machine struct {
	view       *View
	operations *operationLog
	retired    *retiredPaths
	history    *history
}

// NewMachine returns the state before the first record.
func NewMachine() *Machine {
	return &Machine{view: emptyView(), operations: newOperationLog(), retired: newRetiredPaths(), history: &history{}}
}

// View returns the current state.
func (m *Machine) View() *View { return m.view }

// Result returns the verdict on an operation that was decided by one of the last operations.
func (m *Machine) Result(operationID string) (Result, bool) { return m.operations.find(operationID) }

// Changes returns the changes of one kind after an offset, oldest first. The error is a *TooOldError when some
// of them are no longer kept.
func (m *Machine) Changes(kind Kind, after platform.Offset) ([]Change, error) {
	return m.history.since(kind, after)
}

// Ignored is a record that does not decode and has no effect.
type Ignored struct {
	Offset platform.Offset
	Err    error
}

// Report says what a batch of records did.
type Report struct {
	Results []Result
	Ignored []Ignored
}

// step is one record at its offset after decoding.
type step struct {
	offset     platform.Offset
	operations []Operation
}

// apply takes the records that follow the current state without a gap and makes one new view of them.
func (m *Machine) apply(steps []step) []Result {
	if len(steps) == 0 {
		return nil
	}
	next := newDraft(m.view)
	var results []Result
	for _, s := range steps {
		if s.offset != next.view.Applied+1 {
			panic(fmt.Sprintf("resource: record %d applied after %d", s.offset, next.view.Applied))
		}
		for _, op := range s.operations {
			results = append(results, m.decide(next, op, s.offset))
		}
		next.view.Applied = s.offset
	}
	m.view = &next.view
	return results
}

// decide returns the original result of a repeated operation and the verdict on a new one.
func (m *Machine) decide(next *draft, op Operation, offset platform.Offset) Result {
	if before, found := m.operations.find(op.ID); found {
		before.Repeated = true
		return before
	}
	result := m.change(next, op, offset)
	m.operations.add(result)
	return result
}

func (m *Machine) change(next *draft, op Operation, offset platform.Offset) Result {
	current := next.view.find(op.Kind, op.Name)
	version := next.view.Version(op.Kind, op.Name)
	declared, problem := parseOperation(op)
	if problem != nil {
		return invalid(op, version, problem)
	}
	// A second change in one record would give two states of a resource the same version.
	if version != op.ExpectedVersion || version == offset {
		return Result{OperationID: op.ID, Outcome: Conflict, Version: version}
	}
	if op.Delete {
		m.remove(next, op, current, offset)
		return Result{OperationID: op.ID, Outcome: Accepted, Version: offset}
	}
	if adapter, ok := declared.(*Adapter); ok {
		if problem := checkPaths(adapter, current, m.retired); problem != nil {
			return invalid(op, version, problem)
		}
	}
	m.declare(next, op, declared, current, offset)
	return Result{OperationID: op.ID, Outcome: Accepted, Version: offset}
}

func (m *Machine) declare(next *draft, op Operation, declared, current item, offset platform.Offset) {
	declared.meta().ResourceVersion = offset
	change := Change{Type: Added, Object: objectOf(op.Kind, declared)}
	if current != nil {
		change.Type = Modified
		m.retired.replace(current, declared)
	}
	next.put(op.Kind, op.Name, declared)
	m.history.add(change)
}

func (m *Machine) remove(next *draft, op Operation, current item, offset platform.Offset) {
	m.retired.replace(current, nil)
	next.remove(op.Kind, op.Name)
	last := objectOf(op.Kind, current)
	last.ResourceVersion = offset
	m.history.add(Change{Type: Deleted, Object: last})
}

func invalid(op Operation, version platform.Offset, problem *Problem) Result {
	return Result{OperationID: op.ID, Outcome: Invalid, Version: version, Field: problem.Field, Message: problem.Error()}
}

// InvalidResult returns the result of an operation that Validate refuses with err.
func InvalidResult(op Operation, err error) Result {
	var problem *Problem
	if !errors.As(err, &problem) {
		problem = &Problem{Field: "(document)", Value: quote(err.Error()), Allowed: "a valid operation"}
	}
	return invalid(op, 0, problem)
}
