package brittle

import "time"

const (
	// probeShare is the share of a server's tolerance that the nodes without a coordinator may use up by probes for a place.
	// Each place that a probe obtains may in turn be missing for another node, whose next request is then rejected.
	probeShare = 0.2
	// placeLifetime is how long a node may use a place again after its latest request there has ended.
	placeLifetime = 200 * time.Millisecond
)

// Places are what one node uses of a crowded server while no coordinator assigns its slots. A node that obtained a place by a
// probe keeps it as long as it has requests for it, so that it doesn't compete with others for each request.
type Places struct {
	probes   float64
	probesAt time.Time
	// idle holds the times until which the places without a request may be used again.
	idle []time.Time
}

// NewPlaces returns the places of a node that has none. fill is a random number from 0 to 1: nodes that lose the coordinator
// together then don't probe together.
func NewPlaces(now time.Time, fill float64) *Places { return &Places{probes: fill, probesAt: now} }

// Take reports whether one of several nodes may send a request to a server with the given tolerance now.
func (p *Places) Take(now time.Time, tolerance float64, nodes int) bool {
	rate := probeShare * tolerance / float64(max(nodes, 1))
	p.probes = min(p.probes+rate*max(now.Sub(p.probesAt).Seconds(), 0), 1)
	p.probesAt = now
	for len(p.idle) > 0 && now.After(p.idle[0]) {
		p.idle = p.idle[1:]
	}
	if len(p.idle) > 0 {
		p.idle = p.idle[1:]
		return true
	}
	if p.probes < 1 {
		return false
	}
	p.probes--
	return true
}

// Ended records that a request ended which the server had accepted.
func (p *Places) Ended(now time.Time) { p.idle = append(p.idle, now.Add(placeLifetime)) }
