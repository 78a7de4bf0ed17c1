package steptime

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// observationLifetime is how long the observation of a node counts for the present speed.
	observationLifetime = 600 * time.Millisecond
	// slowFrom is the ratio of the present to the learned time from which a server counts as slow, and slowUntil the one
	// below which it no longer does. Between the two nothing changes, so that noise doesn't switch the state.
	slowFrom  = 1.5
	slowUntil = 1.25
	// slowEvents is the number of events, over all nodes, from which a server counts as slow.
	slowEvents = 6
	// spellLimit is how long a server may be slow before that is learned as its speed.
	spellLimit = 5 * time.Second
	// memory is the half-life of an observation in what is learned.
	memory = 10 * time.Second
	// minimumVariance is the variance of the number of runs from which their effect is learned.
	minimumVariance = 4.0
	// longestFactor bounds the factor that is published.
	longestFactor = 10.0
)

// Cost is the time between two events of the streams of a server.
type Cost struct {
	// Base and PerRun give the learned time, for no and for each further run. Base is 0 while nothing is learned.
	Base, PerRun time.Duration
	// Slowness is the factor by which the server is slower at present; 1 or 0 means that it isn't.
	Slowness float64
}

// Known reports whether anything is learned.
func (c Cost) Known() bool { return c.Base > 0 || c.PerRun > 0 }

// Gap returns the time between two events at a number of runs.
func (c Cost) Gap(runs int) time.Duration {
	return time.Duration(max(c.Slowness, 1) * float64(c.Base+time.Duration(runs)*c.PerRun))
}

// Runs returns the number of runs up to which the time between two events stays within a bound, at most limit.
func (c Cost) Runs(bound time.Duration, limit int) int {
	if !c.Known() || c.Gap(limit) <= bound {
		return limit
	}
	if c.PerRun <= 0 {
		return 0
	}
	runs := (float64(bound)/max(c.Slowness, 1) - float64(c.Base)) / float64(c.PerRun)
	return min(max(int(runs), 0), limit)
}

type nodeObservation struct {
	Observation
	at time.Time
}

// Core is what a holder has learned of one incarnation of a server. It isn't safe for concurrent use.
type Core struct {
	byNode map[string]nodeObservation
	// weight, x, y, xx and xy are the weighted sums of a regression of the gaps in milliseconds (y) on the runs (x).
	weight, x, y, xx, xy float64
	learnedAt            time.Time
	slowness             float64
	slowSince            time.Time
}

// New returns a core that has learned nothing.
func New() *Core { return &Core{byNode: make(map[string]nodeObservation), slowness: 1} }

// Observe applies the observation of a node, made while runs requests ran at the server.
func (c *Core) Observe(now time.Time, node string, observed Observation, runs int) {
	c.byNode[node] = nodeObservation{observed, now}
	recent, events := c.recent(now)
	if events < slowEvents {
		return
	}
	if learned := c.learned(); learned.Known() {
		c.judge(now, float64(recent)/float64(learned.Gap(runs)))
	}
	if c.slowness == 1 || now.Sub(c.slowSince) >= spellLimit {
		c.learn(now, observed.Gap, runs)
	}
}

// judge updates whether the server is slow at present.
func (c *Core) judge(now time.Time, ratio float64) {
	switch {
	case ratio >= slowFrom && c.slowness == 1:
		c.slowness, c.slowSince = ratio, now
	case ratio < slowUntil:
		c.slowness = 1
	case c.slowness > 1:
		c.slowness = ratio
	}
}

// recent returns the median gap of the nodes' latest observations, and the number of their events.
func (c *Core) recent(now time.Time) (gap time.Duration, events int) {
	var latest []nodeObservation
	for node, o := range c.byNode {
		if now.Sub(o.at) > observationLifetime {
			delete(c.byNode, node)
			continue
		}
		latest = append(latest, o)
		events += o.Events
	}
	slices.SortFunc(latest, func(a, b nodeObservation) int { return cmp.Compare(a.Gap, b.Gap) })
	if len(latest) == 0 {
		return 0, 0
	}
	return latest[len(latest)/2].Gap, events
}

func (c *Core) learn(now time.Time, gap time.Duration, runs int) {
	decay := 1.0
	if !c.learnedAt.IsZero() {
		decay = math.Exp2(-now.Sub(c.learnedAt).Seconds() / memory.Seconds())
	}
	c.learnedAt = now
	n, ms := float64(runs), gap.Seconds()*1000
	c.weight = decay*c.weight + 1
	c.x, c.y = decay*c.x+n, decay*c.y+ms
	c.xx, c.xy = decay*c.xx+n*n, decay*c.xy+n*ms
}

// learned returns the learned cost.
func (c *Core) learned() Cost {
	if c.weight == 0 {
		return Cost{}
	}
	meanRuns, mean, perRun := c.x/c.weight, c.y/c.weight, 0.0
	if variance := c.xx/c.weight - meanRuns*meanRuns; variance >= minimumVariance {
		// A run makes a step longer, but not by more than its share of the mean.
		perRun = min(max((c.xy/c.weight-meanRuns*mean)/variance, 0), mean/max(meanRuns, 1))
	}
	return Cost{
		Base:   time.Duration((mean - perRun*meanRuns) * float64(time.Millisecond)),
		PerRun: time.Duration(perRun * float64(time.Millisecond)),
	}
}

// Cost returns the cost as learned, and the present slowness. Without observations a server doesn't count as slow, so that
// it gets requests which show how fast it is.
func (c *Core) Cost(now time.Time) Cost {
	cost := c.learned()
	if !cost.Known() {
		return cost
	}
	cost.Slowness = 1
	if _, events := c.recent(now); events > 0 {
		cost.Slowness = min(c.slowness, longestFactor)
	} else {
		c.slowness = 1
	}
	return cost
}
