// Package logfollow reads one stream of the log service continuously and delivers its records in order.
package logfollow

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/delay"
	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/platform"
)

const (
	readWait     = 2 * time.Second
	minimumDelay = 50 * time.Millisecond
	maximumDelay = time.Second
)

// Handler receives what a follower reads. All calls come from the goroutine that runs Follow.
type Handler interface {
	// Records receives records in the order of their offsets, without gaps except after Trimmed.
	// It is also called without records when a successful read returns nothing new.
	Records(batch platform.Batch) error
	// Trimmed reports that unread records before earliest have passed their retention.
	Trimmed(earliest platform.Offset) error
}

// Follower reads one stream continuously.
type Follower struct {
	log      platform.Log
	stream   platform.Stream
	events   *event.Log
	next     atomic.Uint64
	lastRead atomic.Int64
}

// New returns a follower that starts at the first record of stream.
func New(log platform.Log, stream platform.Stream, events *event.Log) *Follower {
	f := &Follower{log: log, stream: stream, events: events}
	f.next.Store(1)
	return f
}

// StartAt sets the offset of the next read. It must not be called while Follow runs, except from the handler.
func (f *Follower) StartAt(offset platform.Offset) { f.next.Store(uint64(offset)) }

// Next returns the offset of the next read.
func (f *Follower) Next() platform.Offset { return platform.Offset(f.next.Load()) }

// TimeSinceRead returns the time since the last successful read ended, or the maximum duration before the first one.
func (f *Follower) TimeSinceRead(now time.Time) time.Duration {
	last := f.lastRead.Load()
	if last == 0 {
		return time.Duration(1<<63 - 1)
	}
	return now.Sub(time.Unix(0, last))
}

// Follow reads until ctx ends or the handler fails. It returns nil when ctx ends.
func (f *Follower) Follow(ctx context.Context, handler Handler) error {
	backoff := minimumDelay
	for ctx.Err() == nil {
		startedAt := time.Now()
		batch, err := f.log.Read(ctx, f.stream, f.Next(), readWait)
		if err == nil {
			backoff = minimumDelay
			f.lastRead.Store(time.Now().UnixNano())
			fresh, err := f.deliver(batch, handler)
			if err != nil {
				return err
			}
			if fresh == 0 && time.Since(startedAt) < minimumDelay {
				// Avoids a busy loop if the log service doesn't wait for records or answers with a gap.
				delay.For(ctx, delay.Spread(minimumDelay))
			}
			continue
		}
		var trimmed *platform.TrimmedError
		if errors.As(err, &trimmed) {
			f.StartAt(trimmed.Earliest)
			if err := handler.Trimmed(trimmed.Earliest); err != nil {
				return err
			}
			continue
		}
		if ctx.Err() != nil {
			return nil
		}
		f.events.EmitError(event.LogReadFailed, err, event.Fields{"stream": f.stream, "from": f.Next()})
		delay.For(ctx, delay.Spread(backoff))
		backoff = min(2*backoff, maximumDelay)
	}
	return nil
}

// deliver passes the records that follow the last one without a gap to the handler and returns their number. It skips
// records that were already delivered, and those after a gap, which are read again.
func (f *Follower) deliver(batch platform.Batch, handler Handler) (int, error) {
	from := f.Next()
	fresh := batch.Records[:0:0]
	for _, record := range batch.Records {
		if record.Offset == from {
			fresh = append(fresh, record)
			from++
		}
	}
	batch.Records = fresh
	f.next.Store(uint64(from))
	return len(fresh), handler.Records(batch)
}
