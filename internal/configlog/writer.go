package configlog

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/platform"
	"waxwingcleat.example/waxwingcleat/internal/resource"
)

// Outcomes that only the writer of an operation sees. No record decides them.
const (
	// Unknown means that the operation may take effect; repeat it under the same operation ID to learn its verdict.
	Unknown resource.Outcome = "unknown"
	// NotWritten means that the operation was not sent to the log and has no effect.
	NotWritten resource.Outcome = "not_written"
)

const (
	defaultResendAfter = time.Second
	// parallelAppends bounds the appends that one call has outstanding, to leave room for other writers.
	parallelAppends = 4
)

// WriterOptions bound the records and waits of a writer.
type WriterOptions struct {
	// RecordBytes bounds the JSON of the operations in one record. A larger operation gets its own record.
	RecordBytes int
	// ResendAfter is the time after a failed append after which the record is appended again; 0 means 1 s.
	ResendAfter time.Duration
}

// Writer appends operations to the config stream and answers only after their own records were read back.
type Writer struct {
	replica *Replica
	options WriterOptions
}

// NewWriter returns a writer that reads back through replica.
func NewWriter(replica *Replica, options WriterOptions) *Writer {
	if options.ResendAfter == 0 {
		options.ResendAfter = defaultResendAfter
	}
	return &Writer{replica: replica, options: options}
}

// Apply writes operations and returns their results in the same order. It waits until ctx ends; operations that
// were not read back by then have the outcome Unknown, or NotWritten when no append was tried.
func (w *Writer) Apply(ctx context.Context, operations []resource.Operation) []resource.Result {
	results := make([]resource.Result, len(operations))
	var open []int
	for i, op := range operations {
		known, found := w.decided(op)
		results[i] = known
		if !found {
			open = append(open, i)
		}
	}
	group := &errgroup.Group{}
	group.SetLimit(parallelAppends)
	for _, part := range w.split(operations, open) {
		group.Go(func() error {
			w.write(ctx, operations, part, results)
			return nil
		})
	}
	_ = group.Wait()
	return results
}

// decided returns the verdict that the state already gives, without an append.
func (w *Writer) decided(op resource.Operation) (resource.Result, bool) {
	if err := resource.Validate(op); err != nil {
		return resource.InvalidResult(op, err), true
	}
	if before, found := w.replica.Result(op.ID); found {
		before.Repeated = true
		return before, true
	}
	view := w.replica.View()
	if view == nil || !w.replica.LogReachable() {
		return resource.Result{OperationID: op.ID, Outcome: NotWritten, Message: "the log service can't be reached"}, true
	}
	if current := view.Version(op.Kind, op.Name); resource.Conflicts(op.ExpectedVersion, current) {
		return resource.Result{OperationID: op.ID, Outcome: resource.Conflict, Version: current}, true
	}
	return resource.Result{}, false
}

// split groups the open operations into records of at most RecordBytes.
func (w *Writer) split(operations []resource.Operation, open []int) [][]int {
	const envelopeBytes = 160
	var parts [][]int
	size := 0
	for _, i := range open {
		op := operations[i]
		bytes := len(op.Spec) + len(op.Name) + len(op.ID) + envelopeBytes
		if len(parts) == 0 || size+bytes > w.options.RecordBytes {
			parts = append(parts, nil)
			size = 0
		}
		parts[len(parts)-1] = append(parts[len(parts)-1], i)
		size += bytes
	}
	return parts
}

// write appends one record and fills in the results of its operations.
func (w *Writer) write(ctx context.Context, operations []resource.Operation, part []int, results []resource.Result) {
	batch := make([]resource.Operation, 0, len(part))
	waits := make([]<-chan resource.Result, 0, len(part))
	for _, i := range part {
		verdict, forget := w.replica.await(operations[i].ID)
		defer forget()
		batch = append(batch, operations[i])
		waits = append(waits, verdict)
	}
	fallback := w.appendUntilRead(ctx, batch, func(ctx context.Context) bool {
		return collect(ctx, part, waits, results)
	})
	for _, i := range part {
		if results[i].Outcome == "" {
			results[i] = resource.Result{OperationID: operations[i].ID, Outcome: fallback}
			w.replica.options.Events.Emit(event.ConfigUnknown, event.Fields{"operation": operations[i].ID, "outcome": fallback})
			continue
		}
		w.emitDecided(operations[i], results[i])
	}
}

// appendUntilRead appends the record, and again when an append failed and the record does not appear. The operation
// IDs make a second copy harmless. It returns the outcome of operations that are still undecided when ctx ends.
func (w *Writer) appendUntilRead(ctx context.Context, batch []resource.Operation, read func(context.Context) bool) resource.Outcome {
	data, err := resource.EncodeOperations(batch)
	if err != nil || ctx.Err() != nil {
		return NotWritten
	}
	for ctx.Err() == nil {
		_, err := w.replica.options.Log.Append(ctx, platform.ConfigStream, data)
		if err == nil {
			read(ctx)
			return Unknown
		}
		w.replica.options.Events.EmitError(event.LogAppendFailed, err, event.Fields{"stream": platform.ConfigStream})
		if w.readWithin(ctx, read) {
			return Unknown
		}
	}
	return Unknown
}

func (w *Writer) readWithin(ctx context.Context, read func(context.Context) bool) bool {
	ctx, cancel := context.WithTimeout(ctx, w.options.ResendAfter)
	defer cancel()
	return read(ctx)
}

// collect waits for verdicts until ctx ends and reports whether all have arrived.
func collect(ctx context.Context, part []int, waits []<-chan resource.Result, results []resource.Result) bool {
	for at, i := range part {
		if results[i].Outcome != "" {
			continue
		}
		select {
		case results[i] = <-waits[at]:
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
