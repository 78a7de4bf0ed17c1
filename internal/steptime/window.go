// Package steptime learns how long each model server takes from one event of its streams to the next, at the number of
// requests that run there. Nodes observe the events that pass through them, and the holder of a server combines what they
// report. The package does no I/O and reads no clock.
package steptime

import (
	"slices"
	"time"
)

const (
	// windowLifetime is how long a gap counts.
	windowLifetime = time.Second
	// windowEvents bounds the gaps in a window. A bound on their age instead would leave out the long ones. With 4 of 100 ms
	// each, a node with one stream sees after 300 ms that a server has become slow.
	windowEvents = 4
	// minimumEvents is the number of gaps from which they say anything.
	minimumEvents = 3
	// undisturbed is the quantile of the gaps that counts as one without prompts read in between.
	undisturbed = 0.25
	// urgentChange is the factor by which gaps change before the holder is told at once.
	urgentChange = 1.5
)

// Observation is what one node saw of the streams of a server.
type Observation struct {
	// Gap is the time between two events without prompts in between, and Events the number of events that it stands on.
	Gap    time.Duration
	Events int
}

type gapAt struct {
	at  time.Time
	gap time.Duration
}

// Window holds the latest gaps between events of the streams of one server at one node. The zero value is empty.
type Window struct {
	gaps []gapAt
	// told is the gap that was last reported.
	told time.Duration
}

// Record adds the time between two events of a stream. It returns true if the holder should be told at once.
func (w *Window) Record(now time.Time, gap time.Duration) (urgent bool) {
	w.gaps = append(w.gaps, gapAt{now, gap})
	if len(w.gaps) > windowEvents {
		w.gaps = slices.Delete(w.gaps, 0, len(w.gaps)-windowEvents)
	}
	observed, known := w.Observe(now)
	if !known || w.told == 0 {
		return false
	}
	change := float64(observed.Gap) / float64(w.told)
	return change >= urgentChange || change <= 1/urgentChange
}

// Observe returns what the window holds, and false if that is too little.
func (w *Window) Observe(now time.Time) (observed Observation, known bool) {
	var gaps []time.Duration
	for _, g := range w.gaps {
		if now.Sub(g.at) <= windowLifetime {
			gaps = append(gaps, g.gap)
		}
	}
	if len(gaps) < minimumEvents {
		return observed, false
	}
	slices.Sort(gaps)
	return Observation{Gap: gaps[int(undisturbed*float64(len(gaps)))], Events: len(gaps)}, true
}

// Report is Observe for a message to the holder.
func (w *Window) Report(now time.Time) (observed Observation, known bool) {
	if observed, known = w.Observe(now); known {
		w.told = observed.Gap
	}
	return observed, known
}
