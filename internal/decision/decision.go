// Package decision records routing and placement decisions: each is one log line and stays readable for a while
// through the admin endpoint, so that "waxwingctl explain" can show it.
package decision

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/event"
)

// Candidate is one alternative that was weighed.
type Candidate struct {
	Name  string  `json:"name"`
	Score float64 `json:"score"`
	// Rejected is the filter that removed the candidate, or empty.
	Rejected string `json:"rejected,omitempty"`
}

// Decision is one routing or placement decision.
type Decision struct {
	Time time.Time `json:"time"`
	// Subject is what was asked: a request ID or an adapter version.
	Subject    string      `json:"subject"`
	Adapter    string      `json:"adapter,omitempty"`
	Candidates []Candidate `json:"candidates,omitempty"`
	Choice     string      `json:"choice"`
	Reason     string      `json:"reason"`
}

// Recorder keeps the latest decisions of a process.
type Recorder struct {
	log  *event.Log
	kind event.Event

	mu     sync.Mutex
	recent []Decision
	next   int
	filled bool
}

// NewRecorder returns a recorder that logs each decision as kind and keeps the latest capacity of them.
func NewRecorder(log *event.Log, kind event.Event, capacity int) *Recorder {
	return &Recorder{log: log, kind: kind, recent: make([]Decision, capacity)}
}

// Record logs and keeps one decision.
func (r *Recorder) Record(d Decision) {
	r.log.Emit(r.kind, event.Fields{
		"subject": d.Subject, "adapter": d.Adapter, "candidates": d.Candidates, "choice": d.Choice, "reason": d.Reason,
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recent[r.next] = d
	r.next++
	if r.next == len(r.recent) {
		r.next = 0
		r.filled = true
	}
}

// Find returns the kept decisions whose subject or adapter equals name, oldest first. An empty name matches all.
func (r *Recorder) Find(name string) []Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ordered []Decision
	if r.filled {
		ordered = append(ordered, r.recent[r.next:]...)
	}
	ordered = append(ordered, r.recent[:r.next]...)
	found := make([]Decision, 0, len(ordered))
	for _, d := range ordered {
		if name == "" || d.Subject == name || d.Adapter == name {
			found = append(found, d)
		}
	}
	return found
}

// ServeHTTP answers GET with the decisions that match the query parameter "name", as a JSON array.
func (r *Recorder) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(r.Find(request.URL.Query().Get("name")))
}
