package steptime

import (
	"sync"
	"time"
)

// Server is one incarnation of a server.
type Server struct {
	ID string
	// Born is the start time of the server in Unix milliseconds.
	Born int64
}

// Observer holds the windows of one node for all servers. It is safe for concurrent use.
type Observer struct {
	mu       sync.Mutex
	byServer map[string]*observed
}

type observed struct {
	born   int64
	at     time.Time
	window Window
}

// NewObserver returns an observer without gaps.
func NewObserver() *Observer { return &Observer{byServer: make(map[string]*observed)} }

// Record adds the time between two events of a stream. It returns true if the server's holder should be told at once. Gaps
// of an earlier incarnation are forgotten, and those of a later one stay.
func (o *Observer) Record(now time.Time, server Server, gap time.Duration) (urgent bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	seen := o.byServer[server.ID]
	if seen != nil && server.Born < seen.born {
		return false
	}
	if seen == nil || seen.born != server.Born {
		o.prune(now)
		seen = &observed{born: server.Born}
		o.byServer[server.ID] = seen
	}
	seen.at = now
	return seen.window.Record(now, gap)
}

// prune drops the servers without recent gaps.
func (o *Observer) prune(now time.Time) {
	for id, seen := range o.byServer {
		if now.Sub(seen.at) > windowLifetime {
			delete(o.byServer, id)
		}
	}
}

// Report returns what the node saw of a server, for a message to its holder, and false if that is too little.
func (o *Observer) Report(now time.Time, id string) (born int64, observation Observation, known bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	seen := o.byServer[id]
	if seen == nil {
		return 0, observation, false
	}
	observation, known = seen.window.Report(now)
	return seen.born, observation, known
}
