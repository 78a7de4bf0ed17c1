package resource

import (
	"errors"
	"fmt"

	"waxwingcleat.example/waxwingcleat/internal/platform"
)

// Machine is the configuration state machine. It is deterministic: equal records give equal states and results in every
// process. It is not safe for concurrent use; the views that it returns are immutable.
type Machine struct {
	view    *View
	results *resultLog
	retired *retiredPaths
	history *history
}

// NewMachine returns a machine in the state before the first record.
func NewMachine() *Machine {
	return &Machine{view: emptyView(), results: newResultLog(), retired: newRetiredPaths(), history: &history{}}
}

// View returns the current state.
func (m *Machine) View() *View { return m.view }

// Result returns the result of an operation, if it is among the most recent ones that are retained.
func (m *Machine) Result(operationID string) (Result, bool) { return m.results.find(operationID) }

// Changes returns the changes of one kind after an offset, oldest first. It returns a *TooOldError when some of
// them are no longer retained.
func (m *Machine) Changes(kind Kind, after platform.Offset) ([]Change, error) {
	return m.history.since(kind, after)
}

// IgnoredRecord is a record that could not be decoded and has no effect.
type IgnoredRecord struct {
	Offset platform.Offset
	Err    error
}

// ApplyReport lists the results of a batch of records and the records that were ignored.
type ApplyReport struct {
	Results []Result
	Ignored []IgnoredRecord
}

// decodedRecord holds the operations of one record and its offset.
type decodedRecord struct {
	offset     platform.Offset
	operations []Operation
}

// apply applies records that follow the current state without a gap and publishes their effects as one new view.
func (m *Machine) apply(records []decodedRecord) []Result {
	if len(records) == 0 {
		return nil
	}
	next := newDraft(m.view)
	var results []Result
	for _, record := range records {
		if record.offset != next.view.Applied+1 {
			panic(fmt.Sprintf("resource: record %d applied after %d", record.offset, next.view.Applied))
		}
		for _, op := range record.operations {
			results = append(results, m.decide(next, op, record.offset))
		}
		next.view.Applied = record.offset
	}
	m.view = &next.view
	return results
}

// decide applies an operation and returns its result. For a repeated operation it returns the original result.
func (m *Machine) decide(next *draft, op Operation, offset platform.Offset) Result {
	if original, found := m.results.find(op.ID); found {
		original.Repeated = true
		return original
	}
	result := m.change(next, op, offset)
	m.results.add(result)
	return result
}

func (m *Machine) change(next *draft, op Operation, offset platform.Offset) Result {
	current := next.view.find(op.Kind, op.Name)
	version := next.view.Version(op.Kind, op.Name)
	declared, fieldErr := parseOperation(op)
	if fieldErr != nil {
		return invalidResult(op, version, fieldErr)
	}
	// Two changes of a resource in one record would give two of its states the same version.
	if version != op.ExpectedVersion || version == offset {
		return Result{OperationID: op.ID, Outcome: Conflict, Version: version}
	}
	if op.Delete {
		m.removeResource(next, op, current, offset)
		return Result{OperationID: op.ID, Outcome: Accepted, Version: offset}
	}
	if adapter, ok := declared.(*Adapter); ok {
		if fieldErr := checkPaths(adapter, current, m.retired); fieldErr != nil {
			return invalidResult(op, version, fieldErr)
		}
	}
	m.putResource(next, op, declared, current, offset)
	return Result{OperationID: op.ID, Outcome: Accepted, Version: offset}
}

func (m *Machine) putResource(next *draft, op Operation, declared, current item, offset platform.Offset) {
	declared.meta().ResourceVersion = offset
	change := Change{Type: Added, Object: objectOf(op.Kind, declared)}
	if current != nil {
		change.Type = Modified
		m.retired.retireWithdrawn(current, declared)
	}
	next.put(op.Kind, op.Name, declared)
	m.history.add(change)
}

func (m *Machine) removeResource(next *draft, op Operation, current item, offset platform.Offset) {
	m.retired.retireWithdrawn(current, nil)
	next.remove(op.Kind, op.Name)
	last := objectOf(op.Kind, current)
	last.ResourceVersion = offset
	m.history.add(Change{Type: Deleted, Object: last})
}

func invalidResult(op Operation, version platform.Offset, fieldErr *FieldError) Result {
	return Result{OperationID: op.ID, Outcome: Invalid, Version: version, Field: fieldErr.Field, Message: fieldErr.Error()}
}

// InvalidResult returns the result of an operation that Validate rejected with err.
func InvalidResult(op Operation, err error) Result {
	var fieldErr *FieldError
	if !errors.As(err, &fieldErr) {
		fieldErr = &FieldError{Field: "(document)", Value: quote(err.Error()), Allowed: "a valid operation"}
	}
	return invalidResult(op, 0, fieldErr)
}
