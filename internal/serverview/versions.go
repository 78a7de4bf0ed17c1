package serverview

import "time"

// versionHistory holds when the servers of a service that the view has dropped were last present, by service and
// software version.
type versionHistory map[string]map[string]time.Time

// lastSeen records when a server that the view drops was last present. The server may be nil.
func (h versionHistory) lastSeen(at time.Time, srv *server) {
	if srv == nil {
		return
	}
	byVersion := h[srv.entry.Service]
	if byVersion == nil {
		byVersion = make(map[string]time.Time)
		h[srv.entry.Service] = byVersion
	}
	if version := srv.entry.SoftwareVersion; at.After(byVersion[version]) {
		byVersion[version] = at
	}
}

// OnlyVersion returns the software version of a service's servers if no other one has served since a time. The caller
// must know that this view has been up to date since then.
func (v *View) OnlyVersion(service string, since time.Time) (softwareVersion string, only bool) {
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
	for version := range seen {
		softwareVersion = version
	}
	return softwareVersion, len(seen) == 1
}
