package node

import (
	"sync"
	"time"
)

// pending holds the requests to other nodes that wait for answers, by ID.
type pending[T any] struct {
	mu      sync.Mutex
	lastID  uint64
	waiting map[uint64]chan T
}

func newPending[T any]() *pending[T] {
	// The start time makes the IDs differ from those of the previous process at the same address.
	return &pending[T]{lastID: uint64(time.Now().UnixMicro()) << 8, waiting: make(map[uint64]chan T)}
}

// register returns the ID of a new request and the channel for its answers, which holds up to capacity unread ones.
func (p *pending[T]) register(capacity int) (id uint64, answers <-chan T) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastID++
	waiting := make(chan T, capacity)
	p.waiting[p.lastID] = waiting
	return p.lastID, waiting
}

func (p *pending[T]) unregister(id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiting, id)
}

// deliver passes an answer to the request that waits for it. It drops answers to others and those above the capacity.
func (p *pending[T]) deliver(id uint64, answer T) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case p.waiting[id] <- answer:
	default:
	}
}
