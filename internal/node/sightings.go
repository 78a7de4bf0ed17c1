package node

import (
	"cmp"
	"context"
	"slices"
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
	// coveragePeriod is the time between two records of the coverage by the owner of the first partition. A node that starts
	// needs the servers' entries since the latest one, and large sites keep 20 s of them.
	coveragePeriod = 5 * time.Second
	// spareCoveragePeriod is coveragePeriod for the other readers, whose records count while the store refuses the first.
	spareCoveragePeriod = 15 * time.Second
	// coveragePatience is how long a node that isn't a reader waits for a coverage of the time until its view began, before it
	// reads the entries in between itself. These are some 2 MB at 600 servers, and all nodes need them at once after an outage
	// of the store; readers record their coverage as soon as they have read them.
	coveragePatience = 10 * time.Second
	// maximumCoverage bounds the time for which versions are remembered; streams are far shorter.
	maximumCoverage = time.Hour
)

// sightings records the software versions in use in the store, and reads which versions served before this node's view
// of the servers began. Without that, a node that starts couldn't tell whether a stream which nobody knows began at the
// version in use or at one that has just left.
type sightings struct {
	node *Node
	// changed receives a value when the servers' entries have changed or were read completely.
	changed chan struct{}
	mu      sync.Mutex
	// proof is the time for which this node knows all versions.
	proof versionProof
	// attempt is the search for a proof that is in progress.
	attempt proofAttempt
	// recordedAt holds when this node recorded each version.
	recordedAt map[serving.ServiceVersion]time.Time
	// coverageAt is when this node last recorded its coverage.
	coverageAt time.Time
}

// versionProof states that a node knows all software versions that have served since a time. It joins the coverage that a
// reader has recorded to the node's own view, by all entries of servers in between. The absence of sightings proves nothing,
// as the store may have refused them.
type versionProof struct {
	// viewSince is when the node's own view began, for which the proof was made.
	viewSince time.Time
	since     time.Time
}

// proofAttempt is the search for a proof of the time before a view.
type proofAttempt struct {
	viewSince time.Time
	startedAt time.Time
	// from is the position in the servers' entries from which on the view has all.
	from serving.Position
}

func newSightings(node *Node) *sightings {
	return &sightings{node: node, changed: make(chan struct{}, 1), recordedAt: make(map[serving.ServiceVersion]time.Time)}
}

// areComplete reports whether this node knows all software versions that have served since a time: from its view of the
// servers, or from a proof for the time before the last gap in the view.
func (s *sightings) areComplete(now, since time.Time) bool {
	viewSince, current := s.node.watch.checkCurrent(now, s.node.view.Fingerprint())
	if !current {
		return false
	}
	proven, found := s.provenSince(viewSince)
	return !viewSince.After(since) || found && !proven.After(since)
}

// provenSince returns since when this node knows all versions, and whether it has read what is recorded of the time before
// its view began.
func (s *sightings) provenSince(viewSince time.Time) (since time.Time, found bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.proof.since, !viewSince.IsZero() && s.proof.viewSince.Equal(viewSince)
}

// run reads and records sightings until ctx ends.
func (s *sightings) run(ctx context.Context) error {
	for ctx.Err() == nil {
		delay.Until(ctx, sightingsPeriod, s.changed)
		now := time.Now()
		viewSince, current := s.node.watch.checkCurrent(now, s.node.view.Fingerprint())
		if !current {
			continue
		}
		if _, found := s.provenSince(viewSince); !found {
			s.read(ctx, now, viewSince)
		}
		if s.node.leases.isReader() {
			s.record(ctx, now, viewSince)
		}
	}
	return nil
}

