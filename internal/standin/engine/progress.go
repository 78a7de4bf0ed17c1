package engine

import "sync"

// ending says how a request ended.
type ending int

const (
	endNone ending = iota
	endComplete
	endEvicted
	endCancelled
	// endRestart means that the engine restarted; the caller sees only a broken connection.
	endRestart
)

// progress counts the generated tokens of a request and notifies any number of readers.
type progress struct {
	mu        sync.Mutex
	generated int
	end       ending
	readers   map[chan struct{}]struct{}
}

func newProgress() *progress { return &progress{readers: make(map[chan struct{}]struct{})} }

// advance counts one token. The last one, number limit, ends the request.
func (p *progress) advance(limit int) (last bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.generated++
	if p.generated >= limit {
		p.end = endComplete
	}
	p.notifyReaders()
	return p.end == endComplete
}

// finish ends the request, unless it has ended already.
func (p *progress) finish(end ending) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.end == endNone {
		p.end = end
	}
	p.notifyReaders()
}

// state returns the number of generated tokens and how the request ended.
func (p *progress) state() (int, ending) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.generated, p.end
}

// subscribe returns a channel that receives a value after each change, and a function that ends the subscription.
func (p *progress) subscribe() (<-chan struct{}, func()) {
	reader := make(chan struct{}, 1)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.readers[reader] = struct{}{}
	return reader, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.readers, reader)
	}
}

// notifyReaders leaves at most one value in each channel, since a reader then calls state anyway. The caller holds mu.
func (p *progress) notifyReaders() {
	for reader := range p.readers {
		select {
		case reader <- struct{}{}:
		default:
		}
	}
}
