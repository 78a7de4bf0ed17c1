package serverview

import (
	"maps"
	"slices"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/serving"
)

// versionHistory holds when servers that the view has dropped, or that other processes have observed, were last present,
// by service and software version.
type versionHistory map[string]map[string]time.Time

// lastSeen records when a server that the view drops was last present. The server may be nil.
func (h versionHistory) lastSeen(at time.Time, srv *server) {
	if srv == nil {
		return
	}
	h.note(srv.entry.Service, srv.entry.SoftwareVersion, at)
}

func (h versionHistory) note(service, softwareVersion string, at time.Time) {
	byVersion := h[service]
	if byVersion == nil {
		byVersion = make(map[string]time.Time)
		h[service] = byVersion
	}
	if at.After(byVersion[softwareVersion]) {
		byVersion[softwareVersion] = at
	}
}

// NoteVersion records that servers of a software version served a service up to a time, as another process has observed.
func (v *View) NoteVersion(service, softwareVersion string, until time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.versions.note(service, softwareVersion, until)
}

// Versions returns the software versions of the servers that are present, by service.
func (v *View) Versions() map[string][]string {
	v.mu.Lock()
	defer v.mu.Unlock()
	byService := make(map[string][]string)
	for _, srv := range v.servers {
		versions := byService[srv.entry.Service]
		if srv.removedAt.IsZero() && !slices.Contains(versions, srv.entry.SoftwareVersion) {
			byService[srv.entry.Service] = append(versions, srv.entry.SoftwareVersion)
		}
	}
	return byService
}

// VersionAges returns all software versions that served within the given time, and how long ago at the latest, as far as this
// view knows.
func (v *View) VersionAges(now time.Time, within time.Duration) (ages []serving.VersionAge) {
	v.mu.Lock()
	defer v.mu.Unlock()
	byVersion := make(map[serving.ServiceVersion]time.Duration)
	note := func(service, softwareVersion string, at time.Time) {
		key := serving.ServiceVersion{Service: service, SoftwareVersion: softwareVersion}
		age := max(now.Sub(at), 0)
		if known, found := byVersion[key]; age <= within && (!found || age < known) {
			byVersion[key] = age
		}
	}
	for service, versions := range v.versions {
		for version, at := range versions {
			note(service, version, at)
		}
	}
	for _, srv := range v.servers {
		at := srv.removedAt
		if at.IsZero() {
			at = now
		}
		note(srv.entry.Service, srv.entry.SoftwareVersion, at)
	}
	for version, age := range byVersion {
		ages = append(ages, serving.VersionAge{ServiceVersion: version, Age: age})
	}
	return ages
}

// VersionsSince returns the software versions of the servers of a service that were present at some moment since a time,
// as far as this view knows.
func (v *View) VersionsSince(service string, since time.Time) (softwareVersions []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	seen := make(map[string]bool)
	for version, at := range v.versions[service] {
		if !at.Before(since) {
			seen[version] = true
		}
	}
	for _, srv := range v.servers {
		if srv.entry.Service == service && (srv.removedAt.IsZero() || !srv.removedAt.Before(since)) {
			seen[srv.entry.SoftwareVersion] = true
		}
	}
	return slices.Sorted(maps.Keys(seen))
}