// read adds the recorded sightings to this node's view, and looks for a proof of the time before it.
func (s *sightings) read(ctx context.Context, now, viewSince time.Time) {
	recorded, coverages, err := s.node.store.ReadSightings(ctx)
	if err != nil {
		s.logFailure(ctx, err)
		return
	}
	for _, sighting := range recorded {
		// The version may have served until its next record was due. Clocks differ by seconds at most.
		age := time.Since(sighting.At) - sightingRefresh - sightingMargin
		s.node.view.NoteVersion(sighting.Service, sighting.SoftwareVersion, now.Add(-max(age, 0)))
	}
	since, found, err := s.prove(ctx, now, viewSince, coverages)
	if err != nil {
		s.logFailure(ctx, err)
	}
	if !found {
		return
	}
	s.node.events.Emit(event.VersionsProven, event.Fields{
		"provenMs": now.Sub(since).Milliseconds(), "viewMs": now.Sub(viewSince).Milliseconds(), "coverages": len(coverages),
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.proof = versionProof{viewSince: viewSince, since: since}
	// Other nodes wait for this.
	s.coverageAt = time.Time{}
}

// prove returns since when this node knows all versions. It takes the longest coverage that reaches up to its view, or after
// which all entries of servers are still retained. Without any, the entries since the first one of all show the versions of
// the whole past. found is false while a reader may still record a coverage.
func (s *sightings) prove(
	ctx context.Context, now, viewSince time.Time, coverages []serving.VersionCoverage,
) (since time.Time, found bool, err error) {
	applied := s.node.appliedEntries()
	if s.attempt.viewSince != viewSince || s.attempt.from.Era != applied.Era {
		s.attempt = proofAttempt{viewSince: viewSince, startedAt: now, from: applied}
	}
	waits := !s.node.leases.isReader() && now.Sub(s.attempt.startedAt) < coveragePatience
	for _, coverage := range longestFirst(coverages) {
		if coverage.Next.Era != 0 && coverage.Next.Era != s.attempt.from.Era {
			// The entries at its offset are others now.
			continue
		}
		var versions []serving.ServiceVersion
		if coverage.Next.Offset < s.attempt.from.Offset || coverage.Next.Offset == 0 {
			if waits {
				continue
			}
			var complete bool
			if versions, complete, err = s.node.store.ReadServerVersions(ctx, serving.Position{
				Era: s.attempt.from.Era, Offset: coverage.Next.Offset,
			}); err != nil {
				return since, false, err
			}
			if !complete {
				continue
			}
		}
		for _, seen := range coverage.Seen {
			s.node.view.NoteVersion(seen.Service, seen.SoftwareVersion, now.Add(-seen.Age))
		}
		for _, version := range versions {
			s.node.view.NoteVersion(version.Service, version.SoftwareVersion, now)
		}
		if since := now.Add(-coverage.Covered); since.Before(viewSince) {
			return since, true, nil
		}
	}
	return viewSince, !waits, nil
}

// longestFirst returns the coverages with the longest first. The last one begins at the first entry of all, and covers the
// whole time before it.
func longestFirst(coverages []serving.VersionCoverage) []serving.VersionCoverage {
	sorted := slices.SortedStableFunc(slices.Values(coverages), func(a, b serving.VersionCoverage) int {
		return cmp.Compare(b.Covered, a.Covered)
	})
	return append(sorted, serving.VersionCoverage{Covered: maximumCoverage})
}

// record records the versions in use that this node has not recorded within sightingRefresh, and its coverage if that's due.
func (s *sightings) record(ctx context.Context, now, viewSince time.Time) {
	// The position is taken before the versions, so that these include all entries before it.
	next := s.node.watch.serversPosition()
	due := s.due(now)
	coverage := s.coverage(now, viewSince, next, len(due) > 0)
	if len(due) == 0 && coverage == nil {
		return
	}
	if err := s.node.store.RecordSightings(ctx, due, coverage); err != nil {
		s.logFailure(ctx, err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sighting := range due {
		s.recordedAt[serving.ServiceVersion{Service: sighting.Service, SoftwareVersion: sighting.SoftwareVersion}] = now
	}
	if coverage != nil {
		s.coverageAt = now
	}
}

// coverage returns the coverage to record, or nil if none is due or this node hasn't read the one before it. changed is true
// if a version is to be recorded.
func (s *sightings) coverage(now, viewSince time.Time, next serving.Position, changed bool) *serving.VersionCoverage {
	since, found := s.provenSince(viewSince)
	partition, holds := s.node.leases.readerPartition()
	if !found || !holds || next.Era != s.node.eras.Current() {
		return nil
	}
	period := coveragePeriod
	if partition > 0 {
		period = spareCoveragePeriod
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !changed && now.Sub(s.coverageAt) < period {
		return nil
	}
	return &serving.VersionCoverage{
		Partition: partition, Covered: min(now.Sub(since), maximumCoverage), Next: next,
		Seen: s.node.view.VersionAges(now, maximumCoverage),
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
			recordedAt, recorded := s.recordedAt[serving.ServiceVersion{Service: service, SoftwareVersion: version}]
			if !recorded || now.Sub(recordedAt) >= sightingRefresh {
				due = append(due, serving.VersionSighting{Service: service, SoftwareVersion: version, At: now})
			}
		}
	}
	return due
}
