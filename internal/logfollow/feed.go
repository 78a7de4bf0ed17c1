package logfollow

import (
	"context"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/platform"
	"waxwingcleat.example/waxwingcleat/internal/ring"
)

// RingHandler is a Handler that passes what is read to another goroutine, as steps on a ring that the goroutine runs.
type RingHandler struct {
	// Context bounds the wait for free space on the ring.
	Context context.Context
	Steps   *ring.Ring[func(now time.Time)]
	// OnRecords and OnTrimmed are called in steps.
	OnRecords func(now time.Time, batch platform.Batch)
	OnTrimmed func(earliest platform.Offset)
}

// Records implements Handler.
func (f *RingHandler) Records(batch platform.Batch) error {
	return f.push(func(now time.Time) { f.OnRecords(now, batch) })
}

// Trimmed implements Handler.
func (f *RingHandler) Trimmed(earliest platform.Offset) error {
	return f.push(func(time.Time) { f.OnTrimmed(earliest) })
}

func (f *RingHandler) push(step func(time.Time)) error {
	if err := f.Steps.Push(f.Context, step); err != nil && f.Context.Err() == nil {
		return err
	}
	return nil
}
