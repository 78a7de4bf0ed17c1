package gateway

import (
	"sync"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/resource"
	"waxwingcleat.example/waxwingcleat/internal/routing"
)

// endpoints provides the endpoints of plain services as routing candidates and counts their requests in flight.
type endpoints struct {
	source      resource.Source
	concurrency int
	changed     chan struct{}

	mu       sync.Mutex
	inFlight map[string]int
}

func newEndpoints(source resource.Source, concurrency int) *endpoints {
	return &endpoints{
		source: source, concurrency: concurrency, changed: make(chan struct{}, 1), inFlight: map[string]int{},
	}
}

// gather returns the service's endpoints as candidates, reusing the slice.
func (e *endpoints) gather(service string, candidates []routing.Candidate) []routing.Candidate {
	candidates = candidates[:0]
	view := e.source.View()
	if view == nil || view.Services[service] == nil {
		return candidates
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, endpoint := range view.Services[service].Spec.Endpoints {
		candidates = append(candidates, routing.Candidate{
			Server: endpoint.Address, Address: endpoint.Address, Zone: endpoint.Zone,
			State: routing.Resident, Leaving: endpoint.Drain,
			Concurrent: e.concurrency, InFlight: e.inFlight[endpoint.Address],
		})
	}
	return candidates
}

// usable reports whether an endpoint is still declared and not draining.
func (e *endpoints) usable(service, address string) bool {
	view := e.source.View()
	if view == nil || view.Services[service] == nil {
		return false
	}
	for _, endpoint := range view.Services[service].Spec.Endpoints {
		if endpoint.Address == address {
			return !endpoint.Drain
		}
	}
	return false
}

// hasUntried reports whether the service has an endpoint that is not draining and not excluded by tried.
func (e *endpoints) hasUntried(service string, tried []failedAttempt, now time.Time) bool {
	for _, candidate := range e.gather(service, nil) {
		if !candidate.Leaving && !failedRecently(tried, &candidate, now) {
			return true
		}
	}
	return false
}

func (e *endpoints) acquire(address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inFlight[address]++
}

func (e *endpoints) release(address string) {
	e.mu.Lock()
	e.inFlight[address]--
	if e.inFlight[address] <= 0 {
		delete(e.inFlight, address)
	}
	e.mu.Unlock()
	select {
	case e.changed <- struct{}{}:
	default:
	}
}
