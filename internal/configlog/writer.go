package configlog

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/platform"
	"waxwingcleat.example/waxwingcleat/internal/resource"
)

// Outcomes that only the writer of an operation returns. They are never derived from a record.
const (
	// Unknown means that the operation may take effect; repeat it with the same operation ID to get its result.
	Unknown resource.Outcome = "unknown"
	// NotWritten means that the operation was not sent to the log and has no effect.
	NotWritten resource.Outcome = "not_written"
)

const (
	defaultResendAfter = time.Second
	// parallelAppends bounds the outstanding appends of one call, to leave capacity for other writers.
	parallelAppends = 4
)

// WriterOptions configure the record size and the retry delay of a writer.
type WriterOptions struct {
	// RecordBytes bounds the JSON of the operations in one record. A larger operation gets its own record.
	RecordBytes int
	// ResendAfter is the time to wait after a failed append before the record is appended again; 0 means 1 s.
	ResendAfter time.Duration
}

// Writer appends operations to the config stream and returns their results once their records were read back.
type Writer struct {
	replica *Replica
	options WriterOptions
}

// NewWriter returns a writer that reads its records back through replica.
func NewWriter(replica *Replica, options WriterOptions) *Writer {
	if options.ResendAfter == 0 {
		options.ResendAfter = defaultResendAfter
	}
	return &Writer{replica: replica, options: options}
}

// Apply writes operations and returns their results in the same order. It waits until ctx ends; operations that
// were not read back by then have the outcome Unknown, or NotWritten when no append was attempted.
func (w *Writer) Apply(ctx context.Context, operations []resource.Operation) []resource.Result {
	results := make([]resource.Result, len(operations))
	var undecided []int
	for i, op := range operations {
		known, found := w.resolveLocally(op)
		results[i] = known
		if !found {
			undecided = append(undecided, i)
		}
	}
	group := &errgroup.Group{}
	group.SetLimit(parallelAppends)
	for _, indexes := range w.splitIntoRecords(operations, undecided) {
		group.Go(func() error {
			w.write(ctx, operations, indexes, results)
			return nil
		})
	}
	_ = group.Wait()
	return results
}

// resolveLocally returns the result that can be determined from the current state, without an append.
func (w *Writer) resolveLocally(op resource.Operation) (resource.Result, bool) {
	if err := resource.Validate(op); err != nil {
		return resource.InvalidResult(op, err), true
	}
	if original, found := w.replica.Result(op.ID); found {
		original.Repeated = true
		return original, true
	}
	view := w.replica.View()
	if view == nil || !w.replica.LogReachable() {
		return resource.Result{
			OperationID: op.ID, Outcome: NotWritten, Message: "the log service can't be reached",
		}, true
	}
	if current := view.Version(op.Kind, op.Name); resource.Conflicts(op.ExpectedVersion, current) {
		return resource.Result{OperationID: op.ID, Outcome: resource.Conflict, Version: current}, true
	}
	return resource.Result{}, false
}

// splitIntoRecords groups the undecided operations into records of at most RecordBytes. Each group lists indexes
// into operations.
func (w *Writer) splitIntoRecords(operations []resource.Operation, undecided []int) [][]int {
	const overheadBytes = 160 // bound of the JSON keys, the kind and the expected version
	var groups [][]int
	size := 0
	for _, i := range undecided {
		op := operations[i]
		bytes := len(op.Spec) + len(op.Name) + len(op.ID) + overheadBytes
		if len(groups) == 0 || size+bytes > w.options.RecordBytes {
			groups = append(groups, nil)
			size = 0
		}
		groups[len(groups)-1] = append(groups[len(groups)-1], i)
		size += bytes
	}
	return groups
}

// write appends one record with the operations at indexes and fills in their results.
func (w *Writer) write(
	ctx context.Context, operations []resource.Operation, indexes []int, results []resource.Result,
) {
	batch := make([]resource.Operation, 0, len(indexes))
	waiters := make([]<-chan resource.Result, 0, len(indexes))
	for _, i := range indexes {
		waiter, stopWaiting := w.replica.awaitResult(operations[i].ID)
		defer stopWaiting()
		batch = append(batch, operations[i])
		waiters = append(waiters, waiter)
	}
	undecidedOutcome := w.appendUntilReadBack(ctx, batch, func(ctx context.Context) bool {
		return collectResults(ctx, indexes, waiters, results)
	})
	for _, i := range indexes {
		if results[i].Outcome == "" {
			results[i] = resource.Result{OperationID: operations[i].ID, Outcome: undecidedOutcome}
			fields := event.Fields{"operation": operations[i].ID, "outcome": undecidedOutcome}
			w.replica.options.Events.Emit(event.ConfigUnknown, fields)
			continue
		}
		w.emitDecided(operations[i], results[i])
	}
}

// appendUntilReadBack appends the record, and retries when an append failed and the record is not read back in time.
// The operation IDs make a duplicate record harmless. It returns the outcome of operations that are still undecided
// when ctx ends.
func (w *Writer) appendUntilReadBack(
	ctx context.Context, batch []resource.Operation, awaitReadBack func(context.Context) bool,
) resource.Outcome {
	data, err := resource.EncodeOperations(batch)
	if err != nil || ctx.Err() != nil {
		return NotWritten
	}
	for ctx.Err() == nil {
		_, err := w.replica.options.Log.Append(ctx, platform.ConfigStream, data)
		if err == nil {
			awaitReadBack(ctx)
			return Unknown
		}
		w.replica.options.Events.EmitError(event.LogAppendFailed, err, event.Fields{"stream": platform.ConfigStream})
		if w.readBackBeforeResend(ctx, awaitReadBack) {
			return Unknown
		}
	}
	return Unknown
}

func (w *Writer) readBackBeforeResend(ctx context.Context, awaitReadBack func(context.Context) bool) bool {
	ctx, cancel := context.WithTimeout(ctx, w.options.ResendAfter)
	defer cancel()
	return awaitReadBack(ctx)
}

// collectResults waits for results until ctx ends and reports whether all of them have arrived.
func collectResults(
	ctx context.Context, indexes []int, waiters []<-chan resource.Result, results []resource.Result,
) bool {
	for position, i := range indexes {
		if results[i].Outcome != "" {
			continue
		}
		select {
		case results[i] = <-waiters[position]:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

func (w *Writer) emitDecided(op resource.Operation, result resource.Result) {
	w.replica.options.Events.Emit(event.ConfigDecided, event.Fields{
		"operation": op.ID, "kind": op.Kind, "name": op.Name, "expected": op.ExpectedVersion,
		"outcome": result.Outcome, "version": result.Version,
	})
}
