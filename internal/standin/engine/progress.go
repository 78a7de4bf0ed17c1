package engine

import "sync"

// ending says how a request ended.
type ending int

const (
	endNone ending = iota
	endWhole
	endEvicted
	endCancelled
	// endRestart means that the engine restarted; the caller sees a broken connection only.
	endRestart
)

// progress tells any number of readers how far a request has come.
type progress struct {
	mu      sync.Mutex
	made    int
	end     ending
	readers map[chan struct{}]struct{}
}

func newProgress() *progress { return &progress{readers: make(map[chan struct{}]struct{})} }

// advance counts one token and, with the last one, ends the request.
func (p *progress) advance(limit int) (last bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.made++
	if p.made >= limit {
		p.end = endWhole
	}
	p.wake()
	return p.end == endWhole
}

func (p *progress) finish(end ending) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.end == endNone {
		p.end = end
	}
	p.wake()
}

// state returns the number of tokens made and how the request ended.
func (p *progress) state() (int, ending) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.made, p.end
}

// subscribe returns a channel that gets a value after each change, and a function that ends the subscription.
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

// wake leaves at most one value in each channel, since a reader asks for the state anyway. The caller holds mu.
func (p *progress) wake() {
	for reader := range p.readers {
		select {
		case reader <- struct{}{}:
		default:
		}
	}
}
