// Package decision records routing and placement decisions. Each decision is logged, and the most recent ones are
// available at the admin endpoint, where "waxwingctl explain" reads them.
package decision

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/event"
)

// Candidate is one alternative considered in a decision.
type Candidate struct {
	Name  string  `json:"name"`
	Score float64 `json:"score"`
	// Rejected names the filter that rejected the candidate; it is empty if none did.
	Rejected string `json:"rejected,omitempty"`
}

// Decision is one routing or placement decision.
type Decision struct {
	Time time.Time `json:"time"`
	// Subject identifies what was decided on: a request ID or an adapter version.
	Subject    string      `json:"subject"`
	Adapter    string      `json:"adapter,omitempty"`
	Candidates []Candidate `json:"candidates,omitempty"`
	Choice     string      `json:"choice"`
	Reason     string      `json:"reason"`
}

// Recorder logs decisions and stores the most recent ones. It is safe for concurrent use.
type Recorder struct {
	log  *event.Log
	kind event.Event

	mu sync.Mutex
	// recent is a ring buffer. The next decision is stored at index next; filled is set after the first wrap-around.
	recent []Decision
	next   int
	filled bool
}

// NewRecorder returns a recorder that logs each decision as an event of the given kind and stores up to capacity
// decisions.
func NewRecorder(log *event.Log, kind event.Event, capacity int) *Recorder {
	return &Recorder{log: log, kind: kind, recent: make([]Decision, capacity)}
}

// Record logs and stores a decision. It replaces the oldest one if the recorder is full.
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

// Find returns the stored decisions whose subject or adapter equals name, oldest first. An empty name matches all.
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

// ServeHTTP implements http.Handler. It responds with the decisions that match the query parameter "name", as a JSON
// array.
func (r *Recorder) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(r.Find(request.URL.Query().Get("name")))
}
