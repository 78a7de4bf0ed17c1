package weights

import (
	"context"
	"errors"
	"sync"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/standin/fault"
)

// Target is the fault target of the store, for fault.LoadFailure and fault.Slow.
const Target = "weights"

// ErrFailed means that a load failed at the store.
var ErrFailed = errors.New("weight store: load failed")

// Store simulates loads of weights at a bounded rate. Concurrent loads share the throughput, and a single one runs at
// full speed.
type Store struct {
	faults *fault.Registry
	work   time.Duration
	start  time.Time

	mu      sync.Mutex
	share   *share
	last    loadID
	changed chan struct{}
	counts  Counters
}

// Counters counts the store's loads.
type Counters struct {
	Loads  int `json:"loads"`
	Failed int `json:"failed"`
	// Shared counts the loads that started while another one was running.
	Shared int `json:"shared"`
}

// NewStore returns a store with a throughput of loadsPerSecond loads per second.
func NewStore(loadsPerSecond float64, faults *fault.Registry) *Store {
	faults.Declare(Target, fault.LoadFailure, fault.Slow)
	return &Store{
		faults:  faults,
		work:    time.Duration(float64(time.Second) / loadsPerSecond),
		start:   time.Now(),
		share:   newShare(),
		changed: make(chan struct{}),
	}
}

// Load returns when the weights have been read or the load has failed.
func (s *Store) Load(ctx context.Context) error {
	id := s.begin()
	defer s.end(id)
	for {
		left, changed := s.remaining(id)
		if left <= 0 {
			break
		}
		if err := wait(ctx, left, changed); err != nil {
			return err
		}
	}
	if s.faults.Consume(Target, fault.LoadFailure) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.counts.Failed++
		return ErrFailed
	}
	return nil
}

// Counters returns the current counters.
func (s *Store) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

func (s *Store) begin() loadID {
	extra := s.faults.Delay(Target)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.share.advance(time.Since(s.start))
	s.counts.Loads++
	if s.share.active() > 0 {
		s.counts.Shared++
	}
	s.last++
	s.share.add(s.last, s.work+extra)
	s.notifyChanged()
	return s.last
}

func (s *Store) end(id loadID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.share.advance(time.Since(s.start))
	s.share.remove(id)
	s.notifyChanged()
}

func (s *Store) remaining(id loadID) (time.Duration, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.share.advance(time.Since(s.start))
	return s.share.remaining(id), s.changed
}

// notifyChanged makes the running loads compute their remaining time again. The caller holds mu.
func (s *Store) notifyChanged() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func wait(ctx context.Context, d time.Duration, changed <-chan struct{}) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-changed:
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}
