package node

import (
	"context"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/delay"
)

// sharedRead is a read of the store on behalf of requests. Those that arrive before a read begins share it, so that its result
// is never older than the request.
type sharedRead struct {
	// interval is the least time between the beginnings of two reads.
	interval time.Duration
	// read isn't the call of one request alone, so that the end of the request doesn't end it.
	read func() error

	// running has one element while a read is in progress, which guards the fields below.
	running chan struct{}
	begunAt time.Time
	err     error
}

func newSharedRead(interval time.Duration, read func() error) *sharedRead {
	return &sharedRead{interval: interval, read: read, running: make(chan struct{}, 1)}
}

// do returns the result of a read that began after the call, or the error of ctx.
func (s *sharedRead) do(ctx context.Context) error {
	arrivedAt := time.Now()
	select {
	case s.running <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-s.running }()
	if s.begunAt.After(arrivedAt) {
		return s.err
	}
	delay.For(ctx, s.interval-time.Since(s.begunAt))
	if ctx.Err() != nil {
		return ctx.Err()
	}
	s.begunAt = time.Now()
	s.err = s.read()
	return s.err
}
