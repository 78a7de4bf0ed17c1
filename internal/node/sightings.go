package node

import (
	"context"
	"sync"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/delay"
	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/serving"
)

const (
	// sightingsPeriod is the time between two checks for versions to record.
	sightingsPeriod = time.Second
	// sightingRefresh is the time between two records of a version that stays in use.
	sightingRefresh = 30 * time.Second
	// sightingMargin covers the deviation of the nodes' clocks and the delay of a record.
	sightingMargin = 15 * time.Second
)

// sightings records the software versions in use in the store, and reads which versions served before this node's view
// of the servers began. Without that, a node that starts couldn't tell whether a stream which nobody knows began at the
// version in use or at one that has just left.
type sightings struct {
	node *Node
	// changed receives a value when the servers' entries have changed or were read completely.
	changed chan struct{}
	mu      sync.Mutex
	// readAt is when this node began to read the recorded sightings last.
	readAt time.Time
	// recordedAt holds when this node recorded each version.
	recordedAt map[serviceVersion]time.Time
}

type serviceVersion struct{ service, softwareVersion string }

func newSightings(node *Node) *sightings {
	return &sightings{node: node, changed: make(chan struct{}, 1), recordedAt: make(map[serviceVersion]time.Time)}
}

// areComplete reports whether this node knows all software versions that have served since a time: from its view of the
// servers, or from the sightings of other nodes for the time before the last gap in the view.
func (s *sightings) areComplete(now, since time.Time) bool {
	viewSince, current := s.node.watch.checkCurrent(now, s.node.view.Fingerprint())
	return current && (!viewSince.After(since) || s.haveBeenRead(viewSince))
}

// haveBeenRead reports whether the recorded sightings have been read since a time.
func (s *sightings) haveBeenRead(since time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.readAt.IsZero() && !s.readAt.Before(since)
}

// run reads and records sightings until ctx ends.
func (s *sightings) run(ctx context.Context) error {
	for ctx.Err() == nil {
		delay.Until(ctx, sightingsPeriod, s.changed)
		now := time.Now()
		since, current := s.node.watch.checkCurrent(now, s.node.view.Fingerprint())
		if !current {
			continue
		}
		if !s.haveBeenRead(since) {
			s.read(ctx, now)
		}
		if s.node.leases.isReader() {
			s.record(ctx, now)
		}
	}
	return nil
}

// read adds the recorded sightings to this node's view.
func (s *sightings) read(ctx context.Context, now time.Time) {
	recorded, err := s.node.store.ReadSightings(ctx)
	if err != nil {
		s.logFailure(ctx, err)
		return
	}
	for _, sighting := range recorded {
		// The version may have served until its next record was due. Clocks differ by seconds at most.
		age := time.Since(sighting.At) - sightingRefresh - sightingMargin
		s.node.view.NoteVersion(sighting.Service, sighting.SoftwareVersion, now.Add(-max(age, 0)))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readAt = now
}

// record records the versions in use that this node has not recorded within sightingRefresh.
func (s *sightings) record(ctx context.Context, now time.Time) {
	due := s.due(now)
	if len(due) == 0 {
		return
	}
	if err := s.node.store.RecordSightings(ctx, due); err != nil {
		s.logFailure(ctx, err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sighting := range due {
		s.recordedAt[serviceVersion{sighting.Service, sighting.SoftwareVersion}] = now
	}
}

// logFailure logs a failed call, which is repeated after sightingsPeriod.
func (s *sightings) logFailure(ctx context.Context, err error) {
	if ctx.Err() == nil {
		s.node.events.EmitError(event.SightingsFailed, err, nil)
	}
}

func (s *sightings) due(now time.Time) (due []serving.VersionSighting) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for service, versions := range s.node.view.Versions() {
		for _, version := range versions {
			recordedAt, recorded := s.recordedAt[serviceVersion{service, version}]
			if !recorded || now.Sub(recordedAt) >= sightingRefresh {
				due = append(due, serving.VersionSighting{Service: service, SoftwareVersion: version, At: now})
			}
		}
	}
	return due
}
